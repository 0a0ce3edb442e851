#pragma once

#include <optional>

#include <boost/circular_buffer.hpp>
#include <boost/container/flat_map.hpp>

#include "core/core.h"
#include "routing/routing_options.h"

namespace jackdawturn::routing {

// Upper bounds of the age of the replicas of one group, from reports only.
//
// The primary of term t reports position p to a query sent at s. A replica with
// a log of term t that holds p has all that was committed until s, provided
// that no later term had begun by s. A promotion needs the fence of all
// instances but one, so a report of both the primary and the replica with
// accepted term t, in reply to queries sent at s or later, excludes it.
//
// Thread safety: not thread-safe.
class ReplicaFreshness {
 public:
  explicit ReplicaFreshness(FreshnessOptions options);

  // Begins a term with this primary (empty while it is being replaced) and this
  // number of instances. All bounds of another term are forgotten; nothing
  // changes when only the primary became empty.
  void SetTerm(Term term, const InstanceName& primary, size_t instance_count);

  Term term() const { return m_term; }
  // Begins to load the replicas into the processor's caches.
  void Prefetch() const {
    if (m_replicas.empty() || m_observations.empty())
      return;
    __builtin_prefetch(&m_observations.back());
    for (const auto& entry : m_replicas)
      __builtin_prefetch(&entry.second);
  }

  // Takes a report that came in reply to a query sent at `asked_at`. Reports of
  // another term, and reports in any order, are accepted.
  void Report(const InstanceName& instance,
              const InstanceReport& report,
              TimePoint asked_at);

  // Forgets an instance that left the group.
  void Remove(const InstanceName& instance);

  // All that was committed until the returned time is in the data of a replica
  // whose log ends at `held`. Empty when nothing can be shown.
  std::optional<TimePoint> CoveredUntil(const InstanceName& replica,
                                        const TermPosition& held) const;

  // The same for the last position that the replica reported. For the primary:
  // all that was committed until the returned time was committed in its term.
  std::optional<TimePoint> CoveredUntil(const InstanceName& instance) const;

  // The highest position that the instance reported in this term.
  std::optional<TermPosition> LastReportedPosition(
      const InstanceName& instance) const;

  // The time of the newest query to which a replica answered that the term is
  // still this one; a read at the primary that ends later is not older.
  std::optional<TimePoint> TermConfirmedAt() const {
    return m_term_confirmed_at;
  }

  // Estimate of the time by which the replica is behind; for forecasts only.
  Duration Lag(const InstanceName& replica) const;

  // Forecast of when the replica reaches `position`; not before `now`.
  TimePoint ExpectedAt(const InstanceName& replica,
                       LogPosition position,
                       TimePoint now) const;

 private:
  // The primary had reached `position` by the time of a query at `asked_at`.
  struct Observation {
    TimePoint asked_at;
    LogPosition position;
    // When the position was first seen.
    TimePoint first_seen;
  };
  struct Replica {
    // Newest query that was answered with the accepted term of the group.
    std::optional<TimePoint> unfenced_at;
    std::optional<LogPosition> position;
    // The best bound so far and the position at which it holds.
    std::optional<TimePoint> covered_until;
    LogPosition covered_position;
    Duration lag{0};
  };

  void ReportPrimary(const InstanceReport& report, TimePoint asked_at);
  void ReportReplica(Replica& replica,
                     const InstanceReport& report,
                     TimePoint asked_at);
  void UpdateBound(Replica& replica);
  void UpdateLag(Replica& replica, TimePoint asked_at, LogPosition position);
  std::optional<TimePoint> Search(LogPosition position, TimePoint until) const;
  void MakeRoom();

  FreshnessOptions m_options;
  Term m_term;
  InstanceName m_primary;
  size_t m_instance_count = 0;
  boost::circular_buffer<Observation> m_observations;
  boost::container::flat_map<InstanceName, Replica> m_replicas;
  std::optional<TimePoint> m_term_confirmed_at;
};

}  // namespace jackdawturn::routing
