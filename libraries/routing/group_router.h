#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

#include <boost/container/small_vector.hpp>

#include "core/core.h"
#include "routing/admission_queue.h"
#include "routing/concurrency_limiter.h"
#include "routing/connection_pool.h"
#include "routing/instance_choice.h"
#include "routing/replica_freshness.h"
#include "routing/retry_budget.h"
#include "routing/routing_events.h"
#include "routing/routing_machine.h"

namespace jackdawturn::routing {

struct RoutingTables;

// Routes the requests of one group for a RoutingMachine. Private to the
// library.
//
// A request waits (for a report, for a primary or for its back-off), is queued
// at an instance, is sent, or awaits confirmation: the primary's answer to a
// read is kept until a replica confirms that the primary was not replaced.
//
// Thread safety: not thread-safe.
class GroupRouter {
 public:
  // The time of an event and the list to which its effects are added.
  struct EventContext {
    TimePoint now;
    RoutingEffects& effects;
  };

  GroupRouter(GroupName name, RoutingMachine& owner);

  // Prefetches the state of the group into the CPU caches.
  void Prefetch() const;

  void Change(const GroupChanged& event, EventContext& context);
  void SetHealth(const InstanceHealthChanged& event, EventContext& context);
  void Arrive(const RoutedRequest& request, EventContext& context);
  void Abandon(const RequestId& request, EventContext& context);
  void Answer(const StatementAnswered& event, EventContext& context);
  void Report(const ReportArrived& event, EventContext& context);
  void Opened(const ConnectionOpened& event, EventContext& context);
  void Lost(const ConnectionLost& event, EventContext& context);
  void Released(const ConnectionReleased& event, EventContext& context);
  void Tick(EventContext& context);
  // Ends all requests and closes all connections.
  void Stop(EventContext& context);

  std::optional<TimePoint> NextWakeup(TimePoint now) const;
  std::vector<InstanceStatus> Status(TimePoint now) const;

  // The wake-up time that the machine has scheduled for this group.
  std::optional<TimePoint> scheduled;

 private:
  friend struct RoutingTables;

  struct Instance {
    Instance(InstanceView instance_view,
             const RoutingOptions& options,
             std::function<PoolConnectionId()> next_id)
        : view(std::move(instance_view)),
          limit(options.concurrency_limit),
          queue(options.admission),
          pool(options.pool, std::move(next_id)) {}

    InstanceView view;
    bool listed = true;
    bool was_stalled = false;
    InstanceHealth health = InstanceHealth::kHealthy;
    ConcurrencyLimiter limit;
    AdmissionQueue queue;
    ConnectionPool pool;
    // The position for which a query is outstanding, when it was sent and when
    // it times out.
    std::optional<LogPosition> awaited_position;
    TimePoint awaited_at;
    TimePoint awaited_until;
  };

  struct Attempt {
    Instance* instance = nullptr;
    PoolConnectionId connection;
    TimePoint sent_at;
    Term term;
    bool primary = false;
  };

  struct InFlightStatement {
    uint64_t key = 0;
    RequestId request;
    TimePoint sent_at;
  };

  enum class Stage {
    kWaiting,
    kBackingOff,
    kQueued,
    kSent,
    kAwaitingConfirmation
  };

  struct TrackedRequest {
    uint64_t key = 0;
    GroupRouter* group = nullptr;
    RoutedRequest request;
    TimePoint arrived;
    TimePoint due;
    TimePoint deadline;
    uint64_t class_hash = 0;
    uint64_t caller_hash = 0;
    Stage stage = Stage::kWaiting;
    RefusalReason reason = RefusalReason::kDeadline;
    Instance* queued_at = nullptr;
    // The instance that failed or refused the request last.
    Instance* avoid = nullptr;
    std::vector<Attempt> attempts;
    // The attempt whose answer waits for the report of a replica.
    std::optional<Attempt> unconfirmed_attempt;
    InstanceReport unconfirmed_report;
    // True when an attempt of a write was lost and may have run.
    bool outcome_unknown = false;
    bool abandoned = false;
    uint32_t tries = 0;
    TimePoint wake;
  };

  enum class FreshnessVerdict { kFresh, kNeedsReport, kStale };

  // Lookup.
  TrackedRequest* Find(uint64_t key);
  TrackedRequest* Find(const RequestId& request);
  Instance* FindInstance(const InstanceName& name) const;
  Instance* FindInstance(PoolConnectionId connection) const;
  bool IsPrimary(const Instance& instance) const;
  bool IsAvailable(const Instance& instance) const;
  Instance* UsablePrimary() const;
  static bool IsRead(const TrackedRequest& tracked);
  static bool AllowsStaleRead(const TrackedRequest& tracked);

  // Routing and sending.
  void Route(TrackedRequest& tracked, EventContext& context);
  void RouteRead(TrackedRequest& tracked, EventContext& context);
  Choice Choose(const TrackedRequest& tracked, bool hedge, TimePoint now);
  Candidate CandidateFor(const TrackedRequest& tracked,
                         Instance& instance,
                         TimePoint now);
  void Wait(TrackedRequest& tracked,
            TimePoint until,
            RefusalReason reason,
            EventContext& context);
  void Enqueue(TrackedRequest& tracked,
               Instance& instance,
               EventContext& context);
  void RefuseQueued(const QueueRefusal& refusal,
                    Instance& instance,
                    EventContext& context);
  void Dispatch(Instance& instance, EventContext& context);
  void DispatchAll(EventContext& context);
  bool MaySend(const TrackedRequest& tracked,
               const Instance& instance,
               TimePoint now) const;
  void Send(TrackedRequest& tracked,
            Instance& instance,
            PoolConnectionId connection,
            EventContext& context);
  void SendStep(TrackedRequest& tracked, EventContext& context);
  void Hedge(TrackedRequest& tracked, EventContext& context);
  void Retry(TrackedRequest& tracked, Instance* failed, EventContext& context);
  void Requeue(Instance& instance, EventContext& context);
  void SetPace(Instance& instance, TimePoint now);
  void SetWake(TrackedRequest& tracked, TimePoint wake);
  void SetStage(TrackedRequest& tracked, Stage stage);
  // Reevaluates the requests that wait for a report or for a primary.
  void ReevaluateWaiting(EventContext& context);

  // Answers.
  void HandleResult(TrackedRequest& tracked,
                    const Attempt& attempt,
                    const std::optional<InstanceReport>& report,
                    EventContext& context);
  FreshnessVerdict CheckFreshness(const TrackedRequest& tracked,
                                  const Attempt& attempt,
                                  const InstanceReport& report,
                                  TimePoint now) const;
  void DropUnconfirmedAnswer(TrackedRequest& tracked, EventContext& context);
  void StatementLost(Instance& instance,
                     PoolConnectionId connection,
                     EventContext& context);
  void AttemptLost(TrackedRequest& tracked,
                   PoolConnectionId connection,
                   EventContext& context);
  std::optional<Attempt> TakeAttempt(TrackedRequest& tracked,
                                     PoolConnectionId connection);

  // Completion of a request. Each of these functions removes it. A write that
  // may have run is handed over by ResolveUnknownOutcome instead of being
  // refused.
  void ReturnAnswer(TrackedRequest& tracked,
                    const Attempt& attempt,
                    EventContext& context);
  void Refuse(TrackedRequest& tracked,
              RefusalReason reason,
              EventContext& context);
  void HandOverUnknownOutcome(TrackedRequest& tracked, EventContext& context);
  void Expire(TrackedRequest& tracked, EventContext& context);
  void Remove(TrackedRequest& tracked, EventContext& context);

  // Reports and connections.
  void RecordAllowedAge(const TrackedRequest& tracked, EventContext& context);
  void QueryReports(bool replicas_only, EventContext& context);
  void QueryReport(const Instance& instance, EventContext& context);
  void QueryPosition(Instance& instance,
                     LogPosition position,
                     TimePoint until,
                     EventContext& context);
  void QueryReplicaForTerm(const TrackedRequest& tracked,
                           EventContext& context);
  void ApplyPool(Instance& instance,
                 const std::vector<PoolEffect>& pool_effects,
                 EventContext& context);
  void RemoveUnlisted();

  GroupName m_name;
  RoutingMachine& m_owner;
  const RoutingOptions& m_options;
  Term m_term;
  InstanceName m_primary;
  // The instance of that name; null when it is not listed.
  Instance* m_primary_instance = nullptr;
  // True when the primary reported a later term; it is not used until a new
  // record of the group arrives.
  bool m_primary_replaced = false;
  boost::container::small_vector<std::unique_ptr<Instance>, 4> m_instances;
  ReplicaFreshness m_freshness;
  RetryBudget m_retries;
  RetryBudget m_hedges;

  RoutingTables& m_tables;
  size_t m_in_progress = 0;
  std::set<std::pair<TimePoint, uint64_t>> m_wakes;
  // Requests in the stages kWaiting and kAwaitingConfirmation.
  std::set<uint64_t> m_awaiting_evidence;

  TimePoint m_last_stale_read;
  Duration m_min_allowed_age = Duration::max();
  std::optional<TimePoint> m_next_report;
  TimePoint m_last_term_query;
};

// The requests of all groups of a machine. They are kept in common tables,
// because with thousands of groups the memory of a single group is rarely in
// the CPU caches.
struct RoutingTables {
  uint64_t last_key = 0;
  std::unordered_map<uint64_t, std::unique_ptr<GroupRouter::TrackedRequest>>
      tracked_requests;
  std::unordered_map<RequestId, uint64_t> keys;
  // The statements in progress, including those whose request has ended.
  std::unordered_map<PoolConnectionId, GroupRouter::InFlightStatement>
      in_flight;
};

}  // namespace jackdawturn::routing
