#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "gateway/acknowledged_positions.h"
#include "gateway/backend_pool.h"
#include "gateway/claims_view.h"
#include "gateway/drain_schedule.h"
#include "gateway/gateway_log.h"
#include "gateway/other_zone_reachability.h"
#include "gateway/peer_directory.h"
#include "gateway/position_history.h"
#include "gateway/primary_change_record.h"
#include "gateway/primary_failure_detector.h"
#include "gateway/primary_lease.h"
#include "gateway/replica_lag_monitor.h"
#include "gateway/server_directory.h"
#include "gateway/store_contact.h"
#include "gateway/timers.h"
#include "gateway/zone_isolation.h"
#include "routing/routing.h"

namespace jackdawturn::gateway {

// The replication progress observed at one replica.
struct ReplicaProgress {
  std::optional<CommitPosition> applied;
  // Until this time, reads that the replica might refuse as lagging are sent to
  // other instances.
  TimePoint lagging_until;
};

// Whether an operation of a customer may start now.
struct OperationDecision {
  bool admitted = true;
  // If not: when the client should retry.
  Duration retry_after{0};
};

// State shared by all sessions of a proxy. Thread safety: not thread-safe.
struct GatewayContext {
  Timers& timers;
  // Connections to instances.
  BackendPool& pool;
  // Connections to the proxies that hold connections to instances.
  BackendPool& peer_pool;
  PeerDirectory& peers;
  ServerDirectory& directory;
  GatewayLog& log;
  ZoneName zone;
  StoreContact store_contact;
  // When this proxy learned that the present era of the store has begun, in
  // which the store may lack claims; nullopt if the store has no eras.
  std::optional<TimePoint> store_restored_at;
  ClaimsView claims;
  // The current configuration; null until the first one is received.
  std::shared_ptr<const GatewayConfig> config;
  std::map<GroupName, PositionHistory> positions;
  std::map<InstanceName, ReplicaProgress> progress;
  KnownPrimaryChanges changes;
  AcknowledgedPositions acknowledged;
  PrimaryFailureDetector failure_detector;
  ReplicaLagMonitor lag_monitor;
  OtherZoneReachability zone_reachability;
  ZoneIsolation isolation;
  PrimaryLease leases;
  // Tries to renew a group's lease and calls `then` at the end. Null if a
  // promotion deposes the old primary, so that no lease is needed.
  std::function<void(const GroupName& group, std::function<void()> then)>
      renew_lease;
  // Decides whether a commit survives the change of the group's primary that is
  // in progress, see CommitConfirmation::Confirm(). Null: every commit does.
  std::function<void(const GroupName& group,
                     CommitPosition position,
                     TimePoint deadline,
                     std::function<void(bool survives)> on_decision)>
      confirm_commit;
  // Decides whether a customer may start one more operation under its rate
  // limit, and calls `on_decision` once, at the latest at `deadline`. Null: no
  // customer is limited.
  std::function<void(const CustomerName& customer,
                     TimePoint deadline,
                     std::function<void(OperationDecision)> on_decision)>
      admit_operation;
  // Returns whether a commit of the group that is sent now may be confirmed,
  // see CommitConfirmation::MayConfirm(). Null: every commit may.
  std::function<bool(const GroupName& group)> may_confirm_commit;
  // Since when no primary of a group could be reached by statements that need
  // one.
  std::map<GroupName, TimePoint> no_primary_since;
  // Limits how many statements are sent again after an instance had no room
  // for them or did not answer. The reserve covers the statements that one
  // instance leaves unanswered when it fails.
  routing::RetryBudget retries{{.share = 0.1, .max_tokens = 32}};
  // When a group last lost an instance together with its log. Before `started`,
  // such a loss may have occurred at any time, unobserved by this proxy.
  std::map<GroupName, TimePoint> last_member_loss;
  TimePoint started = timers.now();
  // Set when this process was told to stop.
  std::optional<DrainSchedule> drain;

  // Returns whether a statement that takes up to `longest` may still start.
  bool HasTimeFor(Duration longest) const {
    return !drain || drain->HasTimeFor(timers.now(), longest);
  }
  // Returns whether the drain has reached the phase.
  bool DrainReached(DrainPhase phase) const {
    return drain && drain->PhaseAt(timers.now()) >= phase;
  }

  // Returns whether a replaced primary may continue to lead, so that its reads
  // need a lease.
  bool needs_leases() const { return renew_lease != nullptr; }

  // Returns whether the lease of the primary lasts beyond `time`, or none is
  // needed.
  bool HasLease(const GroupName& group,
                const InstanceName& primary,
                TimePoint time) const {
    if (!needs_leases())
      return true;
    const auto end = leases.End(group, primary);
    return end && time < *end;
  }

  // Returns whether the primary of `term` may be replaced by a change that this
  // proxy knows of. One that replaces an abandoned claim may also replace a
  // primary that was promoted under that claim.
  bool ChangePending(const GroupName& group, uint64_t term) const {
    const PrimaryChangeRecord* change = changes.Pending(group, timers.now());
    return change && (change->term == 0 || term <= change->term ||
                      changes.EarlierPending(group, timers.now()));
  }

  // Returns whether every claim to a change of a primary is known.
  bool HearsOfClaims() const {
    return claims.Complete(timers.now(), store_contact);
  }

  // Returns whether an acknowledgement or a replica may renew the lease of the
  // primary of `term`.
  bool MayRenewLease(const GroupName& group, uint64_t term) const {
    return HearsOfClaims() && !ChangePending(group, term);
  }

  // Returns whether an acknowledged commit has been received by a replica.
  bool CommitsReachReplicas(const GroupName& group) const {
    if (!config)
      return false;
    const auto found = config->groups.find(group);
    return found != config->groups.end() && found->second.sync_replicas > 0;
  }

  // Returns the connection limit of one instance of the group; 0 if it is not
  // configured.
  size_t ConnectionsOf(const GroupName& group) const {
    if (!config)
      return 0;
    const auto found = config->groups.find(group);
    return found == config->groups.end() ? 0 : found->second.connections;
  }
};

}  // namespace jackdawturn::gateway
