#pragma once

// Public header of the library settings: the JSON settings of one proxy.

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <ostream>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "core/core.h"

namespace jackdawturn {

// The bytes of a key. It has no stream operator, so that it cannot reach a log
// by accident. Thread safety: as std::string.
class Secret {
 public:
  Secret() = default;
  explicit Secret(std::string value) : m_value(std::move(value)) {}

  // The bytes themselves; compare them in constant time only.
  const std::string& value() const { return m_value; }

 private:
  std::string m_value;
};

// An IP number (version 4 or 6, without brackets) and a port.
struct SocketAddress {
  std::string ip;
  uint16_t port = 0;

  friend auto operator<=>(const SocketAddress&, const SocketAddress&) = default;
};

// Writes "10.0.0.1:80" or "[fd00::1]:80".
std::ostream& operator<<(std::ostream& out, const SocketAddress& address);

// The addresses that a proxy listens on.
struct ListenSettings {
  SocketAddress callers;    // TCP, HTTP/1.1
  SocketAddress operators;  // TCP, HTTP/1.1, with a key
  SocketAddress relay;      // TCP, other proxies
  SocketAddress gossip;     // UDP, other proxies
};

// Another proxy, used for a cold start when the platform is down.
struct PeerSettings {
  VmName vm;
  ZoneName zone;
  SocketAddress relay;
  SocketAddress gossip;
};

// An instance of a group.
struct InstanceSettings {
  InstanceName name;
  ZoneName zone;
  SocketAddress address;
  // Connections that the instance accepts from the whole fleet.
  size_t connection_limit = 0;
  // Statements that the instance runs at a time.
  size_t slots = 0;
};

struct GroupSettings {
  GroupName name;
  std::vector<InstanceSettings> instances;
};

struct Key {
  // Names the key in messages and logs; it is not secret.
  std::string id;
  Secret secret;
};

// Each list has at least one key. The first key signs, every key verifies; a
// key is rotated by adding the new one last on every proxy, then moving it to
// the front on every proxy, then removing the old one.
struct KeySettings {
  std::vector<Key> operators;
  std::vector<Key> fleet;
  std::vector<Key> tokens;
};

// Capacities of the rings that lead to each thread, in items.
struct RingSettings {
  size_t callers = 4096;
  size_t backend_servers = 4096;
  size_t platform = 256;
  size_t peers = 4096;
  size_t decisions = 8192;
  size_t events = 8192;
  size_t relay = 4096;
};

struct LimitSettings {
  size_t body_bytes = 1'048'576;
  size_t header_bytes = 16'384;
  // Open connections of callers.
  size_t caller_connections = 10'000;
  // Open connections of operators.
  size_t operator_connections = 16;
  // Requests a second from one caller address, and how many may come at once.
  size_t requests_per_second_per_address = 5'000;
  size_t request_burst_per_address = 10'000;
  // Proxies of each zone that hold the connections of a group.
  size_t holders_per_zone = 3;
  RingSettings rings;
};

struct RetentionSettings {
  // How long the request ledger keeps an entry; longer than a month-end count.
  std::chrono::days ledger{40};
  // Events that the ring of the time line keeps.
  size_t timeline_events = 16'384;
};

struct TimeoutSettings {
  // Deadline of a request that names none, and the longest that it may name.
  std::chrono::milliseconds request{2'000};
  std::chrono::milliseconds request_max{30'000};
  // How long a transaction may wait for its next statement, and last in all.
  std::chrono::milliseconds transaction_idle{2'000};
  std::chrono::milliseconds transaction_total{10'000};
  // Opening a connection to an instance; a call on an open connection.
  std::chrono::milliseconds open_connection{500};
  std::chrono::milliseconds backend_call{1'000};
  // The longest wait of a report for a position (requirement B8).
  std::chrono::milliseconds report_wait{50};
  std::chrono::milliseconds platform_call{500};
  // A connection to another proxy that is opened, or that stays silent with
  // relayed requests on it, is closed after this time.
  std::chrono::milliseconds peer_call{500};
  // Time between two rounds of gossip.
  std::chrono::milliseconds gossip_period{200};
  // A caller's connection without a request is closed after this time.
  std::chrono::milliseconds caller_idle{60'000};
  // How long a drain waits for work in progress.
  std::chrono::milliseconds drain{30'000};
};

// The settings of one proxy.
struct Settings {
  VmName vm;
  std::string region;
  // The availability zone of this proxy; one of `zones`.
  ZoneName zone;
  // All availability zones of the region.
  std::vector<ZoneName> zones;
  ListenSettings listen;
  SocketAddress platform;
  std::vector<PeerSettings> peers;
  // Empty when the groups come from the platform's records.
  std::vector<GroupSettings> groups;
  KeySettings keys;
  LimitSettings limits;
  RetentionSettings retention;
  TimeoutSettings timeouts;
};

// One fault in a settings file.
struct SettingsError {
  // JSON pointer (RFC 6901) to the value; "" is the whole document.
  std::string pointer;
  // The value as JSON, shortened; "(secret)" if it could contain a secret and
  // empty if the value is absent.
  std::string value;
  // What was expected there, for example "an integer from 1 to 65535".
  std::string expected;
};

// Writes `pointer=... value=... expected=...`.
std::ostream& operator<<(std::ostream& out, const SettingsError& error);

// The settings, or every fault that was found; `settings` has a meaning only
// when `errors` is empty.
struct SettingsCheck {
  Settings settings;
  std::vector<SettingsError> errors;

  bool valid() const { return errors.empty(); }
};

// Checks the text of a settings file against schemas/settings.schema.json and
// against the rules that a schema cannot express. Never throws. Thread-safe.
SettingsCheck CheckSettings(std::string_view json);

// Reads and checks the file at `path`. Errors: kNotFound when the file cannot
// be read, kInvalidArgument with one line for each fault. Thread-safe.
Result<Settings> LoadSettings(const std::string& path);

// The JSON Schema that is built into the binary. Thread-safe.
std::string_view SettingsSchema();

}  // namespace jackdawturn
