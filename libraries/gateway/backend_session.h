#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "gateway/gateway_types.h"

namespace jackdawturn::gateway {

// One command to an instance.
struct BackendCommand {
  enum class Kind {
    kForward,  // A client's statement with its id and text.
    kExecute,  // A client's execution of a prepared statement.
    kBegin,
    kBeginRead,
    kRollback,
    kSetValue,
    kPrepare,
    kDiscard,  // Clears values and prepared statements.
    kStatus,
    kPause,     // Stops replication to a replica; fenced by `term`.
    kResume,    // Ends kPause.
    kStepDown,  // Makes the primary of an earlier term than `term` a replica.
  };

  Kind kind = Kind::kStatus;
  // The client's request id; empty for commands of the proxy itself.
  RequestId id;
  // kForward: the statement's text, unchanged.
  std::string text;
  // The name of a session value or prepared statement.
  std::string name;
  // The value, the shape of a prepared statement, or the arguments of kExecute.
  std::string argument;
  // kPrepare: whether the prepared statement writes.
  bool writes = false;
  // The instance refuses with kLagging unless it has applied this position.
  std::optional<CommitPosition> after;
  uint64_t term = 0;
};

struct BackendReply {
  ReplyCode code = ReplyCode::kOther;
  // Rows as encoded by the instance, forwarded unchanged.
  std::vector<std::string> rows;
  std::string signature;
  std::string message;
  std::optional<CommitPosition> position;
  TransactionState state = TransactionState::kNone;
};

// An instance's replication state as reported by itself.
struct ReplicationStatus {
  ReplicationRole role = ReplicationRole::kReplica;
  uint64_t term = 0;
  CommitPosition received;
  // The term of the active kPause, or 0.
  uint64_t paused_term = 0;
  Duration lag{0};
};

// One open connection to an instance, with at most one batch in progress.
// Thread safety: all methods and callbacks run on one thread.
class BackendSession {
 public:
  using OnReplies = std::function<void(Result<std::vector<BackendReply>>)>;

  virtual ~BackendSession() = default;

  // Sends the commands and passes one reply for each to `on_replies`. Error
  // kTimeout: the connection was lost, and the commands may have run.
  // Precondition: no batch is in progress.
  virtual void Send(std::vector<BackendCommand> commands,
                    OnReplies on_replies) = 0;
  virtual bool is_open() const = 0;
  // Closes the connection. A batch in progress receives no reply.
  virtual void Close() = 0;
};

// Opens a connection. Errors: kExhausted (too many connections to the
// instance), kNotFound (the address belongs to another instance), kUnavailable,
// kTimeout.
using OpenBackendSession = std::function<void(
    const BackendServer& server,
    Duration timeout,
    std::function<void(Result<std::unique_ptr<BackendSession>>)> on_open)>;

// Parses the row of a reply to kStatus. Errors: kInvalidArgument.
using ReadStatusRow =
    std::function<Result<ReplicationStatus>(const BackendReply& reply)>;

}  // namespace jackdawturn::gateway
