#include "sessions/session_positions.h"

#include <algorithm>

namespace jackdawturn {

void SessionPositions::Record(const GroupName& group, TermPosition at) {
  const auto found = std::find_if(
      m_groups.begin(), m_groups.end(),
      [&group](const GroupPosition& item) { return item.group == group; });
  if (found != m_groups.end()) {
    found->at = std::max(found->at, at);
    std::rotate(m_groups.begin(), found, found + 1);
    return;
  }
  m_groups.insert(m_groups.begin(), GroupPosition{group, at});
  if (m_groups.size() > kMaxGroups) {
    m_groups.pop_back();
    m_overflow = true;
  }
}

void SessionPositions::Merge(const SessionPositions& other) {
  SessionPositions merged = other;
  for (auto item = m_groups.rbegin(); item != m_groups.rend(); ++item)
    merged.Record(item->group, item->at);
  merged.m_overflow = merged.m_overflow || m_overflow;
  *this = std::move(merged);
}

ReadRequirement SessionPositions::Requirement(const GroupName& group) const {
  for (const GroupPosition& item : m_groups) {
    if (item.group == group)
      return ReadRequirement{item.at, false};
  }
  return ReadRequirement{TermPosition(), m_overflow};
}

}  // namespace jackdawturn
