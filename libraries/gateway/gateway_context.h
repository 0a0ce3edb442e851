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

// What replicas have shown of their progress.
struct ReplicaProgress {
  std::optional<CommitPosition> applied;
  // Reads that the replica refused as lagging stay away until then.
  TimePoint lagging_until;
};

// A claim to a group's change of primary, as this proxy first saw it.
struct SeenClaim {
  uint64_t revision = 0;
  TimePoint first_seen;
};

// What all sessions of one proxy share. Thread safety: not thread-safe.
struct GatewayContext {
  Timers& timers;
  // Connections to instances.
  BackendPool& pool;
  // Connections to proxies that hold those to instances.
  BackendPool& peer_pool;
  PeerDirectory& peers;
  ServerDirectory& directory;
  GatewayLog& log;
  ZoneName zone;
  // The configuration in force; null until the first one is known.
  std::shared_ptr<const GatewayConfig> config;
  std::map<GroupName, PositionHistory> positions;
  std::map<InstanceName, ReplicaProgress> progress;
  std::map<GroupName, SeenClaim> claims;
  PrimaryFailureDetector failure_detector;
  ReplicaLagMonitor lag_monitor;
  OtherZoneReachability zone_reachability;
  ZoneIsolation isolation;
  // When an instance last left its group with its log. Before this proxy
  // started, one may have left at any time.
  std::map<GroupName, TimePoint> last_member_loss;
  TimePoint started = timers.now();

  // Returns how many connections one instance of the group takes; 0 when the
  // configuration does not say.
  size_t ConnectionsOf(const GroupName& group) const {
    if (!config)
      return 0;
    const auto found = config->groups.find(group);
    return found == config->groups.end() ? 0 : found->second.connections;
  }
};

}  // namespace jackdawturn::gateway
