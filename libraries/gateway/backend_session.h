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
    kPause,   // A replica receives nothing more; fenced by `term`.
    kResume,  // Ends kPause.
  };

  Kind kind = Kind::kStatus;
  // Of the client; empty for commands of the proxy itself.
  RequestId id;
  // kForward: the statement's text, unchanged.
  std::string text;
  // Of a value or prepared statement.
  std::string name;
  // The value, shape or arguments.
  std::string argument;
  // kPrepare: the prepared statement writes.
  bool writes = false;
  // The instance refuses with kLagging unless its log has this position.
  std::optional<CommitPosition> after;
  uint64_t term = 0;
};

struct BackendReply {
  ReplyCode code = ReplyCode::kOther;
  // As the instance encoded them, to be passed on unchanged.
  std::vector<std::string> rows;
  std::string signature;
  std::string message;
  std::optional<CommitPosition> position;
  TransactionState state = TransactionState::kNone;
};

// What an instance says of its replication.
struct ReplicationStatus {
  ReplicationRole role = ReplicationRole::kReplica;
  uint64_t term = 0;
  CommitPosition received;
  // The term of the pause that is in force, or 0.
  uint64_t paused_term = 0;
  Duration lag{0};
};

// One open connection to an instance, with at most one batch in progress.
// Thread safety: all methods and hooks run on one thread.
class BackendSession {
 public:
  using OnReplies = std::function<void(Result<std::vector<BackendReply>>)>;

  virtual ~BackendSession() = default;

  // Sends the commands and answers with one reply for each. Error kTimeout: the
  // connection broke, and the commands may have run.
  // Precondition: no batch is in progress.
  virtual void Send(std::vector<BackendCommand> commands,
                    OnReplies on_replies) = 0;
  virtual bool is_open() const = 0;
  // A batch in progress gets no reply any more.
  virtual void Close() = 0;
};

// Opens a connection. Errors: kExhausted (the instance has too many), kNotFound
// (another instance is at the address), kUnavailable, kTimeout.
using OpenBackendSession = std::function<void(
    const BackendServer& server,
    Duration timeout,
    std::function<void(Result<std::unique_ptr<BackendSession>>)> on_open)>;

// Reads the row of a reply to kStatus. Errors: kInvalidArgument.
using ReadStatusRow =
    std::function<Result<ReplicationStatus>(const BackendReply& reply)>;

}  // namespace jackdawturn::gateway
