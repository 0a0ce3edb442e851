#include "gateway/acknowledged_positions.h"

#include <algorithm>
#include <string>
#include <utility>

namespace jackdawturn::gateway {

std::vector<MissingCommit> AcknowledgedPositions::PassedOn(
    const GroupName& group,
    CommitPosition position) {
  Group& known = m_groups[group];
  Term& term = known.terms[position.term];
  term.acknowledged = std::max(term.acknowledged.value_or(0), position.number);
  Bound(known, position, position.number);
  return Check(known);
}

std::vector<MissingCommit> AcknowledgedPositions::SeenAtPrimary(
    const GroupName& group,
    CommitPosition position) {
  Group& known = m_groups[group];
  // The commit with this number itself may be an older one.
  Bound(known, position, position.number + 1);
  return Check(known);
}

std::optional<CommitPosition> AcknowledgedPositions::NewestPassedOn(
    const GroupName& group,
    uint64_t term) const {
  const auto known = m_groups.find(group);
  if (known == m_groups.end())
    return std::nullopt;
  const auto found = known->second.terms.find(term);
  if (found == known->second.terms.end() || !found->second.acknowledged)
    return std::nullopt;
  return CommitPosition{term, *found->second.acknowledged};
}

std::vector<MissingCommit> AcknowledgedPositions::ChangeRecorded(
    const GroupName& group,
    const PrimaryChangeRecord& record) {
  Group& known = m_groups[group];
  if (!record.ended) {
    known.failover_attempt = record.candidate.empty() ? record.attempt : "";
    return {};
  }
  // Without a received position nothing is known of the new primary.
  if (record.promoted.empty() || record.received == CommitPosition{})
    return {};
  Promotion promotion;
  promotion.term =
      record.promoted_term > 0 ? record.promoted_term : record.term + 1;
  promotion.received = record.received;
  promotion.exact =
      record.promoted_term > 0 && record.attempt == known.failover_attempt;
  if (known.promotion && promotion.term < known.promotion->term)
    return {};
  known.promotion = promotion;
  return Check(known);
}

void AcknowledgedPositions::Bound(Group& group,
                                  CommitPosition position,
                                  uint64_t lacks_from) {
  Term& term = group.terms[position.term];
  if (!term.lacks_from || lacks_from < *term.lacks_from) {
    term.lacks_from = lacks_from;
    term.evidence = position;
  }
  while (group.terms.size() > kMaxTerms)
    group.terms.erase(group.terms.begin());
}

std::optional<MissingCommit> AcknowledgedPositions::FindMissing(
    const Group& group,
    uint64_t term,
    uint64_t acknowledged) {
  const CommitPosition position{term, acknowledged};
  for (auto later = group.terms.upper_bound(term); later != group.terms.end();
       ++later) {
    if (later->second.lacks_from && acknowledged >= *later->second.lacks_from)
      return MissingCommit{position, later->second.evidence, false, true};
  }
  if (group.promotion && term < group.promotion->term &&
      group.promotion->received < position)
    return MissingCommit{position, group.promotion->received, true,
                         group.promotion->exact};
  return std::nullopt;
}

std::vector<MissingCommit> AcknowledgedPositions::Check(Group& group) {
  std::vector<MissingCommit> found;
  for (auto& [number, term] : group.terms) {
    if (!term.acknowledged || term.reported == Reported::kProven)
      continue;
    const auto missing = FindMissing(group, number, *term.acknowledged);
    if (!missing)
      continue;
    const Reported degree =
        missing->proven ? Reported::kProven : Reported::kPossible;
    if (std::exchange(term.reported, degree) != degree)
      found.push_back(*missing);
  }
  return found;
}

void LogMissingCommits(GatewayLog& log,
                       const GroupName& group,
                       const InstanceName& primary,
                       const std::vector<MissingCommit>& missing) {
  for (const MissingCommit& commit : missing) {
    GatewayLog::Fields fields = {
        {"acknowledged", ToString(commit.acknowledged)},
        {commit.by_record ? "received" : "seen", ToString(commit.evidence)}};
    if (!commit.proven)
      fields["possibly_missing"] = "yes";
    log.LogStateChange(EventKind::kFailover, group,
                       "acknowledged_commit_missing", primary.value(),
                       std::move(fields));
    log.CountMissingCommit(commit.proven);
  }
}

}  // namespace jackdawturn::gateway
