#include <algorithm>
#include <array>
#include <random>
#include <utility>

#include <openssl/rand.h>

#include "runtime/proxy_process.h"

namespace jackdawturn {

namespace {

constexpr size_t kRelayMemberBytes = 65'536;

Endpoint ToEndpoint(const SocketAddress& address) {
  return {address.ip, address.port};
}

std::vector<std::string> SecretsOf(const std::vector<Key>& keys) {
  std::vector<std::string> secrets;
  secrets.reserve(keys.size());
  for (const Key& key : keys)
    secrets.push_back(key.secret.value());
  return secrets;
}

// A key's number in a token follows from its name, so that it stays the same
// while keys are rotated.
Result<TokenKeys> TokenKeysOf(const std::vector<Key>& keys) {
  TokenKeys token_keys;
  for (const Key& key : keys) {
    const auto number = static_cast<uint8_t>(Hash64(key.id));
    if (!token_keys.secrets.emplace(number, key.secret.value()).second)
      return Failure(ErrorCode::kInvalidArgument, "settings.keys", "",
                     "two token keys have names with the same hash: " + key.id);
    if (&key == &keys.front())
      token_keys.current = number;
  }
  return token_keys;
}

// Ids must not be guessed, so the process does not go on without random bytes.
std::array<uint8_t, 16> SecureRandomBytes() {
  std::array<uint8_t, 16> bytes{};
  VERIFY(RAND_bytes(bytes.data(), static_cast<int>(bytes.size())) == 1);
  return bytes;
}

proxy::ServedGroup GroupOf(const GroupSettings& settings) {
  proxy::ServedGroup group{settings.name, {}};
  for (const InstanceSettings& instance : settings.instances)
    group.instances.push_back(
        {instance.name, instance.zone, instance.connection_limit});
  return group;
}

HttpServerLimits LimitsOf(const Settings& settings) {
  HttpServerLimits limits;
  limits.body_bytes = settings.limits.body_bytes;
  limits.header_bytes = static_cast<uint32_t>(settings.limits.header_bytes);
  limits.connections = settings.limits.caller_connections;
  limits.requests_per_second =
      static_cast<double>(settings.limits.requests_per_second_per_address);
  limits.idle_timeout =
      std::chrono::ceil<std::chrono::seconds>(settings.timeouts.caller_idle);
  return limits;
}

}  // namespace

Result<ProxyProcessOptions> OptionsFrom(const Settings& settings,
                                        uint64_t seed) {
  ProxyProcessOptions options;
  options.callers = ToEndpoint(settings.listen.callers);
  options.operators = ToEndpoint(settings.listen.operators);
  options.gossip = ToEndpoint(settings.listen.gossip);
  options.relay = ToEndpoint(settings.listen.relay);
  // A body in JSON is never smaller than the same request in a frame, apart
  // from the members that the proxy adds.
  options.relay_frame_bytes =
      2 * settings.limits.body_bytes + kRelayMemberBytes;
  options.relay_silence = settings.timeouts.peer_call;
  options.platform = ToEndpoint(settings.platform);
  options.operator_keys = SecretsOf(settings.keys.operators);
  options.caller_limits = LimitsOf(settings);
  options.operator_limits = options.caller_limits;
  options.operator_limits.connections = settings.limits.operator_connections;
  options.operator_limits.requests_per_second = 0;
  options.rings = settings.limits.rings;
  options.timeline_events = settings.retention.timeline_events;

  proxy::ProxyOptions& machine = options.proxy;
  machine.vm = settings.vm;
  machine.zone = settings.zone;
  machine.gossip_address = fleet::PeerAddress(options.gossip.ToString());
  machine.fleet_keys = SecretsOf(settings.keys.fleet);
  TRY(machine.token_keys, TokenKeysOf(settings.keys.tokens));
  machine.seed = seed;
  machine.secure_random_bytes = SecureRandomBytes;
  machine.holders_per_zone = settings.limits.holders_per_zone;
  machine.default_request_timeout = settings.timeouts.request;
  machine.max_request_timeout = settings.timeouts.request_max;
  machine.routing.zone = settings.zone;
  machine.transactions.idle_limit = settings.timeouts.transaction_idle;
  machine.transactions.total_limit = settings.timeouts.transaction_total;
  machine.retention.ledger = settings.retention.ledger;
  machine.drain.work_limit = settings.timeouts.drain;
  for (const PeerSettings& peer : settings.peers)
    machine.peers.push_back(
        {peer.vm, peer.zone,
         fleet::PeerAddress(ToEndpoint(peer.gossip).ToString())});
  for (const GroupSettings& group : settings.groups) {
    machine.groups.push_back(GroupOf(group));
    for (const InstanceSettings& instance : group.instances)
      options.instances[instance.name] = ToEndpoint(instance.address);
  }
  return options;
}

}  // namespace jackdawturn
