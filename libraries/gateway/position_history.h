#pragma once

#include <deque>
#include <map>
#include <optional>

#include "gateway/gateway_types.h"

namespace jackdawturn::gateway {

// Log positions reported by a primary, by the time at which the command that
// reported each was sent. A replica that has applied such a position has every
// commit acknowledged before that time. Thread safety: not thread-safe.
class PositionHistory {
 public:
  // Records that an instance, confirmed as primary, replied with `position` to
  // a command sent at that time.
  void Observe(TimePoint sent_at, CommitPosition position);

  // Returns the oldest recorded position that includes every commit
  // acknowledged before `since`, or nullopt.
  std::optional<CommitPosition> PositionCovering(TimePoint since) const;

  // Returns the send time of the last command whose reply showed an earlier
  // position, or nullopt. The position was committed after that time.
  std::optional<TimePoint> LastSeenBefore(CommitPosition position) const;

  // Returns the send time of the first command whose reply showed the position
  // or a later one, or nullopt.
  std::optional<TimePoint> SeenAt(CommitPosition position) const;

 private:
  struct Entry {
    TimePoint sent_at;
    CommitPosition position;
  };

  // Returns the first entry with the position or a later one.
  std::deque<Entry>::const_iterator FirstAt(CommitPosition position) const;

  // Ascending in both members.
  std::deque<Entry> m_entries;
};

}  // namespace jackdawturn::gateway
