#pragma once

#include "core/core.h"

namespace jackdawturn::gateway {

// Limits how often a proxy calls a store that answers nothing: its collections
// take turns, instead of each one trying by itself. Load pattern: all proxies
// of a large fleet while the store is away, where each refused call counts.
// Thread safety: not thread-safe.
class StoreRetries {
 public:
  // Fewer failures in a row, over all collections, are no outage.
  static constexpr unsigned kOutageFailures = 3;
  static constexpr Duration kOutageInterval = std::chrono::milliseconds(500);

  void Failed() { ++m_failures; }
  void Answered() { m_failures = 0; }

  // Returns zero when the store may be called now; the call counts as made.
  // Returns the time until the next turn otherwise.
  Duration Request(TimePoint now) {
    if (m_failures < kOutageFailures)
      return Duration(0);
    if (now < m_next)
      return m_next - now;
    m_next = now + kOutageInterval;
    return Duration(0);
  }

 private:
  // Of all collections since the last answer.
  unsigned m_failures = 0;
  TimePoint m_next;
};

}  // namespace jackdawturn::gateway
