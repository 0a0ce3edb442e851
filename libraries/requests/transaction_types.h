#pragma once

#include <string>
#include <variant>

#include "requests/request_machine.h"
#include "requests/request_types.h"

namespace jackdawturn::requests {

// A caller's request that awaits a reply. The wiring assigns a new number to
// each, so that a reply is delivered to its own caller or to none.
using ReplyId = Counter<struct ReplyIdTag>;

// Events of TransactionTable. All but ConnectionLost, BeginDrain and
// TimePassed are delivered to the transaction that they name.

// Begins a transaction on a connection that is open and clean. `transaction`
// is a new id that other callers cannot guess.
struct BeginTransaction {
  ReplyId reply_to;
  GroupName group;
  PinnedConnection on;
};

struct RunStatement {
  ReplyId reply_to;
  TransactionId transaction;
  std::string statement;
  TimePoint deadline;
};

// `request.commit_on` is filled in by the table.
struct CommitTransaction {
  ReplyId reply_to;
  TransactionId transaction;
  WriteRequest request;
  GroupView view;
};

struct RollbackTransaction {
  ReplyId reply_to;
  TransactionId transaction;
};

// The caller's connection was closed. A commit that was sent continues.
struct CallerDisconnected {
  TransactionId transaction;
};

// The answer to SendBegin, SendStatement or SendRollback. It is ignored
// unless transaction, connection and call match the call in progress.
struct StatementAnswered {
  TransactionId transaction;
  InstanceName instance;
  ConnectionId connection;
  CallId call;
  Result<std::string> result;
};

// An event of the RequestMachine that commits the transaction.
struct CommitEvent {
  TransactionId transaction;
  RequestEvent event;
};

struct ConnectionLost {
  InstanceName instance;
  ConnectionId connection;
};

// The term of a group has changed; its open transactions are rolled back.
struct GroupTermChanged {
  GroupView view;
};

// Refuses new transactions from now on; open ones end within their limits.
struct BeginDrain {};

using TransactionEvent = std::variant<BeginTransaction,
                                      RunStatement,
                                      CommitTransaction,
                                      RollbackTransaction,
                                      CallerDisconnected,
                                      StatementAnswered,
                                      CommitEvent,
                                      ConnectionLost,
                                      GroupTermChanged,
                                      BeginDrain,
                                      TimePassed>;

// Effects of TransactionTable.

struct SendBegin {
  CallId call;
  PinnedConnection on;
};

struct SendStatement {
  CallId call;
  PinnedConnection on;
  std::string statement;
};

struct SendRollback {
  CallId call;
  PinnedConnection on;
};

// Releases a connection without an open transaction for reuse.
struct ReleaseConnection {
  InstanceName instance;
  ConnectionId connection;
};

// Closes a connection in an unknown state, which rolls its transaction back.
struct CloseConnection {
  InstanceName instance;
  ConnectionId connection;
};

// Reply to a begin, statement or rollback.
struct ReplyStatement {
  ReplyId reply_to;
  TransactionId transaction;
  Result<std::string> result;
};

// Reply to a commit.
struct ReplyCommit {
  ReplyId reply_to;
  TransactionId transaction;
  Answer answer;
};

// An effect of the RequestMachine that commits the transaction. It is never a
// ReplyAnswer. Answers are passed in as CommitEvent.
struct CommitEffect {
  TransactionId transaction;
  RequestEffect effect;
};

using TransactionEffect = std::variant<SendBegin,
                                       SendStatement,
                                       SendRollback,
                                       ReleaseConnection,
                                       CloseConnection,
                                       ReplyStatement,
                                       ReplyCommit,
                                       CommitEffect>;

struct TransactionOptions {
  // A transaction without a statement in progress for this long is rolled
  // back.
  Duration idle_limit = std::chrono::seconds(10);
  // A transaction that has not begun its commit within this time is rolled
  // back.
  Duration total_limit = std::chrono::seconds(60);
  // Timeout of a begin or rollback.
  Duration answer_timeout = std::chrono::milliseconds(500);
  // Maximum number of open transactions of the proxy.
  size_t transaction_limit = 10'000;
  RequestOptions commit;
};

}  // namespace jackdawturn::requests
