#pragma once

#include <cstdint>
#include <optional>
#include <ostream>
#include <string>
#include <string_view>
#include <variant>

#include "core/core.h"

namespace jackdawturn::requests {

// A call to an instance, unique within the machine that made it. The wiring
// matches an answer by (machine, call) and hands it to no other machine.
using CallId = Counter<struct CallIdTag>;

// The state of a group as last observed by this proxy.
struct GroupView {
  GroupRecord record;
  // False when this proxy considers every replica of the group unreachable. No
  // write is sent then, because no replica could confirm it.
  bool replica_reachable = true;
};

// Returns the id in lower case, the only form written to a ledger, so that a
// request whose id is resubmitted in different case does not run twice.
// Thread-safe.
RequestId CanonicalRequestId(const RequestId& request);

// The connection that a transaction is pinned to.
struct PinnedConnection {
  InstanceName instance;
  ConnectionId connection;
  TransactionId transaction;
  // The term in which the transaction began.
  Term term;
};

// A write request, or a commit when `commit_on` is set.
struct WriteRequest {
  GroupName group;
  RequestId request;
  ClassName class_name;
  // Hash of the caller's body.
  uint64_t digest = 0;
  // Empty for a commit.
  std::string statement;
  // The machine replies at this time at the latest.
  TimePoint deadline;
  // Set by the class of work: an unanswered write is sent again under the same
  // id (the ledger prevents a second run) instead of being refused.
  bool repeatable = false;
  // True when the caller, or a proxy on its behalf, may have submitted this id
  // before. The answer is then never `not_run` for this submission alone.
  bool submitted_before = false;
  std::optional<PinnedConnection> commit_on;
};

// Identifies a request whose outcome a caller can query later, on any proxy.
struct OutcomeQuery {
  GroupName group;
  RequestId request;
  ClassName class_name;
  uint64_t digest = 0;
};

enum class Outcome { kDone, kNotRun, kUnknown };

// What a `not_run` answer covers.
enum class NotRunScope {
  // This submission did not run and never will. An earlier submission of the
  // same id, if the caller made one, has its own outcome.
  kSubmission,
  // A confirmed ledger entry prevents the request id from ever running.
  kRequest,
};

enum class Reason {
  kNone,
  kDeadline,          // The deadline passed before the request could be sent.
  kNoPrimary,         // No primary accepted the request within its deadline.
  kNoReplica,         // No replica could have confirmed the request.
  kOverloaded,        // A queue or ring is full, or no retry budget is left.
  kDraining,          // The proxy accepts no new work.
  kRefusedInLedger,   // The ledger holds a confirmed refusal.
  kIdTooOld,          // The id is older than the ledger's low-water mark.
  kInvalidRequest,    // The request is invalid, for example its statement.
  kIdReused,          // The id was used before with another digest.
  kTransactionEnded,  // The transaction was rolled back before the commit.
  kNoAnswer,          // Sent, but the outcome was not determined in time.
};

// Returns the name used on the wire, for example "done", "id_too_old".
std::string_view ToString(Outcome outcome);
std::string_view ToString(Reason reason);
std::ostream& operator<<(std::ostream& out, Outcome outcome);
std::ostream& operator<<(std::ostream& out, Reason reason);

// The answer to a write, a commit or an outcome query.
struct Answer {
  // Identifies the request; for kUnknown the caller queries the outcome with
  // it.
  OutcomeQuery query;
  Outcome outcome = Outcome::kUnknown;
  Reason reason = Reason::kNone;
  // Meaningful for kNotRun.
  NotRunScope scope = NotRunScope::kSubmission;
  // For kDone: the result of the statement. Absent when the request ran but
  // its answer was lost, because the ledger does not store results.
  std::optional<std::string> value;
  // For kDone: the confirmed position to record in the session token.
  std::optional<TermPosition> confirmed;
  // For kNotRun and kUnknown: the delay before the next retry or outcome query;
  // 0 when a retry cannot succeed because the request itself is invalid.
  Duration retry_after{0};
  // For kNotRun: the error message of the instance, if any.
  std::string message;
};

// A write, commit or refusal as sent to an instance.
struct LedgerCommand {
  // The instance must be the primary of this term.
  Term term;
  RequestId request;
  ClassName class_name;
  uint64_t digest = 0;
  // Empty for a commit or a refusal.
  std::string statement;
};

// Events of RequestMachine and of LinearizableReadMachine.

// Starts a RequestMachine with a write or a commit.
struct SubmitRequest {
  WriteRequest request;
  GroupView view;
};

// Starts a RequestMachine that determines the outcome of a request submitted
// earlier, possibly on another proxy. If the request has not run yet, it is
// refused in the ledger and never runs.
struct DetermineOutcome {
  OutcomeQuery query;
  TimePoint deadline;
  GroupView view;
};

// The proxy received a newer record, or the reachability of replicas changed.
// Older records are ignored.
struct GroupChanged {
  GroupView view;
};

// The answer to SendWrite, SendCommit or SendLedgerRefusal. kTimeout and
// kInternal mean that the call may have run; any other error means that it did
// not run and never will. kExhausted means that the id is older than the
// ledger's low-water mark; a connection that cannot be opened is kUnavailable.
struct LedgerAnswered {
  CallId call;
  Result<LedgerResult> result;
};

// A report of an instance. Reports requested by other machines (call 0) also
// confirm writes, however late they arrive.
struct InstanceReported {
  CallId call;
  InstanceName instance;
  InstanceReport report;
};

// The time returned by NextWakeup() was reached.
struct TimePassed {};

using RequestEvent = std::variant<SubmitRequest,
                                  DetermineOutcome,
                                  GroupChanged,
                                  LedgerAnswered,
                                  InstanceReported,
                                  TimePassed>;

// Effects of RequestMachine and of LinearizableReadMachine.

// Sends a write to `instance`. The term is in the command.
struct SendWrite {
  CallId call;
  InstanceName instance;
  LedgerCommand command;
  // True when an earlier call was not answered; the connection that it used
  // must not be reused.
  bool new_connection = false;
};

// Sends a commit on the pinned connection.
struct SendCommit {
  CallId call;
  PinnedConnection on;
  LedgerCommand command;
};

// Sends a refusal to `instance`.
struct SendLedgerRefusal {
  CallId call;
  InstanceName instance;
  LedgerCommand command;
  bool new_connection = false;
};

// Requests a report from `instance`. With `wait_position` the instance answers
// when it has reached that position, or after a timeout of the wiring. The
// wiring may combine such requests of many machines into one call. A repeated
// request uses another connection.
struct AskReport {
  CallId call;
  InstanceName instance;
  std::optional<LogPosition> wait_position;
};

// Requests from the store or peers a record of `group` with a term above
// `known_term`, or the same term in phase steady. The answer is GroupChanged.
struct RefreshGroup {
  GroupName group;
  Term known_term;
};

// Ends the machine. Sent exactly once.
struct ReplyAnswer {
  Answer answer;
};

using RequestEffect = std::variant<SendWrite,
                                   SendCommit,
                                   SendLedgerRefusal,
                                   AskReport,
                                   RefreshGroup,
                                   ReplyAnswer>;

}  // namespace jackdawturn::requests
