#pragma once

#include <deque>
#include <map>
#include <optional>

#include "gateway/gateway_types.h"

namespace jackdawturn::gateway {

// Positions at which a primary's log stood, by the time at which each was
// asked for. A replica that has such a position has every commit that was
// acknowledged before that time. Thread safety: not thread-safe.
class PositionHistory {
 public:
  // A primary that was seen to lead answered with `position` to a command sent
  // at `asked`.
  void Observe(TimePoint asked, CommitPosition position);

  // Returns the oldest position that includes every commit acknowledged before
  // `since`, or nothing.
  std::optional<CommitPosition> PositionCovering(TimePoint since) const;

  // Returns when the position was first seen at a primary, or nothing.
  std::optional<TimePoint> SeenAt(CommitPosition position) const;

 private:
  struct Entry {
    TimePoint asked;
    CommitPosition position;
  };

  // Ascending in both members.
  std::deque<Entry> m_entries;
};

}  // namespace jackdawturn::gateway
