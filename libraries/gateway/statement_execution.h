#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "gateway/gateway_context.h"
#include "gateway/session_state.h"

namespace jackdawturn::gateway {

// A statement on its way: run by this proxy at an instance, or relayed to the
// proxy that holds the group's connections. Thread safety: not thread-safe.
class StatementExecution {
 public:
  enum class Transaction { kNone, kReadOnly, kReadWrite };

  struct Input {
    ClientStatement statement;
    Route route;
    Transaction transaction = Transaction::kNone;
    // Null for a statement that uses no prepared one.
    std::optional<PreparedStatement> prepared;
    SessionState session;
    // The session's last own commit.
    std::optional<CommitPosition> own_commit;
    // The transaction's connection; null for its first statement.
    BackendPool::ConnectionPtr connection;
    // Another proxy relayed it and can send it elsewhere.
    bool from_peer = false;
    // An earlier statement of the transaction has written.
    bool transaction_wrote = false;

    bool in_transaction() const { return transaction != Transaction::kNone; }
    bool is_commit() const {
      return statement.kind == ClientStatement::Kind::kCommit;
    }
    bool writes() const {
      return statement.kind == ClientStatement::Kind::kWrite ||
             (prepared && prepared->writes);
    }
    // The statement changes data when it succeeds.
    bool changes_data() const {
      return writes() || (is_commit() && transaction_wrote);
    }
    // Nothing is lost when this statement runs a second time or never.
    bool repeatable() const { return !in_transaction() && !writes(); }
    // What the client is told when the statement was sent and no answer came.
    ReplyCode UnansweredCode() const;
  };

  struct Outcome {
    ClientReply reply;
    // The transaction's connection while it is open.
    BackendPool::ConnectionPtr connection;
  };
  using OnDone = std::function<void(Outcome)>;

  virtual ~StatementExecution() = default;

  virtual void Start() = 0;
  // The client has left: nobody is told of the outcome, and a transaction is
  // rolled back.
  virtual void Abandon() = 0;

 protected:
  // Statements that have not been sent after this share of their time limit
  // are refused.
  static constexpr double kWaitShare = 0.6;

  static ClientReply ErrorReply(ReplyCode code, std::string message);
  // The answer that an instance or a holder gave.
  static ClientReply ReplyOf(const BackendReply& reply);
  // The client's statement itself, without what must be set up before it.
  static BackendCommand StatementCommand(const Input& input);
  static Duration Share(Duration whole, double share);
};

// Reasons of a refusal after which another proxy may serve the statement: the
// proxy's zone is cut off, or it knows no instance that it can reach.
inline constexpr const char* kZoneIsolated = "zone_isolated";
inline constexpr const char* kNoInstance = "no_instance_in_time";

}  // namespace jackdawturn::gateway
