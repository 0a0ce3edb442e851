#include "gateway/queue_rate.h"

namespace jackdawturn::gateway {

namespace {

// The departures by which the rate is told. Fewer show the variation of single
// statements rather than a rate.
constexpr size_t kMinDepartures = 16;
constexpr size_t kMaxDepartures = 128;
// Older departures tell nothing about the present.
constexpr Duration kRecent = std::chrono::seconds(1);

}  // namespace

void QueueRate::BecameEmpty(TimePoint now) {
  m_occupied = OccupiedUntil(now);
  m_occupied_since.reset();
}

void QueueRate::BecameOccupied(TimePoint now) {
  if (!m_occupied_since)
    m_occupied_since = now;
}

void QueueRate::Departed(TimePoint now) {
  m_departures.push_back({now, OccupiedUntil(now)});
  if (m_departures.size() > kMaxDepartures)
    m_departures.pop_front();
  while (m_departures.front().at + kRecent < now)
    m_departures.pop_front();
}

std::optional<Duration> QueueRate::TimeFor(size_t count, TimePoint now) const {
  if (m_departures.size() < kMinDepartures ||
      m_departures.front().at + kRecent < now)
    return std::nullopt;
  const Duration occupied = OccupiedUntil(now) - m_departures.front().occupied;
  return occupied * static_cast<int64_t>(count) /
         static_cast<int64_t>(m_departures.size() - 1);
}

Duration QueueRate::OccupiedUntil(TimePoint now) const {
  return m_occupied_since ? m_occupied + (now - *m_occupied_since) : m_occupied;
}

}  // namespace jackdawturn::gateway
