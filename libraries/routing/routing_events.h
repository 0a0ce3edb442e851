#pragma once

#include <optional>
#include <variant>
#include <vector>

#include "core/core.h"
#include "routing/routing_types.h"

namespace jackdawturn::routing {

// --- Events -----------------------------------------------------------------

// The group's record, its instances or this proxy's shares changed. The primary
// is empty while it is being replaced; the term is then still the last steady
// one. An instance that is no longer listed gets no new work.
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

// The caller closed its connection. A waiting request is dropped without any
// further effect; a write that was sent is still handed over by
// ResolveUnknownOutcome when its answer does not come.
struct CallerDisconnected {
  GroupName group;
  RequestId request;
};

enum class StatementOutcome {
  kDone,    // The answer is there.
  kFailed,  // The instance answered with an error that no retry can help.
  kNotRun,  // It is known that it did not run, for example for a wrong term.
  kLost,    // The connection broke; whether it ran is not known.
};

// An answer to SendStatement, or its loss, matched by connection and request.
// Answers of attempts that are no longer awaited are accepted and ignored.
struct StatementAnswered {
  GroupName group;
  RequestId request;
  PoolConnectionId connection;
  StatementOutcome outcome = StatementOutcome::kDone;
  // The instance's report that came with the answer. A read without a report
  // cannot be shown to be fresh and is not given to a caller.
  std::optional<InstanceReport> report;
};

// The answer to AskReport; nothing is sent when no answer comes.
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

// An open connection broke. A statement in progress on it counts as lost; a
// StatementAnswered with kLost is not needed in addition.
struct ConnectionLost {
  GroupName group;
  PoolConnectionId connection;
};

// The transaction on a held connection ended. A connection that is not in a
// known clean state is closed.
struct ConnectionReleased {
  GroupName group;
  PoolConnectionId connection;
  bool clean = false;
};

// The time of RoutingMachine::NextWakeup came.
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

// Send the statement of the request on this connection.
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

// Give the answer that came on this connection to the caller. The answer must
// be kept from StatementAnswered until GiveAnswer names it, because a read at
// the primary can wait for the report of a replica; DropAnswer releases it.
struct GiveAnswer {
  GroupName group;
  RequestId request;
  InstanceName instance;
  PoolConnectionId connection;
};

// The answer that came on this connection is not used.
struct DropAnswer {
  GroupName group;
  RequestId request;
  PoolConnectionId connection;
};

// Answer `not_run` to the caller.
struct RefuseRequest {
  GroupName group;
  RequestId request;
  RefusalReason reason = RefusalReason::kOverloaded;
  // When a further try is sensible, counted from now.
  Duration retry_after{0};
};

// The request was sent, may have run and must not be sent again; the library
// requests finds out its outcome. This proxy's routing has forgotten it.
struct ResolveUnknownOutcome {
  GroupName group;
  RequestId request;
  InstanceName instance;
};

// Ask the instance for a report. With a connection, the report must travel on
// that connection and must not wait for a statement that runs there; without,
// any transport will do.
struct AskReport {
  GroupName group;
  InstanceName instance;
  TimePoint asked_at;
  PoolConnectionId connection;
  // The instance answers when it has this position or after `timeout`.
  std::optional<LogPosition> wait_position;
  Duration timeout{0};
};

struct OpenConnection {
  GroupName group;
  InstanceName instance;
  PoolConnectionId connection;
};

// Close the connection, also when it is still being opened. Answers that come
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
