#pragma once

#include <optional>

#include "core/core.h"

namespace jackdawturn::gateway {

// Decides whether this proxy's availability zone is cut off from the others.
// Signs of it (instances that cannot be reached, a store that was lost, another
// proxy of the zone that says so) lead to rounds of probes, each of one proxy
// in every other zone; a zone is cut off when two rounds in a row reach nobody,
// and connected again when one round does. Load pattern: a zone is cut off
// while its clients still reach its proxies, of which most only relay.
// Thread safety: not thread-safe.
class ZoneIsolation {
 public:
  // A sign counts for this time.
  static constexpr Duration kSuspicionTime = std::chrono::milliseconds(1'000);
  // Between the beginnings of two rounds, unless the last one reached nobody
  // for the first time.
  static constexpr Duration kProbeInterval = std::chrono::milliseconds(500);

  // Something points to a cut.
  void Suspect(TimePoint now) { m_suspected_until = now + kSuspicionTime; }

  // This proxy has seen by itself that the zone is cut off.
  void Confirm(TimePoint now) {
    if (!m_isolated_since)
      m_isolated_since = now;
  }

  // Returns whether a round of probes is to begin now; it then has begun.
  bool BeginRound(TimePoint now);

  // Precondition: a round is in progress.
  void RoundEnded(bool reached, TimePoint now);

  // An instance or proxy of another zone was reached.
  void Connected();

  // Returns since when the zone is cut off, or nothing.
  std::optional<TimePoint> isolated_since() const { return m_isolated_since; }

 private:
  std::optional<TimePoint> m_isolated_since;
  TimePoint m_suspected_until;
  TimePoint m_next_round;
  unsigned m_failed_rounds = 0;
  bool m_in_round = false;
};

}  // namespace jackdawturn::gateway
