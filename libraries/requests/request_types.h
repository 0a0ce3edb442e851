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

// A group as this proxy knows it.
struct GroupView {
  GroupRecord record;
  // False when no replica of the group is believed to be reachable; a write
  // could not be confirmed then and is not sent.
  bool replica_reachable = true;
};

// Returns the id in lower case, the only form in which ids reach a ledger: two
// spellings of one id must not run twice. Thread-safe.
RequestId CanonicalRequestId(const RequestId& request);

// The connection that a transaction is pinned to.
struct PinnedConnection {
  InstanceName instance;
  ConnectionId connection;
  TransactionId transaction;
  // The term in which the transaction was begun.
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
  // From the class of work: a write without an answer is sent again under the
  // same id (the ledger keeps it from running twice) instead of being refused.
  bool repeatable = false;
  // True when the caller, or a proxy on its behalf, may have submitted this id
  // before. The answer is then never `not_run` for this submission alone.
  bool submitted_before = false;
  std::optional<PinnedConnection> commit_on;
};

// What a caller needs to ask for an outcome later, on any proxy.
struct OutcomeQuery {
  GroupName group;
  RequestId request;
  ClassName class_name;
  uint64_t digest = 0;
};

enum class Outcome { kDone, kNotRun, kUnknown };

// How far `not_run` reaches.
enum class NotRunScope {
  // This submission did not run and never will. An earlier submission of the
  // same id, if the caller made one, has its own outcome.
  kSubmission,
  // A confirmed ledger entry keeps the request id from ever running.
  kRequest,
};

enum class Reason {
  kNone,
  kDeadline,          // The deadline passed before the request could be sent.
  kNoPrimary,         // No primary accepted the request within its deadline.
  kNoReplica,         // No replica could have confirmed the request.
  kOverloaded,        // A queue, ring or the retry budget is full.
  kDraining,          // The proxy accepts no new work.
  kRefusedInLedger,   // The ledger holds a confirmed refusal.
  kIdTooOld,          // The id is older than the ledger's low-water mark.
  kInvalidRequest,    // The statement is wrong.
  kIdReused,          // The id was used before with another digest.
  kTransactionEnded,  // The transaction was rolled back before the commit.
  kNoAnswer,          // Sent, and the outcome was not found out in time.
};

// Returns the name used on the wire, for example "done", "id_too_old".
std::string_view ToString(Outcome outcome);
std::string_view ToString(Reason reason);
std::ostream& operator<<(std::ostream& out, Outcome outcome);
std::ostream& operator<<(std::ostream& out, Reason reason);

// The answer to a write, a commit or an outcome query.
struct Answer {
  // Names the request; for kUnknown it is what the caller asks with later.
  OutcomeQuery query;
  Outcome outcome = Outcome::kUnknown;
  Reason reason = Reason::kNone;
  // Meaningful for kNotRun.
  NotRunScope scope = NotRunScope::kSubmission;
  // For kDone: the result of the statement. It is absent when the request ran
  // but its answer was lost, because the ledger does not keep results.
  std::optional<std::string> value;
  // For kDone: the confirmed position to record in the session token.
  std::optional<TermPosition> confirmed;
  // For kNotRun and kUnknown: when to try or ask again; 0 when a retry is
  // pointless because the request itself is wrong.
  Duration retry_after{0};
  // For kNotRun: the error of the instance, if it gave one.
  std::string message;
};

// A write, commit or refusal as an instance gets it.
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

// Starts a RequestMachine that finds out the outcome of a request that was
// submitted earlier, perhaps on another proxy. A request that has not run by
// then is refused in the ledger and never runs.
struct DetermineOutcome {
  OutcomeQuery query;
  TimePoint deadline;
  GroupView view;
};

// The proxy knows a newer record, or the reachability of replicas changed.
// Older records are ignored.
struct GroupChanged {
  GroupView view;
};

// The answer to SendWrite, SendCommit or SendLedgerRefusal. kTimeout and
// kInternal mean that the call may have run; with any other error it is known
// not to have run and never will. kExhausted says that the id is older than the
// ledger's low-water mark; a connection that cannot be opened is kUnavailable.
struct LedgerAnswered {
  CallId call;
  Result<LedgerResult> result;
};

// A report of an instance. For the confirmation of writes, reports that were
// asked by others (call 0) count as well, however late they are.
struct InstanceReported {
  CallId call;
  InstanceName instance;
  InstanceReport report;
};

// The time of NextWakeup() has come.
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
  // True when an earlier call had no answer, so that the connection it used
  // must not be used again.
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

// Asks `instance` for a report. With `wait_position` the instance answers when
// it has reached that position, or after a timeout of the wiring. The wiring
// may answer questions with a position for many machines by one call. Asked
// again, it uses another connection.
struct AskReport {
  CallId call;
  InstanceName instance;
  std::optional<LogPosition> wait_position;
};

// Asks the platform or peers for a record of `group` with a term above
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
