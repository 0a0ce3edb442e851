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

// Runs one statement: chooses an instance, gets a connection, sends the
// statement and tries again elsewhere as long as it has not run. Thread safety:
// not thread-safe.
class LocalStatementExecution
    : public StatementExecution,
      public std::enable_shared_from_this<LocalStatementExecution> {
 public:
  static std::shared_ptr<LocalStatementExecution>
  Create(GatewayContext& context, Input input, OnDone on_done);
  void Start() override;
  void Abandon() override;

 private:
  LocalStatementExecution(GatewayContext& context, Input input, OnDone on_done);

  bool needs_primary() const;
  // The chosen instance leads its group as far as is known.
  bool target_leads() const;

  // How long the statement may wait before it is sent.
  Duration WaitLimit() const;
  void StartAttempt();
  const BackendServer* ChooseServer();
  const BackendServer* ChooseForRead();
  void ScheduleAttempt(Duration delay);
  void Acquired(Result<BackendPool::ConnectionPtr> connection);
  void BeginTransaction();
  void SendStatement();
  void Send(std::vector<BackendCommand> commands,
            std::function<void(std::vector<BackendReply>)> on_replies);
  void Replied(Result<std::vector<BackendReply>> replies,
               const std::function<void(std::vector<BackendReply>)>& use);
  void ResponseTimedOut();
  // Gives the connection back when the answer comes, and closes it when none
  // comes.
  void KeepUntilAnswered(uint64_t batch);
  void LateReplied(uint64_t batch,
                   const Result<std::vector<BackendReply>>& replies);
  // After this long without an answer the statement is tried elsewhere, or its
  // transaction is given up.
  Duration ResponseTimeout() const;
  void FinishUnanswered(const std::string& message);
  void Broken(const std::string& message);
  void StatementReplied(const BackendReply& reply);
  // The statement did not run; returns whether it is tried again.
  bool TryAgain(const BackendReply& reply);
  void NotePosition(const BackendReply& reply);
  // The chosen instance had no room for the statement.
  void NoteFull();
  void Refuse(const std::string& reason);
  // Gives the connection back, after a rollback if it has a transaction.
  void GiveBack();
  void Finish(ClientReply reply);
  void Log(const std::string& step, GatewayLog::Fields fields);

  GatewayContext& m_context;
  Input m_input;
  OnDone m_on_done;
  const TimePoint m_received;
  // The statement's own limit.
  const TimePoint m_deadline;
  // A statement that was not sent by then is refused.
  const TimePoint m_give_up;
  BackendPool::ConnectionPtr m_connection;
  // What the instance last said of the connection.
  TransactionState m_instance_state = TransactionState::kNone;
  // The position that the chosen replica must have.
  std::optional<CommitPosition> m_required;
  // The statement stands in a transaction of its own, so that the instance
  // refuses it unless it leads.
  bool m_wrapped = false;
  std::set<InstanceName> m_avoided;
  InstanceName m_target;
  TimePoint m_asked;
  uint64_t m_batch = 0;
  // Connections of batches that were given up, by batch.
  std::map<uint64_t, BackendPool::ConnectionPtr> m_late;
  Timers::TimerId m_response_timer = 0;
  unsigned m_attempts = 0;
  bool m_finished = false;
};

}  // namespace jackdawturn::gateway
