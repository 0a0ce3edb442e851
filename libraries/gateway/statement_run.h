#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "gateway/gateway_context.h"
#include "gateway/session_state.h"

namespace jackdawturn::gateway {

// Runs one statement: chooses an instance, gets a connection, sends the
// statement and tries again elsewhere as long as it has not run. Thread safety:
// not thread-safe.
class StatementRun : public std::enable_shared_from_this<StatementRun> {
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
    // An earlier statement of the transaction has written.
    bool transaction_wrote = false;
  };

  struct Outcome {
    ClientReply reply;
    // The transaction's connection while it is open.
    BackendPool::ConnectionPtr connection;
  };
  using OnDone = std::function<void(Outcome)>;

  static std::shared_ptr<StatementRun> Create(GatewayContext& context,
                                              Input input,
                                              OnDone on_done);
  void Start();
  // The client has left: nobody is told of the outcome, and a transaction is
  // rolled back.
  void Abandon();

 private:
  StatementRun(GatewayContext& context, Input input, OnDone on_done);

  bool in_transaction() const {
    return m_input.transaction != Transaction::kNone;
  }
  bool is_commit() const {
    return m_input.statement.kind == ClientStatement::Kind::kCommit;
  }
  bool writes() const;
  bool needs_primary() const;
  // The chosen instance leads its group as far as is known.
  bool target_leads() const;
  // The commands in progress change data when they succeed.
  bool changes_data() const;
  // Nothing is lost when this statement runs a second time or never.
  bool repeatable() const;

  void Place();
  const BackendServer* ChooseServer();
  const BackendServer* ChooseForRead();
  void PlaceAgain(Duration delay);
  void Acquired(Result<BackendPool::ConnectionPtr> connection);
  void NoteOpenFailure(const BackendServer& server, ErrorCode code);
  void BeginTransaction();
  void SendStatement();
  BackendCommand StatementCommand() const;
  void Send(std::vector<BackendCommand> commands,
            std::function<void(std::vector<BackendReply>)> on_replies);
  void Replied(uint64_t batch,
               Result<std::vector<BackendReply>> replies,
               const std::function<void(std::vector<BackendReply>)>& use);
  void Silent();
  // After this long without an answer the statement is tried elsewhere, or its
  // transaction is given up.
  Duration SilenceLimit() const;
  void FinishUnanswered(const std::string& message);
  void Broken(const std::string& message);
  void StatementReplied(const BackendReply& reply);
  // The statement did not run; returns whether it is tried again.
  bool TryAgain(const BackendReply& reply);
  void NotePosition(const BackendReply& reply);
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
  Timers::TimerId m_silence_timer = 0;
  unsigned m_attempts = 0;
  bool m_finished = false;
};

}  // namespace jackdawturn::gateway
