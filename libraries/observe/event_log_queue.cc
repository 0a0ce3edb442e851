#include "observe/event_log_queue.h"

#include <utility>

namespace jackdawturn {

LogImportance ImportanceOf(const TimelineEvent& event) {
  if (event.kind == EventKind::kRequest &&
      (event.step == kAcceptedStep || event.step == kAcknowledgedStep))
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
  if (ImportanceOf(event) == LogImportance::kRoutine) {
    if (m_routine.size() >= m_capacity / 2 || size() >= m_capacity) {
      ++m_dropped.routine;
      return;
    }
    m_routine.push_back({m_next_number++, std::move(event)});
    return;
  }
  if (size() >= m_capacity && !DropOldestRoutine()) {
    ++m_dropped.failures;
    return;
  }
  m_failures.push_back({m_next_number++, std::move(event)});
}

std::optional<TimelineEvent> EventLogQueue::Pop() {
  if (size() == 0)
    return std::nullopt;
  const bool routine_is_older =
      m_failures.empty() ||
      (!m_routine.empty() &&
       m_routine.front().number < m_failures.front().number);
  std::deque<Item>& queue = routine_is_older ? m_routine : m_failures;
  TimelineEvent event = std::move(queue.front().event);
  queue.pop_front();
  return event;
}

bool EventLogQueue::DropOldestRoutine() {
  if (m_routine.empty())
    return false;
  m_routine.pop_front();
  ++m_dropped.routine;
  return true;
}

}  // namespace jackdawturn
