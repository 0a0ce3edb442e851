#include "requests/retention_machine.h"

#include <algorithm>
#include <utility>

namespace jackdawturn::requests {

RetentionMachine::RetentionMachine(RetentionOptions options, Hooks hooks)
    : m_options(options), m_hooks(std::move(hooks)) {
  VERIFY(m_options.interval.count() > 0 && m_options.limit > 0);
}

void RetentionMachine::AddGroup(const GroupName& group, TimePoint now) {
  const auto interval = static_cast<uint64_t>(m_options.interval.count());
  if (m_groups.try_emplace(group).second)
    m_due.emplace(now + Duration(Hash64(group.value()) % interval), group);
}

std::optional<SendPurge> RetentionMachine::Send(const GroupName& name,
                                                Group& group,
                                                WallTime wall) {
  auto send = m_hooks.target(name);
  if (!send)
    return std::nullopt;
  send->group = name;
  send->low_water = WallTime();
  if (group.newest) {
    const auto retention =
        std::chrono::ceil<std::chrono::milliseconds>(m_options.ledger);
    send->low_water =
        std::max(WallTime(), std::min(wall, *group.newest) - retention);
    send->limit = m_options.limit;
  }
  return send;
}

std::vector<SendPurge> RetentionMachine::OnTime(TimePoint now, WallTime wall) {
  std::vector<SendPurge> sends;
  while (!m_due.empty() && m_due.begin()->first <= now) {
    const GroupName name = m_due.begin()->second;
    m_due.erase(m_due.begin());
    Group& group = m_groups.at(name);
    if (auto send = Send(name, group, wall)) {
      sends.push_back(std::move(*send));
      continue;
    }
    // Another proxy purges the group now, so the recorded newest entry becomes
    // outdated.
    group.newest.reset();
    m_due.emplace(now + m_options.interval, name);
  }
  return sends;
}

std::vector<SendPurge> RetentionMachine::OnAnswer(
    const GroupName& group,
    const Result<PurgeResult>& result,
    TimePoint now,
    WallTime wall) {
  Group& state = m_groups.at(group);
  Duration wait = m_options.interval;
  if (result) {
    const bool queried_only = !state.newest.has_value();
    state.newest = result.value().newest;
    if (queried_only && state.newest) {
      if (auto send = Send(group, state, wall))
        return {std::move(*send)};
    } else if (!queried_only && result.value().removed >= m_options.limit) {
      wait = m_options.pause;
    }
  }
  m_due.emplace(now + wait, group);
  return {};
}

std::optional<TimePoint> RetentionMachine::NextWakeup() const {
  if (m_due.empty())
    return std::nullopt;
  return m_due.begin()->first;
}

}  // namespace jackdawturn::requests
