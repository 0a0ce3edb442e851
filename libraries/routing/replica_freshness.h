#pragma once

#include <optional>

#include <boost/circular_buffer.hpp>
#include <boost/container/flat_map.hpp>

#include "core/core.h"
#include "routing/routing_options.h"

namespace jackdawturn::routing {

// Upper bounds of the age of the replicas of one group, derived only from
// reports.
//
// The primary of term t reports position p in reply to a query sent at s. A
// replica with a log of term t that contains p has everything committed until
// s, provided that no later term had begun by s. A promotion must first fence
// all instances but one. Reports of both the primary and the replica with
// accepted term t, in reply to queries sent at s or later, therefore exclude a
// later term by s.
//
// Thread safety: not thread-safe.
class ReplicaFreshness {
 public:
  explicit ReplicaFreshness(FreshnessOptions options);

  // Begins a term with this primary (empty while it is being replaced) and this
  // number of instances. A change of term discards all bounds. An empty primary
  // in the same term leaves the known primary in place.
  void SetTerm(Term term, const InstanceName& primary, size_t instance_count);

  Term term() const { return m_term; }
  // Prefetches the replicas into the CPU caches.
  void Prefetch() const {
    if (m_replicas.empty() || m_observations.empty())
      return;
    __builtin_prefetch(&m_observations.back());
    for (const auto& entry : m_replicas)
      __builtin_prefetch(&entry.second);
  }

  // Processes a report in reply to a query sent at `asked_at`. Reports of
  // another term and reports out of order are accepted.
  void Report(const InstanceName& instance,
              const InstanceReport& report,
              TimePoint asked_at);

  // Removes an instance that is no longer in the group.
  void Remove(const InstanceName& instance);

  // Returns the time until which a replica whose log ends at `held` has
  // everything that was committed; empty when no bound is known.
  std::optional<TimePoint> CoveredUntil(const InstanceName& replica,
                                        const TermPosition& held) const;

  // Returns the same for the last position that the replica reported. For the
  // primary, nothing was committed in a later term until the returned time,
  // provided that the primary reports its term as accepted then or later.
  std::optional<TimePoint> CoveredUntil(const InstanceName& instance) const;

  // Returns the highest position that the instance reported in this term.
  std::optional<TermPosition> LastReportedPosition(
      const InstanceName& instance) const;

  // Returns the time of the newest query to which a replica replied with this
  // term as its accepted term. A read that is sent to the primary at this time
  // or later, and answered with this accepted term, is not older than it.
  std::optional<TimePoint> TermConfirmedAt() const {
    return m_term_confirmed_at;
  }

  // Returns the estimated replication lag; for forecasts only.
  Duration Lag(const InstanceName& replica) const;

  // Returns the forecast time at which the replica reaches `position`, not
  // before `now`.
  TimePoint ExpectedAt(const InstanceName& replica,
                       LogPosition position,
                       TimePoint now) const;

 private:
  // The position that the primary reported in reply to a query sent at
  // `asked_at`.
  struct Observation {
    TimePoint asked_at;
    LogPosition position;
    // When the position was first observed.
    TimePoint first_seen;
  };
  struct Replica {
    // When the newest query was sent that the replica answered with the group's
    // term as its accepted term.
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
  std::optional<TimePoint> FindCoveredUntil(LogPosition position,
                                            TimePoint until) const;
  void ThinObservations();

  FreshnessOptions m_options;
  Term m_term;
  InstanceName m_primary;
  size_t m_instance_count = 0;
  boost::circular_buffer<Observation> m_observations;
  boost::container::flat_map<InstanceName, Replica> m_replicas;
  std::optional<TimePoint> m_term_confirmed_at;
};

}  // namespace jackdawturn::routing
