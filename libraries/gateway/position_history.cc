#include "gateway/position_history.h"

#include <algorithm>
#include <chrono>
#include <iterator>

namespace jackdawturn::gateway {

namespace {

using namespace std::chrono_literals;  // NOLINT(google-build-using-namespace)

// Exceeds the maximum staleness that routes allow; no read needs older entries.
constexpr Duration kRetentionTime = 30s;
// An entry that follows the last one within this time is not recorded.
constexpr Duration kMinSpacing = 20ms;
constexpr size_t kMaxEntries = 2'048;

}  // namespace

void PositionHistory::Observe(TimePoint sent_at, CommitPosition position) {
  // A new term can discard commits of the old one, so replicas may never reach
  // the old positions.
  if (!m_entries.empty() && position.term > m_entries.back().position.term)
    m_entries.clear();
  if (!m_entries.empty()) {
    const Entry& last = m_entries.back();
    if (position < last.position || sent_at < last.sent_at + kMinSpacing)
      return;
  }
  m_entries.push_back({sent_at, position});
  while (m_entries.size() > kMaxEntries ||
         m_entries.front().sent_at < sent_at - kRetentionTime)
    m_entries.pop_front();
}

std::optional<CommitPosition> PositionHistory::PositionCovering(
    TimePoint since) const {
  const auto found = std::lower_bound(
      m_entries.begin(), m_entries.end(), since,
      [](const Entry& entry, TimePoint time) { return entry.sent_at < time; });
  if (found == m_entries.end())
    return std::nullopt;
  return found->position;
}

std::deque<PositionHistory::Entry>::const_iterator PositionHistory::FirstAt(
    CommitPosition position) const {
  return std::lower_bound(m_entries.begin(), m_entries.end(), position,
                          [](const Entry& entry, CommitPosition wanted) {
                            return entry.position < wanted;
                          });
}

std::optional<TimePoint> PositionHistory::SeenAt(
    CommitPosition position) const {
  const auto found = FirstAt(position);
  if (found == m_entries.end())
    return std::nullopt;
  return found->sent_at;
}

std::optional<TimePoint> PositionHistory::LastSeenBefore(
    CommitPosition position) const {
  const auto found = FirstAt(position);
  if (found == m_entries.begin())
    return std::nullopt;
  return std::prev(found)->sent_at;
}

}  // namespace jackdawturn::gateway
