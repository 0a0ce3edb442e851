#include "soak/checker.h"

#include <algorithm>

namespace jackdawturn::soak {

std::string_view ToString(Rule rule) {
  switch (rule) {
    case Rule::kLostCommit:
      return "lost_commit";
    case Rule::kStaleRead:
      return "stale_read";
    case Rule::kDoubleWrite:
      return "double_write";
    case Rule::kFalseRefusal:
      return "false_refusal";
    case Rule::kInventedAnswer:
      return "invented_answer";
    case Rule::kCutRequest:
      return "cut_request";
    case Rule::kProcessEnded:
      return "process_ended";
    case Rule::kNotServed:
      return "not_served";
  }
  return "";
}

void Checker::Report(Rule rule, std::string detail) {
  if (!m_violation)
    m_violation = Violation{rule, std::move(detail)};
}

void Checker::Appended(const GroupName& group,
                       const std::string& name,
                       uint64_t term,
                       const std::vector<std::string>& items) {
  Attempt& attempt = m_attempts[name];
  if (attempt.in_log)
    Report(Rule::kDoubleWrite, name + " of " + group.value());
  if (!attempt.refused.empty())
    Report(Rule::kFalseRefusal,
           name + " was refused with " + attempt.refused + ", then committed");
  std::vector<std::string>& log = m_logs[group];
  log.push_back(name);
  attempt.group = group;
  attempt.position = gateway::CommitPosition{term, log.size()};
  attempt.items = items;
  attempt.in_log = true;
  ++m_commits;
}

void Checker::Promoted(const GroupName& group, std::vector<std::string> log) {
  std::vector<std::string>& current = m_logs[group];
  for (const std::string& name : current)
    m_attempts[name].in_log = false;
  for (const std::string& name : log) {
    Attempt& attempt = m_attempts[name];
    if (attempt.in_log)
      Report(Rule::kDoubleWrite, name + " of " + group.value());
    // An instance that comes back may hold what was rolled back elsewhere.
    if (!attempt.refused.empty())
      Report(Rule::kFalseRefusal,
             name + " was refused with " + attempt.refused + ", and is kept");
    attempt.in_log = true;
  }
  for (const std::string& name : current) {
    const Attempt& attempt = m_attempts[name];
    if (attempt.in_log)
      continue;
    ++m_rolled_back;
    if (attempt.acknowledged)
      Report(Rule::kLostCommit,
             name + " at " + gateway::ToString(*attempt.position) + " of " +
                 group.value() + ": the promoted instance lacks it");
  }
  current = std::move(log);
}

void Checker::Acknowledged(const std::string& name, TimePoint now) {
  Attempt& attempt = m_attempts[name];
  attempt.acknowledged = true;
  if (!attempt.position)
    return Report(Rule::kInventedAnswer,
                  name + " was acknowledged and never committed");
  if (!attempt.in_log)
    return Report(Rule::kLostCommit,
                  name + " at " + gateway::ToString(*attempt.position) +
                      " of " + attempt.group.value() +
                      ": acknowledged after it was rolled back");
  for (const std::string& item : attempt.items) {
    Floors& floors = m_floors[{attempt.group, item}];
    if (floors.empty() || floors.back().second < *attempt.position)
      floors.emplace_back(now, *attempt.position);
  }
}

void Checker::Refused(const std::string& name, const std::string& code) {
  Attempt& attempt = m_attempts[name];
  attempt.refused = code;
  if (attempt.in_log)
    Report(Rule::kFalseRefusal, name + " was committed at " +
                                    gateway::ToString(*attempt.position) +
                                    ", then refused with " + code);
}

uint64_t Checker::ReadBegan(const GroupName& group,
                            const std::string& item,
                            TimePoint covered) {
  Read read{item, {}};
  const Floors& floors = m_floors[{group, item}];
  const auto later = std::upper_bound(
      floors.begin(), floors.end(), covered,
      [](TimePoint time, const auto& floor) { return time < floor.first; });
  if (later != floors.begin())
    read.floor = std::prev(later)->second;
  m_reads.emplace(++m_last_read, std::move(read));
  return m_last_read;
}

void Checker::ReadAnswered(uint64_t number, const std::string& data) {
  const auto found = m_reads.find(number);
  VERIFY(found != m_reads.end());
  const Read read = std::move(found->second);
  m_reads.erase(found);
  gateway::CommitPosition position;
  if (!data.empty()) {
    const auto attempt = m_attempts.find(data);
    if (attempt == m_attempts.end() || !attempt->second.position)
      return Report(Rule::kInventedAnswer, "a read of " + read.item +
                                               " returned " + data +
                                               ", which nobody has written");
    position = *attempt->second.position;
  }
  if (position < read.floor)
    Report(Rule::kStaleRead, "a read of " + read.item + " returned " +
                                 (data.empty() ? "nothing" : data) + " of " +
                                 gateway::ToString(position) +
                                 " and had to see " +
                                 gateway::ToString(read.floor));
}

}  // namespace jackdawturn::soak
