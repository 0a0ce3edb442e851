#pragma once

#include <cstddef>
#include <deque>
#include <optional>

#include "core/core.h"

namespace jackdawturn::gateway {

// The rate at which requests have lately left a queue, to tell how long another
// one would wait. Only the time during which requests waited counts, because
// the rate of departures from an empty queue is that of the arrivals. Load
// pattern: more requests for an instance than it serves. Thread safety: not
// thread-safe.
class QueueRate {
 public:
  // The last request has left the queue, or the first one has joined it.
  void BecameEmpty(TimePoint now);
  void BecameOccupied(TimePoint now);
  // A request was served from the queue.
  void Departed(TimePoint now);

  // Returns the time in which `count` requests leave the queue, or nothing
  // without enough recent departures to tell.
  std::optional<Duration> TimeFor(size_t count, TimePoint now) const;

 private:
  struct Departure {
    TimePoint at;
    // How long requests had waited in all by then.
    Duration occupied{0};
  };

  Duration OccupiedUntil(TimePoint now) const;

  std::deque<Departure> m_departures;
  // The time during which requests waited, up to m_occupied_since.
  Duration m_occupied{0};
  std::optional<TimePoint> m_occupied_since;
};

}  // namespace jackdawturn::gateway
