#include "observe/event_ring.h"

#include <utility>

namespace jackdawturn {

EventRing::EventRing(size_t capacity) : m_events(capacity) {
  VERIFY(capacity > 0);
}

void EventRing::Add(TimelineEvent event) {
  std::lock_guard lock(m_mutex);
  if (m_events.full())
    ++m_overwritten;
  m_events.push_back(std::move(event));
}

EventRing::Snapshot EventRing::TakeSnapshot() const {
  std::lock_guard lock(m_mutex);
  return Snapshot{{m_events.begin(), m_events.end()}, m_overwritten};
}

uint64_t EventRing::overwritten() const {
  std::lock_guard lock(m_mutex);
  return m_overwritten;
}

}  // namespace jackdawturn
