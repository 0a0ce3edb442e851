#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <unordered_map>
#include <utility>
#include <vector>

#include <boost/unordered/unordered_flat_map.hpp>

#include "core/core.h"
#include "routing/instance_choice.h"
#include "routing/routing_events.h"
#include "routing/routing_options.h"

namespace jackdawturn::routing {

class GroupRouter;
struct RoutingTables;

// Counters of a RoutingMachine since its creation.
struct RoutingCounts {
  uint64_t arrived = 0;
  uint64_t answered = 0;
  uint64_t refused = 0;
  uint64_t unknown_outcomes = 0;
  // Reads that were answered by a replica and by the primary.
  uint64_t replica_reads = 0;
  uint64_t primary_reads = 0;
  uint64_t retries = 0;
  uint64_t hedges = 0;
  // Answers to reads that could not be shown to be fresh and were dropped.
  uint64_t dropped_answers = 0;
  uint64_t silent_connections = 0;
};

// The state of one instance, for the status page and metrics.
struct InstanceStatus {
  InstanceName name;
  bool primary = false;
  bool leaving = false;
  bool stalled = false;
  InstanceHealth health = InstanceHealth::kHealthy;
  // Upper bound of its age; empty for the primary or when no bound is known.
  std::optional<Duration> age_bound;
  Duration lag{0};
  size_t waiting = 0;
  size_t in_progress = 0;
  size_t open_connections = 0;
  double slot_limit = 0;
};

// Routes the requests of all groups that this proxy serves: chooses an
// instance, admits or refuses by deadline, sends on a connection of the pool,
// retries and hedges within budgets, and returns the answer to a read only when
// it is shown to be fresh enough. Each request that arrives ends with exactly
// one of GiveAnswer, RefuseRequest and ResolveUnknownOutcome, by its deadline,
// or without effect after CallerDisconnected.
//
// Thread safety: not thread-safe; owned by the decision thread.
class RoutingMachine {
 public:
  // `seed` initializes the random number generator for jitter.
  RoutingMachine(RoutingOptions options, uint64_t seed);
  ~RoutingMachine();
  RoutingMachine(const RoutingMachine&) = delete;
  RoutingMachine& operator=(const RoutingMachine&) = delete;

  // Handles an event and returns the effects to carry out. `now` must not
  // decrease from call to call.
  RoutingEffects Handle(const RoutingEvent& event, TimePoint now);

  // Returns when Handle(TimePassed) must be called next; empty when it need not
  // be.
  std::optional<TimePoint> NextWakeup() const;

  const RoutingCounts& counts() const { return m_counts; }
  // Returns the number of requests in progress of all groups.
  size_t in_progress() const { return m_in_progress; }
  // Returns the state of the group's instances; empty for an unknown group.
  std::vector<InstanceStatus> Status(const GroupName& group,
                                     TimePoint now) const;

 private:
  friend class GroupRouter;
  using Groups = boost::unordered_flat_map<GroupName,
                                           std::unique_ptr<GroupRouter>,
                                           std::hash<GroupName>>;

  void HandleEvent(const RoutingEvent& event,
                   TimePoint now,
                   RoutingEffects& effects);
  static void Dispatch(GroupRouter& group,
                       const RoutingEvent& event,
                       TimePoint now,
                       RoutingEffects& effects);
  // Schedules the next wake-up of the group, not before `soonest`. An earlier
  // wake-up that is no longer needed stays, as it costs less than its removal.
  void Schedule(GroupRouter& group, TimePoint soonest);
  void Wake(TimePoint now, RoutingEffects& effects);
  void RebuildWakeups();
  // Counts a request as in progress. Returns the reason for its refusal when it
  // exceeds a limit. ReturnPlace must be called in both cases.
  std::optional<RefusalReason> TakePlace(uint64_t class_hash,
                                         uint64_t caller_hash,
                                         size_t group_in_progress);
  void ReturnPlace(uint64_t class_hash, uint64_t caller_hash);

  RoutingOptions m_options;
  std::mt19937_64 m_random;
  RoutingCounts m_counts;
  size_t m_in_progress = 0;
  std::unordered_map<uint64_t, size_t> m_in_progress_by_class;
  std::unordered_map<uint64_t, size_t> m_in_progress_by_caller;
  PoolConnectionId m_last_connection;
  std::unique_ptr<RoutingTables> m_tables;
  Groups m_groups;
  // A heap with the earliest time first. An entry that is not the scheduled
  // time of its group is stale and is dropped when it becomes due.
  std::vector<std::pair<TimePoint, GroupRouter*>> m_wakeups;
  // Scratch buffer for the candidates of a choice.
  std::vector<Candidate> m_candidates;
};

}  // namespace jackdawturn::routing
