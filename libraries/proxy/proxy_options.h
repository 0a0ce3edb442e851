#pragma once

#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "core/core.h"
#include "failover/failover.h"
#include "fleet/fleet.h"
#include "requests/requests.h"
#include "routing/routing.h"
#include "sessions/sessions.h"

namespace jackdawturn::proxy {

struct ServedInstance {
  InstanceName name;
  ZoneName zone;
  // Limit for the connections of the whole fleet.
  size_t connection_limit = 16;
};

// A group that this proxy serves.
struct ServedGroup {
  GroupName name;
  std::vector<ServedInstance> instances;
};

struct ProxyOptions {
  VmName vm;
  ZoneName zone;
  // Where this proxy receives datagrams.
  fleet::PeerAddress gossip_address;
  std::vector<ServedGroup> groups;
  std::vector<fleet::NodeInfo> peers;
  // Proxies of a zone that hold the connections of a group.
  size_t holders_per_zone = 3;
  std::vector<std::string> fleet_keys;
  TokenKeys token_keys;
  // Generates the random bytes of ids that callers must not be able to guess.
  // If empty, ids are derived from the seed; only tests may do so.
  std::function<std::array<uint8_t, 16>()> secure_random_bytes;
  // Seed of the jitter; must differ between proxies and between restarts of one
  // proxy.
  uint64_t seed = 0;
  // The wall clock at the time of ProxyMachine::Start, for event timestamps.
  ClockTime wall_clock;
  // Timeout of a request without a deadline, and the maximum that a request may
  // specify.
  Duration default_request_timeout = std::chrono::seconds(2);
  Duration max_request_timeout = std::chrono::seconds(30);

  routing::RoutingOptions routing;
  requests::RequestOptions requests;
  requests::TransactionOptions transactions;
  requests::RetentionOptions retention;
  failover::FailoverTimes failover;
  fleet::DrainOptions drain;
};

}  // namespace jackdawturn::proxy
