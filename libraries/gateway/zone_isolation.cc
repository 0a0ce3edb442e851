#include "gateway/zone_isolation.h"

namespace jackdawturn::gateway {

namespace {

// All proxies probed in a single round may happen to be down.
constexpr unsigned kRoundsToIsolate = 2;

}  // namespace

bool ZoneIsolation::BeginRound(TimePoint now) {
  const bool probing_needed = m_isolated_since || now < m_suspected_until;
  if (!probing_needed) {
    m_failed_rounds = 0;
    return false;
  }
  if (m_in_round || now < m_next_round)
    return false;
  m_in_round = true;
  m_next_round = now + kProbeInterval;
  return true;
}

void ZoneIsolation::RoundEnded(bool reached, TimePoint now) {
  m_in_round = false;
  if (reached)
    return Connected();
  if (++m_failed_rounds == 1)
    m_next_round = now;
  if (m_failed_rounds >= kRoundsToIsolate)
    Confirm(now);
}

void ZoneIsolation::Connected() {
  m_isolated_since.reset();
  m_failed_rounds = 0;
}

}  // namespace jackdawturn::gateway
