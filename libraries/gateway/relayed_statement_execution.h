#pragma once

#include <functional>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "gateway/statement_execution.h"

namespace jackdawturn::gateway {

// Relays one statement to a proxy that holds connections to the group (the
// holder), which runs it like a client's statement. If no holder is reachable,
// this proxy runs the statement itself. Thread safety: not thread-safe.
class RelayedStatementExecution
    : public StatementExecution,
      public std::enable_shared_from_this<RelayedStatementExecution> {
 public:
  static std::shared_ptr<RelayedStatementExecution>
  Create(GatewayContext& context, Input input, OnDone on_done);
  void Start() override;
  void Abandon() override;
  void Interrupt() override;
  bool sent() const override;

 private:
  RelayedStatementExecution(GatewayContext& context,
                            Input input,
                            OnDone on_done);

  void StartAttempt();
  void Acquired(Result<BackendPool::ConnectionPtr> connection);
  // Runs the statement at an instance from this proxy, without a holder.
  void RunLocally();
  void Send();
  std::vector<BackendCommand> Commands();
  void Replied(Result<std::vector<BackendReply>> replies);
  void StatementReplied(const BackendReply& reply);
  // Handles the loss of a holder that has not answered and may have run the
  // statement.
  void Unanswered(const std::string& reason);
  // Probes a holder that does not respond, over a second connection.
  void ProbeHolder();
  void Probed(const Result<void>& answer);
  // Returns how long the holder may take to answer.
  Duration AnswerTimeout() const;
  void ReleaseConnection();
  void Finish(ClientReply reply);
  void Log(const std::string& step, GatewayLog::Fields fields);

  GatewayContext& m_context;
  Input m_input;
  OnDone m_on_done;
  const TimePoint m_received;
  const TimePoint m_send_deadline;
  BackendPool::ConnectionPtr m_connection;
  // The state of the transaction on m_connection.
  TransactionState m_state = TransactionState::kNone;
  VmName m_holder;
  std::set<VmName> m_avoided;
  // True when the statement is the first of its transaction.
  bool m_first_statement = true;
  // The current batch; answers to older ones are ignored.
  uint64_t m_batch = 0;
  TimePoint m_sent_at;
  Timers::TimerId m_answer_timer = 0;
  std::shared_ptr<StatementExecution> m_local_execution;
};

}  // namespace jackdawturn::gateway
