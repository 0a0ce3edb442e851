#pragma once

#include <optional>

#include "core/core.h"

namespace jackdawturn::gateway {

// When the platform's store has last answered this proxy, and since when it has
// answered without a pause. What a proxy has received from the store may be
// older than that pause. Deterministic. Thread safety: not thread-safe.
class StoreContact {
 public:
  // A longer pause between two answers may hide an outage of the store.
  static constexpr Duration kMaxPause = std::chrono::seconds(2);
  // One of a proxy's watches must end within this time, so that the store
  // answers more often than kMaxPause.
  static constexpr Duration kMaxWatch = std::chrono::milliseconds(1'500);

  // The store has answered a call at `time`. Answers may be noted in any order.
  void Answered(TimePoint time) {
    if (m_last && time <= *m_last)
      return;
    if (!m_last || time - *m_last > kMaxPause)
      m_since = time;
    m_last = time;
  }

  // Discards what is known: after the store has come back from an older copy,
  // earlier answers do not show what it holds.
  void Reset() { m_last.reset(); }

  // Returns when the store has last answered, or nullopt.
  std::optional<TimePoint> last_answer() const { return m_last; }

  // Returns whether the store has answered within kMaxPause.
  bool InTouch(TimePoint now) const {
    return m_last && now - *m_last <= kMaxPause;
  }

  // Returns for how long the store has answered without a pause; zero when it
  // is out of touch.
  Duration Uninterrupted(TimePoint now) const {
    return InTouch(now) ? now - m_since : Duration(0);
  }

 private:
  std::optional<TimePoint> m_last;
  TimePoint m_since;
};

}  // namespace jackdawturn::gateway
