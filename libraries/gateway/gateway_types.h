#pragma once

#include <array>
#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "core/core.h"

namespace jackdawturn::gateway {

// A position in a database's log: the term and number of its last commit.
// Ordered by term, then by number, because numbers are comparable only within
// one term.
struct CommitPosition {
  uint64_t term = 0;
  uint64_t number = 0;

  friend auto operator<=>(const CommitPosition&,
                          const CommitPosition&) = default;
};

// Returns the text used in logs, for example "3.1207". Thread-safe.
std::string ToString(const CommitPosition& position);

// Which commits a read must see.
enum class ReadFreshness {
  kPrimary,           // Every commit acknowledged before the read.
  kBoundedStaleness,  // Those acknowledged max_staleness or longer ago.
  kReadYourWrites,    // As kBoundedStaleness, and all of the own session.
};

// How the statements of one database name are served.
struct Route {
  std::string database;
  GroupName group;
  ReadFreshness freshness = ReadFreshness::kPrimary;
  // The staleness limit of kBoundedStaleness and kReadYourWrites.
  Duration max_staleness{0};
  // Limits one statement.
  Duration statement_timeout{0};
  // The target for the latency of the whole operation.
  Duration target_latency{0};
  // 0 is the highest priority.
  uint64_t priority = 0;
  // Whether clients without an API key are served as well.
  bool is_public = false;
  // The configuration version that last changed the route.
  uint64_t last_changed_version = 0;

  // Returns whether the operator's settings are equal; last_changed_version is
  // not compared.
  bool HasSameSettings(const Route& other) const;
};

// Limits of one group of instances.
struct GroupLimits {
  // Connections to one instance from all proxies together.
  size_t connections = 0;
  // The number of replicas that must receive a commit before it is
  // acknowledged.
  uint64_t sync_replicas = 0;
};

// The SHA-256 digest of an API key. Keys themselves are not kept, so that none
// reaches a log, a metric or another process.
using ApiKeyDigest = std::array<uint8_t, 32>;

// Returns the digest of an API key. Thread-safe.
ApiKeyDigest DigestApiKey(std::string_view key);

// How many operations of a customer the whole fleet may start: within any time
// `t`, `per_second` * t + `burst` of them.
struct RateLimit {
  double per_second = 0;
  double burst = 0;

  friend bool operator==(const RateLimit&, const RateLimit&) = default;
};

// Whose clients share connections and a rate limit.
struct Customer {
  // Nothing: operations are not limited.
  std::optional<RateLimit> limit;
};

// One version of the operator's configuration. Immutable once published.
struct GatewayConfig {
  uint64_t version = 0;
  std::map<std::string, Route> routes;
  std::map<GroupName, GroupLimits> groups;
  // Whether clients must present the API key of a customer, except on public
  // routes.
  bool requires_api_keys = false;
  std::map<CustomerName, Customer> customers;
  std::map<ApiKeyDigest, CustomerName> key_holders;
  // The proxy ends a transaction that is idle for this long; 0: never.
  Duration transaction_idle{0};

  // Copies last_changed_version of each unchanged route from the configuration
  // version before.
  void InheritRouteVersions(const GatewayConfig& earlier);

  // Returns the name of a database that has a route, or "" without routes.
  std::string AnyDatabase() const {
    return routes.empty() ? "" : routes.begin()->first;
  }

  // Returns the customer that holds the key, or null.
  const CustomerName* FindKeyHolder(const ApiKeyDigest& key) const {
    const auto found = key_holders.find(key);
    return found == key_holders.end() ? nullptr : &found->second;
  }

  // Returns the route of a database name, or null.
  const Route* FindRoute(const std::string& database) const {
    const auto found = routes.find(database);
    return found == routes.end() ? nullptr : &found->second;
  }
};

enum class ReplicationRole { kPrimary, kReplica };

// An instance of a group, as registered by the instance itself.
struct BackendServer {
  InstanceName id;
  GroupName group;
  std::string address;
  ZoneName zone;
  ReplicationRole role = ReplicationRole::kReplica;
  bool draining = false;
  // Changes when the instance restarts with empty memory.
  uint64_t incarnation = 0;
  // The store's revision of this record.
  uint64_t revision = 0;
  // The customer for whom a connection is opened; empty for the proxy itself.
  CustomerName customer;
};

// The outcome of a statement as reported by the instance or the proxy.
enum class ReplyCode {
  kDone,
  // The statement did not run, and the attempt had no effect.
  kBusy,
  kAborted,
  kLagging,
  kReadOnly,
  kMisrouted,
  kTooManyConnections,
  kNoStatement,
  // The statement ran or may have run.
  kFailed,
  kTimeout,
  kUnknown,
  // The statement cannot be served at all.
  kNoDatabase,
  kUnauthorized,
  kMalformed,
  kOther,
};

// Returns the name used in logs, for example "read_only". Thread-safe.
std::string_view ToString(ReplyCode code);

// Returns whether the code says that the statement did not run. Thread-safe.
bool GuaranteesNotRun(ReplyCode code);

enum class TransactionState { kNone, kOpen, kFailed };

// A statement of a client.
struct ClientStatement {
  enum class Kind {
    kBegin,
    kBeginRead,
    kCommit,
    kRollback,
    kRead,
    kWrite,
    kSetValue,
    kPrepare,
    kExecute,
    kClosePrepared,
    kDiscard,  // From other proxies: clears values and prepared statements.
    kMalformed,
  };

  RequestId id;
  Kind kind = Kind::kMalformed;
  // The statement as the client wrote it.
  std::string text;
  // The name of a session value or prepared statement.
  std::string name;
  // The value, the shape of a prepared statement, or the arguments of kExecute.
  std::string argument;
  // kPrepare: whether the prepared statement writes.
  bool writes = false;
  // Sent by other proxies: a commit that the read or transaction must see.
  std::optional<CommitPosition> after;
};

// The answer to a client's statement.
struct ClientReply {
  ReplyCode code = ReplyCode::kDone;
  // Rows as the instance encoded them.
  std::vector<std::string> rows;
  // The instance's signature; empty for an answer of the proxy itself.
  std::string signature;
  // Explains an error.
  std::string message;
  TransactionState state = TransactionState::kNone;
  std::optional<CommitPosition> position;
};

}  // namespace jackdawturn::gateway
