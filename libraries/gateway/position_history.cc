#include "gateway/position_history.h"

#include <algorithm>
#include <chrono>

namespace jackdawturn::gateway {

namespace {

using namespace std::chrono_literals;  // NOLINT(google-build-using-namespace)

// Longer than the staleness that routes allow; older entries answer no read.
constexpr Duration kKept = 30s;
// Entries closer than this to the last one replace nothing and are left out.
constexpr Duration kSpacing = 20ms;
constexpr size_t kMaxEntries = 2'048;

}  // namespace

void PositionHistory::Observe(TimePoint asked, CommitPosition position) {
  // A new term can drop commits of the old one, so old positions may never be
  // reached any more.
  if (!m_entries.empty() && position.term > m_entries.back().position.term)
    m_entries.clear();
  if (!m_entries.empty()) {
    const Entry& last = m_entries.back();
    if (position < last.position || asked < last.asked + kSpacing)
      return;
  }
  m_entries.push_back({asked, position});
  while (m_entries.size() > kMaxEntries ||
         m_entries.front().asked < asked - kKept)
    m_entries.pop_front();
}

std::optional<CommitPosition> PositionHistory::PositionCovering(
    TimePoint since) const {
  const auto found = std::lower_bound(
      m_entries.begin(), m_entries.end(), since,
      [](const Entry& entry, TimePoint time) { return entry.asked < time; });
  if (found == m_entries.end())
    return std::nullopt;
  return found->position;
}

std::optional<TimePoint> PositionHistory::SeenAt(
    CommitPosition position) const {
  const auto found =
      std::lower_bound(m_entries.begin(), m_entries.end(), position,
                       [](const Entry& entry, CommitPosition wanted) {
                         return entry.position < wanted;
                       });
  if (found == m_entries.end())
    return std::nullopt;
  return found->asked;
}

}  // namespace jackdawturn::gateway
