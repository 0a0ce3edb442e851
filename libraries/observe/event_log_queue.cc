#include "observe/event_log_queue.h"

#include <algorithm>
#include <utility>

namespace jackdawturn {

LogImportance ImportanceOf(const TimelineEvent& event) {
  if (event.kind == EventKind::kRequest && event.step == kAcceptedStep)
    return LogImportance::kRoutine;
  if (event.kind == EventKind::kAnswer &&
      event.field(kOutcomeField) == kDoneOutcome)
    return LogImportance::kRoutine;
  return LogImportance::kFailure;
}

EventLogQueue::EventLogQueue(size_t capacity) : m_capacity(capacity) {
  VERIFY(capacity > 1);
}

void EventLogQueue::Push(TimelineEvent event) {
  const LogImportance importance = ImportanceOf(event);
  if (importance == LogImportance::kRoutine) {
    if (m_routine >= m_capacity / 2 || m_events.size() >= m_capacity) {
      ++m_dropped.routine;
      return;
    }
    ++m_routine;
  } else if (m_events.size() >= m_capacity && !DropOldestRoutine()) {
    ++m_dropped.failures;
    return;
  }
  m_events.push_back({std::move(event), importance});
}

std::optional<TimelineEvent> EventLogQueue::Pop() {
  if (m_events.empty())
    return std::nullopt;
  Item item = std::move(m_events.front());
  m_events.pop_front();
  if (item.importance == LogImportance::kRoutine)
    --m_routine;
  return std::move(item.event);
}

bool EventLogQueue::DropOldestRoutine() {
  if (m_routine == 0)
    return false;
  const auto oldest =
      std::find_if(m_events.begin(), m_events.end(), [](const Item& item) {
        return item.importance == LogImportance::kRoutine;
      });
  m_events.erase(oldest);
  --m_routine;
  ++m_dropped.routine;
  return true;
}

}  // namespace jackdawturn
