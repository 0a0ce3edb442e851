#pragma once

#include <map>
#include <memory>
#include <optional>
#include <string>

#include "gateway/backend_pool.h"
#include "gateway/gateway_log.h"
#include "gateway/other_zone_reachability.h"
#include "gateway/peer_directory.h"
#include "gateway/position_history.h"
#include "gateway/primary_failure_detector.h"
#include "gateway/replica_lag_monitor.h"
#include "gateway/server_directory.h"
#include "gateway/timers.h"
#include "gateway/zone_isolation.h"

namespace jackdawturn::gateway {

// The replication progress observed at one replica.
struct ReplicaProgress {
  std::optional<CommitPosition> applied;
  // Until this time, reads that the replica might refuse as lagging are sent to
  // other instances.
  TimePoint lagging_until;
};

// A claim to a group's primary change, as first observed by this proxy.
struct SeenClaim {
  uint64_t revision = 0;
  TimePoint first_seen;
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
  // The current configuration; null until the first one is received.
  std::shared_ptr<const GatewayConfig> config;
  std::map<GroupName, PositionHistory> positions;
  std::map<InstanceName, ReplicaProgress> progress;
  std::map<GroupName, SeenClaim> claims;
  PrimaryFailureDetector failure_detector;
  ReplicaLagMonitor lag_monitor;
  OtherZoneReachability zone_reachability;
  ZoneIsolation isolation;
  // When a group last lost an instance together with its log. Before `started`,
  // such a loss may have occurred at any time, unobserved by this proxy.
  std::map<GroupName, TimePoint> last_member_loss;
  TimePoint started = timers.now();

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
