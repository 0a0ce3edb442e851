#pragma once

#include <optional>
#include <variant>
#include <vector>

#include "core/core.h"
#include "routing/routing_types.h"

namespace jackdawturn::routing {

// --- Events -----------------------------------------------------------------

// The group's record, its instances or this proxy's connection shares changed.
// The primary is empty while it is being replaced; the term is then still that
// of the last steady state. An instance that is no longer listed gets no new
// requests.
struct GroupChanged {
  GroupName group;
  Term term;
  InstanceName primary;
  std::vector<InstanceView> instances;
};

// This proxy no longer serves the group.
struct GroupRemoved {
  GroupName group;
};

struct InstanceHealthChanged {
  GroupName group;
  InstanceName instance;
  InstanceHealth health = InstanceHealth::kHealthy;
};

// Precondition: no request with this id is in progress.
struct RequestArrived {
  RoutedRequest request;
};

// The caller closed its connection. A request that was not sent is dropped
// without a further effect. A write that was sent is still handed over by
// ResolveUnknownOutcome when it is not answered.
struct CallerDisconnected {
  GroupName group;
  RequestId request;
};

enum class StatementOutcome {
  kDone,    // The instance returned a result.
  kFailed,  // The instance answered with an error that a retry cannot fix.
  kNotRun,  // It certainly did not run, for example because of a wrong term.
  kLost,    // The connection broke; whether it ran is unknown.
};

// An answer to SendStatement, or its loss, matched by connection and request.
// Answers of attempts that are no longer awaited are accepted and ignored.
struct StatementAnswered {
  GroupName group;
  RequestId request;
  PoolConnectionId connection;
  StatementOutcome outcome = StatementOutcome::kDone;
  // The instance's report that came with the answer. A read without a report
  // cannot be shown to be fresh and is not returned to the caller.
  std::optional<InstanceReport> report;
};

// The answer to AskReport. No event is passed in when the instance does not
// answer.
struct ReportArrived {
  GroupName group;
  InstanceName instance;
  // AskReport::asked_at, returned unchanged.
  TimePoint asked_at;
  // AskReport::connection, returned unchanged.
  PoolConnectionId connection;
  InstanceReport report;
};

enum class OpenOutcome {
  kOpened,
  kRefused,  // The instance is at its connection limit.
  kFailed,   // The instance could not be reached.
};

struct ConnectionOpened {
  GroupName group;
  PoolConnectionId connection;
  OpenOutcome outcome = OpenOutcome::kOpened;
};

// An open connection broke. A statement in progress on it counts as lost,
// without an additional StatementAnswered with kLost.
struct ConnectionLost {
  GroupName group;
  PoolConnectionId connection;
};

// The transaction on a held connection ended. The connection is closed unless
// it is known to be clean.
struct ConnectionReleased {
  GroupName group;
  PoolConnectionId connection;
  bool clean = false;
};

// The time that RoutingMachine::NextWakeup returned has been reached.
struct TimePassed {};

using RoutingEvent = std::variant<GroupChanged,
                                  GroupRemoved,
                                  InstanceHealthChanged,
                                  RequestArrived,
                                  CallerDisconnected,
                                  StatementAnswered,
                                  ReportArrived,
                                  ConnectionOpened,
                                  ConnectionLost,
                                  ConnectionReleased,
                                  TimePassed>;

// --- Effects ----------------------------------------------------------------

// Sends the statement of the request on this connection.
struct SendStatement {
  GroupName group;
  RequestId request;
  InstanceName instance;
  PoolConnectionId connection;
  // The term in which the instance must be primary; empty for a replica.
  std::optional<Term> term;
  // True when an earlier attempt of the same read is still in progress.
  bool hedge = false;
};

// Returns the answer received on this connection to the caller. The answer must
// be kept from StatementAnswered until GiveAnswer or DropAnswer names it,
// because a read at the primary can wait for the report of a replica.
struct GiveAnswer {
  GroupName group;
  RequestId request;
  InstanceName instance;
  PoolConnectionId connection;
};

// Discards the answer received on this connection.
struct DropAnswer {
  GroupName group;
  RequestId request;
  PoolConnectionId connection;
};

// Answers the caller with `not_run`.
struct RefuseRequest {
  GroupName group;
  RequestId request;
  RefusalReason reason = RefusalReason::kOverloaded;
  // The time, counted from now, after which the caller may retry.
  Duration retry_after{0};
};

// Hands over a request that was sent, may have run and must not be sent again.
// The library requests determines its outcome; the routing no longer tracks it.
struct ResolveUnknownOutcome {
  GroupName group;
  RequestId request;
  InstanceName instance;
};

// Queries the instance for a report. With a connection, the report must use
// that connection and must not wait for a statement that runs on it; without
// one, any transport may be used.
struct AskReport {
  GroupName group;
  InstanceName instance;
  TimePoint asked_at;
  PoolConnectionId connection;
  // The instance answers when it has reached this position or after `timeout`.
  std::optional<LogPosition> wait_position;
  Duration timeout{0};
};

struct OpenConnection {
  GroupName group;
  InstanceName instance;
  PoolConnectionId connection;
};

// Closes the connection, even if it is still being opened. Answers that arrive
// on it afterwards may still be passed in and are ignored.
struct CloseConnection {
  GroupName group;
  InstanceName instance;
  PoolConnectionId connection;
};

using RoutingEffect = std::variant<SendStatement,
                                   GiveAnswer,
                                   DropAnswer,
                                   RefuseRequest,
                                   ResolveUnknownOutcome,
                                   AskReport,
                                   OpenConnection,
                                   CloseConnection>;

using RoutingEffects = std::vector<RoutingEffect>;

}  // namespace jackdawturn::routing
