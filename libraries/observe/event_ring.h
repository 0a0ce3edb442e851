#pragma once

#include <cstddef>
#include <cstdint>
#include <mutex>
#include <vector>

#include <boost/circular_buffer.hpp>

#include "observe/timeline_event.h"

namespace jackdawturn {

// The newest events of one process. A new event overwrites the oldest one when
// the ring is full, and the loss is counted. Thread safety: every method can be
// called from any thread.
class EventRing {
 public:
  struct Snapshot {
    // Oldest first.
    std::vector<TimelineEvent> events;
    // Events lost since creation because newer ones took their place.
    uint64_t overwritten = 0;
  };

  // Precondition: capacity > 0, in events.
  explicit EventRing(size_t capacity);

  void Add(TimelineEvent event);

  // Returns the events and the count of the same moment.
  Snapshot TakeSnapshot() const;

  // Events lost since creation.
  uint64_t overwritten() const;

 private:
  mutable std::mutex m_mutex;
  boost::circular_buffer<TimelineEvent> m_events;
  uint64_t m_overwritten = 0;
};

}  // namespace jackdawturn
