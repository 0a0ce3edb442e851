#pragma once

#include "core/core.h"

namespace jackdawturn::gateway {

// Limits the rate at which a proxy retries calls during an outage of the store:
// all collections share one retry schedule, instead of each one retrying by
// itself. Load pattern: all proxies of a large fleet while the store is
// unavailable, when each refused call counts against the store's rate limits.
// Thread safety: not thread-safe.
class StoreRetries {
 public:
  // Consecutive failures, over all collections, that are taken for an outage.
  static constexpr unsigned kOutageFailures = 3;
  static constexpr Duration kOutageInterval = std::chrono::milliseconds(500);

  void Failed() { ++m_failures; }
  void Answered() { m_failures = 0; }

  // Returns zero when the store may be called now, and counts the call as made.
  // Otherwise returns the time until the next call is allowed.
  Duration Request(TimePoint now) {
    if (m_failures < kOutageFailures)
      return Duration(0);
    if (now < m_next)
      return m_next - now;
    m_next = now + kOutageInterval;
    return Duration(0);
  }

 private:
  // Failures over all collections since the last answer.
  unsigned m_failures = 0;
  TimePoint m_next;
};

}  // namespace jackdawturn::gateway
