#pragma once

#include <optional>

#include "core/core.h"

namespace jackdawturn::gateway {

// Decides whether this proxy's availability zone is partitioned from the
// others. A suspicion (unreachable instances, an unreachable store, a report of
// another proxy of the zone) starts rounds of probes, each of one proxy in
// every other zone. The zone is considered partitioned when two consecutive
// rounds reach no proxy, and connected when one round does. Load pattern: a
// zone is partitioned while its clients still reach its proxies, most of which
// only relay.
// Thread safety: not thread-safe.
class ZoneIsolation {
 public:
  // How long a suspicion lasts.
  static constexpr Duration kSuspicionTime = std::chrono::milliseconds(1'000);
  // Time between the starts of two rounds. The round after the first failed one
  // starts immediately.
  static constexpr Duration kProbeInterval = std::chrono::milliseconds(500);

  // Called on a sign that the zone is partitioned.
  void Suspect(TimePoint now) { m_suspected_until = now + kSuspicionTime; }

  // Called when this proxy has established that the zone is partitioned.
  void Confirm(TimePoint now) {
    if (!m_isolated_since)
      m_isolated_since = now;
  }

  // Returns whether to start a round of probes now; if so, the round counts as
  // in progress until RoundEnded.
  bool BeginRound(TimePoint now);

  // Called when the round has ended; `reached` is true when any proxy was
  // reached. Precondition: a round is in progress.
  void RoundEnded(bool reached, TimePoint now);

  // Called when an instance or proxy of another zone was reached.
  void Connected();

  // Returns since when the zone is partitioned, or nullopt.
  std::optional<TimePoint> isolated_since() const { return m_isolated_since; }

 private:
  std::optional<TimePoint> m_isolated_since;
  TimePoint m_suspected_until;
  TimePoint m_next_round;
  unsigned m_failed_rounds = 0;
  bool m_in_round = false;
};

}  // namespace jackdawturn::gateway
