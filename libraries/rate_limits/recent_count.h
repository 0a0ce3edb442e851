#pragma once

#include "core/core.h"

namespace jackdawturn::rate_limits {

// Counts events of the last kSpan or, right after the start of a slot, of up to
// twice that time. Deterministic. Thread safety: not thread-safe.
class RecentCount {
 public:
  static constexpr Duration kSpan = std::chrono::milliseconds(250);

  void Add(size_t events, TimePoint now) {
    Advance(now);
    m_current += events;
  }

  // Returns the estimated number of events in the last kSpan.
  size_t Count(TimePoint now) {
    Advance(now);
    const Duration left = kSpan - (now - m_slot_start);
    return m_current + m_previous * static_cast<size_t>(left.count()) /
                           static_cast<size_t>(kSpan.count());
  }

 private:
  void Advance(TimePoint now) {
    if (now - m_slot_start < kSpan)
      return;
    m_previous = now - m_slot_start < 2 * kSpan ? m_current : 0;
    m_current = 0;
    m_slot_start = now - (now - m_slot_start) % kSpan;
  }

  TimePoint m_slot_start;
  size_t m_current = 0;
  size_t m_previous = 0;
};

}  // namespace jackdawturn::rate_limits
