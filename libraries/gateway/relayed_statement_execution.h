#pragma once

#include <functional>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "gateway/statement_execution.h"

namespace jackdawturn::gateway {

// Relays one statement to a proxy that holds the group's connections, which
// runs it as a client's. Without such a proxy in reach this proxy runs it by
// itself. Thread safety: not thread-safe.
class RelayedStatementExecution
    : public StatementExecution,
      public std::enable_shared_from_this<RelayedStatementExecution> {
 public:
  static std::shared_ptr<RelayedStatementExecution>
  Create(GatewayContext& context, Input input, OnDone on_done);
  void Start() override;
  void Abandon() override;

 private:
  RelayedStatementExecution(GatewayContext& context,
                            Input input,
                            OnDone on_done);

  void StartAttempt();
  void Acquired(Result<BackendPool::ConnectionPtr> connection);
  // Runs the statement at an instance, without a relay.
  void RunDirectly();
  void Send();
  std::vector<BackendCommand> Commands();
  void Replied(Result<std::vector<BackendReply>> replies);
  void StatementReplied(const BackendReply& reply);
  // The statement may have run, and no answer comes any more.
  void Unanswered(const std::string& reason);
  // Nothing came for some time: asks the holder over a second connection
  // whether it lives.
  void ProbeHolder();
  void Probed(const Result<void>& answer);
  // How long an answer may take.
  Duration AnswerLimit() const;
  void GiveBack();
  void Finish(ClientReply reply);
  void Log(const std::string& step, GatewayLog::Fields fields);

  GatewayContext& m_context;
  Input m_input;
  OnDone m_on_done;
  const TimePoint m_received;
  const TimePoint m_give_up;
  BackendPool::ConnectionPtr m_connection;
  // The transaction on m_connection.
  TransactionState m_state = TransactionState::kNone;
  VmName m_holder;
  std::set<VmName> m_avoided;
  // The statement is the first of its transaction.
  bool m_first = true;
  // Answers to an older batch are ignored.
  uint64_t m_batch = 0;
  TimePoint m_sent;
  Timers::TimerId m_silence_timer = 0;
  std::shared_ptr<StatementExecution> m_direct;
};

}  // namespace jackdawturn::gateway
