#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "gateway/gateway_context.h"
#include "gateway/session_state.h"

namespace jackdawturn::gateway {

// The execution of one statement: at an instance by this proxy, or relayed to a
// proxy that holds the group's connections. Thread safety: not thread-safe.
class StatementExecution {
 public:
  enum class Transaction { kNone, kReadOnly, kReadWrite };

  struct Input {
    ClientStatement statement;
    Route route;
    // The customer whose connections are used; empty without customers.
    CustomerName customer;
    Transaction transaction = Transaction::kNone;
    // Set for the execution of a prepared statement.
    std::optional<PreparedStatement> prepared;
    SessionState session;
    // The session's own last commit.
    std::optional<CommitPosition> own_commit;
    // The transaction's connection; null for its first statement.
    BackendPool::ConnectionPtr connection;
    // When the client's statement arrived, also if it waited behind earlier
    // ones of its session.
    TimePoint received;
    // Another proxy relayed the statement and can relay it to a different
    // proxy.
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
    // Returns whether the statement changes data if it succeeds.
    bool changes_data() const {
      return writes() || (is_commit() && transaction_wrote);
    }
    // Returns whether the statement may run more than once or be abandoned
    // without an effect on data.
    bool repeatable() const { return !in_transaction() && !writes(); }
    // Returns the client's reply code for a statement that was sent and not
    // answered.
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
  // Ends the execution after the client has disconnected: the outcome is not
  // reported, and an open transaction is rolled back.
  virtual void Abandon() = 0;
  // Ends the execution with an answer now, because the process stops: as not
  // run if the statement was not sent, else as unanswered.
  virtual void Interrupt() = 0;
  // Returns whether the statement was passed to an instance or holder at least
  // once.
  virtual bool sent() const { return m_sent; }

 protected:
  void MarkSent() { m_sent = true; }
  // A statement not sent within this share of its timeout is refused.
  static constexpr double kWaitShare = 0.6;
  // A statement that is sent after this share of its latency target is taken to
  // miss it.
  static constexpr double kSendShare = 0.75;

  static ClientReply ErrorReply(ReplyCode code, std::string message);
  // Returns the reply that tells what became of the statement at `index` of a
  // batch. After a command that was refused, an instance answers the statements
  // of a transaction as malformed, and the refusal tells why.
  static const BackendReply& DecidingReply(
      const std::vector<BackendReply>& replies,
      size_t index);
  // Converts the reply of an instance or connection holder.
  static ClientReply ReplyOf(const BackendReply& reply);
  // Returns the command for the client's statement, without the commands that
  // apply the session state before it.
  static BackendCommand StatementCommand(const Input& input);
  static Duration Share(Duration whole, double share);

 private:
  bool m_sent = false;
};

// Refusal reasons after which another proxy may be able to serve the statement:
// this proxy's zone is partitioned, or no reachable instance was found in time.
inline constexpr const char* kZoneIsolated = "zone_isolated";
inline constexpr const char* kNoInstance = "no_instance_in_time";
// The primary cannot be shown to be the current one.
inline constexpr const char* kNoLease = "no_lease_in_time";
// This proxy cannot find out whether a commit would survive a change of the
// primary.
inline constexpr const char* kNoConfirmation = "commit_not_confirmable";
// The instance had no room, and too many statements were sent again already.
inline constexpr const char* kRetryBudget = "retry_budget";
// This proxy stops.
inline constexpr const char* kDraining = "draining";

}  // namespace jackdawturn::gateway
