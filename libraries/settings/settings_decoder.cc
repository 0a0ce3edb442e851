#include "settings/settings_decoder.h"

#include <concepts>

namespace jackdawturn {

namespace json = boost::json;

namespace {

// Returns the member of an object, or nullptr.
const json::value* Member(const json::value* parent, std::string_view key) {
  const json::object* object =
      parent == nullptr ? nullptr : parent->if_object();
  return object == nullptr ? nullptr : object->if_contains(key);
}

void Decode(const json::value* value, std::string& text) {
  if (const json::string* found = value ? value->if_string() : nullptr)
    text.assign(found->data(), found->size());
}

template <typename Tag>
void Decode(const json::value* value, Identifier<Tag>& name) {
  std::string text;
  Decode(value, text);
  name = Identifier<Tag>(text);
}

template <std::unsigned_integral T>
void Decode(const json::value* value, T& number) {
  if (const int64_t* found = value ? value->if_int64() : nullptr)
    number = static_cast<T>(*found);
}

// The unit of the duration is the unit of the number.
template <typename Rep, typename Period>
void Decode(const json::value* value,
            std::chrono::duration<Rep, Period>& duration) {
  if (const int64_t* found = value ? value->if_int64() : nullptr)
    duration = std::chrono::duration<Rep, Period>(*found);
}

template <typename T>
void Decode(const json::value* value, std::vector<T>& list);

void Decode(const json::value* value, SocketAddress& address) {
  Decode(Member(value, "ip"), address.ip);
  Decode(Member(value, "port"), address.port);
}

void Decode(const json::value* value, ListenSettings& listen) {
  Decode(Member(value, "callers"), listen.callers);
  Decode(Member(value, "operators"), listen.operators);
  Decode(Member(value, "relay"), listen.relay);
  Decode(Member(value, "gossip"), listen.gossip);
}

void Decode(const json::value* value, PeerSettings& peer) {
  Decode(Member(value, "vm"), peer.vm);
  Decode(Member(value, "zone"), peer.zone);
  Decode(Member(value, "relay"), peer.relay);
  Decode(Member(value, "gossip"), peer.gossip);
}

void Decode(const json::value* value, InstanceSettings& instance) {
  Decode(Member(value, "name"), instance.name);
  Decode(Member(value, "zone"), instance.zone);
  Decode(Member(value, "address"), instance.address);
  Decode(Member(value, "connection_limit"), instance.connection_limit);
  Decode(Member(value, "slots"), instance.slots);
}

void Decode(const json::value* value, GroupSettings& group) {
  Decode(Member(value, "name"), group.name);
  Decode(Member(value, "instances"), group.instances);
}

void Decode(const json::value* value, Key& key) {
  Decode(Member(value, "id"), key.id);
  std::string secret;
  Decode(Member(value, "secret"), secret);
  key.secret = Secret(std::move(secret));
}

void Decode(const json::value* value, KeySettings& keys) {
  Decode(Member(value, "operators"), keys.operators);
  Decode(Member(value, "fleet"), keys.fleet);
  Decode(Member(value, "tokens"), keys.tokens);
}

void Decode(const json::value* value, RingSettings& rings) {
  Decode(Member(value, "callers"), rings.callers);
  Decode(Member(value, "backend_servers"), rings.backend_servers);
  Decode(Member(value, "platform"), rings.platform);
  Decode(Member(value, "peers"), rings.peers);
  Decode(Member(value, "decisions"), rings.decisions);
  Decode(Member(value, "events"), rings.events);
  Decode(Member(value, "relay"), rings.relay);
}

void Decode(const json::value* value, LimitSettings& limits) {
  Decode(Member(value, "body_bytes"), limits.body_bytes);
  Decode(Member(value, "header_bytes"), limits.header_bytes);
  Decode(Member(value, "caller_connections"), limits.caller_connections);
  Decode(Member(value, "operator_connections"), limits.operator_connections);
  Decode(Member(value, "requests_per_second_per_address"),
         limits.requests_per_second_per_address);
  Decode(Member(value, "request_burst_per_address"),
         limits.request_burst_per_address);
  Decode(Member(value, "holders_per_zone"), limits.holders_per_zone);
  Decode(Member(value, "rings"), limits.rings);
}

void Decode(const json::value* value, RetentionSettings& retention) {
  Decode(Member(value, "ledger_days"), retention.ledger);
  Decode(Member(value, "timeline_events"), retention.timeline_events);
}

void Decode(const json::value* value, TimeoutSettings& timeouts) {
  Decode(Member(value, "request_ms"), timeouts.request);
  Decode(Member(value, "request_max_ms"), timeouts.request_max);
  Decode(Member(value, "transaction_idle_ms"), timeouts.transaction_idle);
  Decode(Member(value, "transaction_total_ms"), timeouts.transaction_total);
  Decode(Member(value, "open_connection_ms"), timeouts.open_connection);
  Decode(Member(value, "backend_call_ms"), timeouts.backend_call);
  Decode(Member(value, "report_wait_ms"), timeouts.report_wait);
  Decode(Member(value, "platform_call_ms"), timeouts.platform_call);
  Decode(Member(value, "peer_call_ms"), timeouts.peer_call);
  Decode(Member(value, "gossip_period_ms"), timeouts.gossip_period);
  Decode(Member(value, "caller_idle_ms"), timeouts.caller_idle);
  Decode(Member(value, "drain_ms"), timeouts.drain);
}

// Defined after the other overloads, so that it finds all of them.
template <typename T>
void Decode(const json::value* value, std::vector<T>& list) {
  const json::array* items = value == nullptr ? nullptr : value->if_array();
  if (items == nullptr)
    return;
  list.resize(items->size());
  for (size_t index = 0; index < items->size(); ++index)
    Decode(&(*items)[index], list[index]);
}

}  // namespace

Settings DecodeSettings(const json::value& document) {
  Settings settings;
  Decode(Member(&document, "vm"), settings.vm);
  Decode(Member(&document, "region"), settings.region);
  Decode(Member(&document, "zone"), settings.zone);
  Decode(Member(&document, "zones"), settings.zones);
  Decode(Member(&document, "listen"), settings.listen);
  Decode(Member(&document, "platform"), settings.platform);
  Decode(Member(&document, "peers"), settings.peers);
  Decode(Member(&document, "groups"), settings.groups);
  Decode(Member(&document, "keys"), settings.keys);
  Decode(Member(&document, "limits"), settings.limits);
  Decode(Member(&document, "retention"), settings.retention);
  Decode(Member(&document, "timeouts"), settings.timeouts);
  return settings;
}

}  // namespace jackdawturn
