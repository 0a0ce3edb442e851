#include "observe/hybrid_clock.h"

#include <algorithm>
#include <limits>

#include "core/core.h"

namespace jackdawturn {

HybridLogicalClock::HybridLogicalClock(std::chrono::microseconds max_skew)
    : m_max_skew(max_skew) {
  VERIFY(max_skew >= std::chrono::microseconds(0));
}

HybridStamp HybridLogicalClock::Send(ClockTime now) {
  std::lock_guard lock(m_mutex);
  return Advance(now);
}

HybridStamp HybridLogicalClock::Receive(const HybridStamp& remote,
                                        ClockTime now) {
  std::lock_guard lock(m_mutex);
  if (remote.physical > now + m_max_skew)
    ++m_rejected;
  else
    m_last = std::max(m_last, remote);
  return Advance(now);
}

uint64_t HybridLogicalClock::rejected() const {
  std::lock_guard lock(m_mutex);
  return m_rejected;
}

HybridStamp HybridLogicalClock::Advance(ClockTime now) {
  if (now > m_last.physical) {
    m_last = HybridStamp{now, 0};
  } else if (m_last.logical == std::numeric_limits<uint32_t>::max()) {
    // A full logical part is carried over, so that stamps go on growing.
    m_last = HybridStamp{m_last.physical + std::chrono::microseconds(1), 0};
  } else {
    ++m_last.logical;
  }
  return m_last;
}

}  // namespace jackdawturn
