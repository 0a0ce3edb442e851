#pragma once

#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "core/core.h"

namespace jackdawturn::gateway {

// Where a database's log stands: the term of the last commit and its number.
// Numbers of different terms are only comparable in this order.
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
  kPrimary,           // Every commit that was acknowledged before it.
  kBoundedStaleness,  // Those acknowledged longer ago than the allowed age.
  kReadYourWrites,    // As kBoundedStaleness, and all of its own session.
};

// How the statements of one database name are served.
struct Route {
  std::string database;
  GroupName group;
  ReadFreshness freshness = ReadFreshness::kPrimary;
  // The allowed age of kBoundedStaleness and kReadYourWrites.
  Duration max_staleness{0};
  // Limits one statement.
  Duration statement_timeout{0};
  // The whole operation should end within this time.
  Duration target_latency{0};
  // 0 is the most important.
  uint64_t priority = 0;
  // The configuration's version since which the route is as it is.
  uint64_t last_changed_version = 0;

  // Compares what the operator wrote.
  bool HasSameSettings(const Route& other) const;
};

// Limits of one group of instances.
struct GroupLimits {
  // Connections to one instance from all proxies together.
  size_t connections = 0;
  // Replicas that must have received a commit before it is acknowledged.
  uint64_t sync_replicas = 0;
};

// One version of the operator's configuration. Immutable once published.
struct GatewayConfig {
  uint64_t version = 0;
  std::map<std::string, Route> routes;
  std::map<GroupName, GroupLimits> groups;
  // A transaction without a statement for this long may be ended.
  Duration transaction_idle{0};

  // Takes over since when each route is as it is from the version before.
  void InheritRouteVersions(const GatewayConfig& earlier);

  // Returns the name of a database that has a route; empty without routes.
  std::string AnyDatabase() const {
    return routes.empty() ? "" : routes.begin()->first;
  }

  // Returns the route of a database name, or nothing.
  const Route* FindRoute(const std::string& database) const {
    const auto found = routes.find(database);
    return found == routes.end() ? nullptr : &found->second;
  }
};

enum class ReplicationRole { kPrimary, kReplica };

// An instance of a group as it describes itself in the registry.
struct BackendServer {
  InstanceName id;
  GroupName group;
  std::string address;
  ZoneName zone;
  ReplicationRole role = ReplicationRole::kReplica;
  bool draining = false;
  // Changes when the instance starts again with an empty memory.
  uint64_t incarnation = 0;
  // The registry's revision of this description.
  uint64_t revision = 0;
};

// How a statement ended, as the instance or the proxy reports it.
enum class ReplyCode {
  kDone,
  // The statement did not run, and nothing of the attempt is kept.
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
    kDiscard,  // Of another proxy: clears values and prepared statements.
    kMalformed,
  };

  RequestId id;
  Kind kind = Kind::kMalformed;
  // The statement as the client wrote it.
  std::string text;
  // Of a session value or prepared statement.
  std::string name;
  // The value, the shape of a prepared statement, or the arguments of kExecute.
  std::string argument;
  // kPrepare: the prepared statement writes.
  bool writes = false;
  // Of another proxy: a commit that the read or transaction must see.
  std::optional<CommitPosition> after;
};

// The answer to a client's statement.
struct ClientReply {
  ReplyCode code = ReplyCode::kDone;
  // Rows as the instance encoded them.
  std::vector<std::string> rows;
  // The instance's signature; empty when the proxy answered by itself.
  std::string signature;
  // Explains an error.
  std::string message;
  TransactionState state = TransactionState::kNone;
  std::optional<CommitPosition> position;
};

}  // namespace jackdawturn::gateway
