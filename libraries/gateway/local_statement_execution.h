#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "gateway/statement_execution.h"

namespace jackdawturn::gateway {

// Runs one statement: chooses an instance, acquires a connection and sends the
// statement. Retries, also at other instances, if the statement did not run or
// is repeatable. Thread safety: not thread-safe.
class LocalStatementExecution
    : public StatementExecution,
      public std::enable_shared_from_this<LocalStatementExecution> {
 public:
  static std::shared_ptr<LocalStatementExecution>
  Create(GatewayContext& context, Input input, OnDone on_done);
  void Start() override;
  void Abandon() override;
  void Interrupt() override;

 private:
  // Covers the resolution of PositionHistory and the time from the client's
  // first byte until a position is chosen.
  static constexpr Duration kStalenessMargin = std::chrono::milliseconds(50);
  // The delay before the next attempt when no instance is available or the
  // statement was refused.
  static constexpr Duration kRetryDelay = std::chrono::milliseconds(15);

  LocalStatementExecution(GatewayContext& context, Input input, OnDone on_done);

  bool needs_primary() const;
  // Returns whether the directory lists the chosen instance as primary.
  bool target_is_primary() const;

  // Notes that no primary can be reached. Returns whether this proxy cannot
  // expect to learn of one before the statement's timeout expires.
  bool primary_unknown() const;

  // Returns whether the outcome of the statement would be unknown even if it
  // succeeded, because its commit cannot be confirmed.
  bool unconfirmable() const;

  // Returns how long the statement may wait before it is sent.
  Duration WaitLimit() const;
  void StartAttempt();
  const BackendServer* ChooseServer();
  const BackendServer* ChooseForRead();
  void ScheduleAttempt(Duration delay);
  void Acquired(Result<BackendPool::ConnectionPtr> connection);
  // Sends the statement on m_connection, after renewing the lease of the
  // primary if necessary.
  void SendFirst();
  // Returns whether the chosen instance, as the primary, is known not to have
  // been replaced at the time up to which the statement must see commits.
  bool lease_suffices() const;
  void BeginTransaction();
  void SendStatement();
  void Send(StatementStep step,
            std::vector<BackendCommand> commands,
            std::function<void(std::vector<BackendReply>)> on_replies);
  void Replied(Result<std::vector<BackendReply>> replies,
               const std::function<void(std::vector<BackendReply>)>& handler);
  // Tells the pool of the answer to the batch in progress.
  void RecordAnswer(const std::vector<BackendReply>& replies);
  void ResponseTimedOut();
  // Releases the connection once the batch is answered, or closes it after
  // kLateReplyTimeout.
  void KeepUntilAnswered(uint64_t batch);
  void HandleLateReplies(uint64_t batch,
                         const Result<std::vector<BackendReply>>& replies);
  // Returns the time without an answer after which a repeatable statement is
  // retried at another instance; in a transaction, the transaction is aborted.
  Duration ResponseTimeout() const;
  void FinishUnanswered(const std::string& message);
  void ConnectionLost(const std::string& message);
  void StatementReplied(const BackendReply& reply);
  // Schedules a retry if the reply guarantees that the statement did not run.
  // Returns whether it did.
  bool RetryIfNotRun(const BackendReply& reply);
  void RecordPosition(const BackendReply& reply);
  void ObservePrimary(CommitPosition position);
  // An acknowledged commit shows that a replica was receiving.
  void RenewLeaseByCommit(const BackendReply& reply);
  // A replica that has a position was receiving after it was committed.
  void RenewLeaseByReplica(CommitPosition position);
  // Reports to the lag monitor that the chosen instance, if it is the primary,
  // is at capacity.
  void ReportPrimaryFull();
  void Refuse(const std::string& reason);
  // Passes the answer to a write or commit on once it is certain not to be lost
  // with the primary.
  void FinishCommit(ClientReply answer);
  // Passes the success of a write or commit on, and logs that.
  void Acknowledge(const ClientReply& answer);
  // Returns the connection to the pool, after a rollback if a transaction is
  // open.
  void ReleaseConnection();
  void Finish(ClientReply reply);
  void Log(const std::string& step, GatewayLog::Fields fields);

  GatewayContext& m_context;
  Input m_input;
  OnDone m_on_done;
  const TimePoint m_received;
  // When the statement's timeout expires.
  const TimePoint m_deadline;
  // A statement not sent by this time is refused.
  const TimePoint m_send_deadline;
  BackendPool::ConnectionPtr m_connection;
  // The transaction state that the instance last reported for m_connection.
  TransactionState m_instance_state = TransactionState::kNone;
  // The position that the chosen replica must have applied.
  std::optional<CommitPosition> m_required;
  // The statement runs in a transaction of its own, which the instance refuses
  // unless it is primary.
  bool m_implicit_transaction = false;
  // A lease renewal was requested for the connection that was acquired last.
  bool m_lease_requested = false;
  std::set<InstanceName> m_avoided;
  InstanceName m_target;
  TimePoint m_sent_at;
  // What the batch in progress does.
  StatementStep m_step = StatementStep::kRead;
  uint64_t m_batch = 0;
  // Connections whose batch timed out and may still be answered, by batch.
  std::map<uint64_t, BackendPool::ConnectionPtr> m_timed_out_connections;
  Timers::TimerId m_response_timer = 0;
  unsigned m_attempts = 0;
  // The statement itself was sent and may have run.
  bool m_may_have_run = false;
  bool m_finished = false;
};

}  // namespace jackdawturn::gateway
