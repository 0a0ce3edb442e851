#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>

#include "observe/timeline_event.h"

namespace jackdawturn {

// How much an operator who looks for the cause of a failure needs an event.
enum class LogImportance {
  kRoutine,  // A request was accepted or succeeded.
  kFailure,  // A request failed, or the process changed what it believes.
};

// Returns the importance of an event. Thread-safe.
LogImportance ImportanceOf(const TimelineEvent& event);

// The events that wait to be written to the log, oldest first. Under overload
// routine events are dropped first: they may fill half of the queue, and a
// failure that finds the queue full takes the place of the oldest routine
// event. Thread safety: not thread-safe.
class EventLogQueue {
 public:
  // Counts of dropped events.
  struct Dropped {
    uint64_t routine = 0;
    uint64_t failures = 0;

    uint64_t total() const { return routine + failures; }
    friend bool operator==(const Dropped&, const Dropped&) = default;
  };

  // Precondition: capacity > 1, in events.
  explicit EventLogQueue(size_t capacity);

  // Adds the event, or drops it or another one and counts that.
  void Push(TimelineEvent event);
  // Returns the oldest event, or nothing.
  std::optional<TimelineEvent> Pop();

  size_t size() const { return m_routine.size() + m_failures.size(); }
  const Dropped& dropped() const { return m_dropped; }

 private:
  struct Item {
    // In the order of Push.
    uint64_t number = 0;
    TimelineEvent event;
  };

  bool DropOldestRoutine();

  const size_t m_capacity;
  // A queue for each importance, so that the oldest routine event is found
  // without a search when many failures wait.
  std::deque<Item> m_routine;
  std::deque<Item> m_failures;
  uint64_t m_next_number = 0;
  Dropped m_dropped;
};

}  // namespace jackdawturn
