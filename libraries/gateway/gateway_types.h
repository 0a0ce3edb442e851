#pragma once

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

// One version of the operator's configuration. Immutable once published.
struct GatewayConfig {
  uint64_t version = 0;
  std::map<std::string, Route> routes;
  std::map<GroupName, GroupLimits> groups;
  // The proxy ends a transaction that is idle for this long; 0: never.
  Duration transaction_idle{0};

  // Copies last_changed_version of each unchanged route from the configuration
  // version before.
  void InheritRouteVersions(const GatewayConfig& earlier);

  // Returns the name of a database that has a route, or "" without routes.
  std::string AnyDatabase() const {
    return routes.empty() ? "" : routes.begin()->first;
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
