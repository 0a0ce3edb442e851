#include "observe/timeline.h"

#include <algorithm>
#include <charconv>
#include <iterator>
#include <map>
#include <tuple>
#include <utility>

namespace jackdawturn {

namespace {

std::optional<Term> TermOf(const TimelineEvent& event) {
  const std::string_view text = event.field(kTermField);
  Term term;
  const auto [end, error] =
      std::from_chars(text.data(), text.data() + text.size(), term.value);
  if (error != std::errc() || end != text.data() + text.size())
    return std::nullopt;
  return term;
}

bool IsAnswerOfPrimary(const TimelineEvent& event) {
  return event.kind == EventKind::kAnswer &&
         event.field(kRoleField) == kPrimaryRole &&
         event.field(kOutcomeField) == kDoneOutcome;
}

// What the events of one group say, by term.
struct GroupEvents {
  struct Answers {
    ClockTime first;
    ClockTime last;
    InstanceName instance;
  };
  std::map<Term, const TimelineEvent*> claims;
  std::map<Term, const TimelineEvent*> promotions;
  std::map<Term, const TimelineEvent*> publications;
  std::map<Term, Answers> answers;
};

void AddAnswer(const TimelineEvent& event, Term term, GroupEvents& group) {
  const ClockTime time = event.stamp.physical;
  const auto [found, inserted] = group.answers.try_emplace(term);
  GroupEvents::Answers& answers = found->second;
  if (inserted)
    answers.first = time;
  answers.first = std::min(answers.first, time);
  answers.last = std::max(answers.last, time);
  answers.instance = InstanceName(std::string(event.field(kInstanceField)));
}

void AddEvent(const TimelineEvent& event, GroupEvents& group) {
  const std::optional<Term> term = TermOf(event);
  if (!term)
    return;
  if (IsAnswerOfPrimary(event))
    AddAnswer(event, *term, group);
  if (event.kind != EventKind::kFailover)
    return;
  // The claim that succeeded last and the first promotion count.
  if (event.step == kClaimStep)
    group.claims[*term] = &event;
  else if (event.step == kPromoteStep)
    group.promotions.emplace(*term, &event);
  else if (event.step == kPublishStep)
    group.publications.emplace(*term, &event);
}

std::optional<ClockTime> TimeOf(
    const std::map<Term, const TimelineEvent*>& events,
    Term term) {
  const auto found = events.find(term);
  if (found == events.end())
    return std::nullopt;
  return found->second->stamp.physical;
}

void AddAnswers(const GroupEvents& group, FailoverSummary& summary) {
  for (const auto& [term, answers] : group.answers) {
    if (term < summary.term) {
      summary.last_old_answer = std::max(
          summary.last_old_answer.value_or(answers.last), answers.last);
      summary.replaced = answers.instance;
    } else {
      summary.first_new_answer = std::min(
          summary.first_new_answer.value_or(answers.first), answers.first);
    }
  }
}

FailoverSummary Summarize(const GroupEvents& group,
                          Term term,
                          const TimelineEvent& promotion) {
  FailoverSummary summary;
  summary.group = promotion.group;
  summary.term = term;
  summary.promoted = InstanceName(std::string(promotion.field(kInstanceField)));
  summary.changed_by = promotion.vm;
  summary.promotion = promotion.stamp.physical;
  summary.claimed = TimeOf(group.claims, term);
  summary.published = TimeOf(group.publications, term);
  const auto claim = group.claims.find(term);
  if (claim != group.claims.end())
    summary.reason = claim->second->field(kReasonField);
  const auto promoted = group.promotions.find(term);
  if (promoted != group.promotions.begin())
    summary.replaced = InstanceName(
        std::string(std::prev(promoted)->second->field(kInstanceField)));
  AddAnswers(group, summary);
  return summary;
}

}  // namespace

std::vector<TimelineEvent> MergeTimelines(
    std::vector<std::vector<TimelineEvent>> timelines) {
  std::vector<TimelineEvent> merged;
  for (std::vector<TimelineEvent>& timeline : timelines)
    std::move(timeline.begin(), timeline.end(), std::back_inserter(merged));
  std::stable_sort(
      merged.begin(), merged.end(), [](const auto& left, const auto& right) {
        return std::tie(left.stamp, left.vm) < std::tie(right.stamp, right.vm);
      });
  merged.erase(std::unique(merged.begin(), merged.end()), merged.end());
  return merged;
}

std::vector<TimelineEvent> FilterTimeline(
    const std::vector<TimelineEvent>& events,
    const TimelineFilter& filter) {
  std::vector<TimelineEvent> selected;
  std::copy_if(events.begin(), events.end(), std::back_inserter(selected),
               [&](const TimelineEvent& event) {
                 return (!filter.group || *filter.group == event.group) &&
                        (!filter.request || *filter.request == event.request) &&
                        (!filter.vm || *filter.vm == event.vm) &&
                        (!filter.kind || *filter.kind == event.kind);
               });
  return selected;
}

std::optional<Duration> FailoverSummary::gap() const {
  if (!last_old_answer || !first_new_answer)
    return std::nullopt;
  return std::max(Duration(0), *first_new_answer - *last_old_answer);
}

std::vector<FailoverSummary> SummarizeFailovers(
    const std::vector<TimelineEvent>& events) {
  std::map<GroupName, GroupEvents> groups;
  for (const TimelineEvent& event : events)
    AddEvent(event, groups[event.group]);
  std::vector<FailoverSummary> summaries;
  for (const auto& [name, group] : groups) {
    for (const auto& [term, promotion] : group.promotions)
      summaries.push_back(Summarize(group, term, *promotion));
  }
  std::stable_sort(summaries.begin(), summaries.end(),
                   [](const auto& left, const auto& right) {
                     return left.promotion < right.promotion;
                   });
  return summaries;
}

}  // namespace jackdawturn
