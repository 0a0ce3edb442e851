#pragma once

#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "gateway/gateway_context.h"
#include "gateway/statement_execution.h"

namespace jackdawturn::gateway {

// A transaction of the client. It has a connection after its first statement.
struct ClientTransaction {
  Route route;
  bool read_only = false;
  bool wrote = false;
  bool failed = false;
  // It was ended by the proxy, and the client was not told yet.
  bool expired = false;
  BackendPool::ConnectionPtr connection;
  Timers::TimerId idle_timer = 0;
};

// One client's session: its values, prepared statements and transaction.
// Statements run one after the other. Thread safety: not thread-safe.
class ClientSession : public std::enable_shared_from_this<ClientSession> {
 public:
  using OnReply = std::function<void(const ClientReply& reply)>;

  // Whose statements a session runs.
  enum class Origin {
    kClient,
    // Clients of another proxy, one after the other. They are never relayed
    // again.
    kPeer,
  };

  // `context` outlives the session.
  static std::shared_ptr<ClientSession> Create(GatewayContext& context,
                                               std::string database,
                                               Origin origin,
                                               OnReply on_reply);

  // Answers through the hook, in the order of the statements.
  void Handle(ClientStatement statement);

  // The client has left. No reply follows, and an open transaction is rolled
  // back.
  void Disconnect();

  // No statement is in progress and no transaction is open.
  bool idle() const;

 private:
  ClientSession(GatewayContext& context,
                std::string database,
                Origin origin,
                OnReply on_reply)
      : m_context(context),
        m_database(std::move(database)),
        m_origin(origin),
        m_on_reply(std::move(on_reply)) {}

  // Returns the route in force, or null.
  const Route* FindRoute() const;
  // Returns whether another proxy holds the connections to the group.
  bool Relays(const Route& route) const;
  void NoteOwnCommit(const ClientReply& reply);
  void Start(const ClientStatement& statement);
  void StartInFailedTransaction(const ClientStatement& statement);
  void Begin(const ClientStatement& statement);
  void RollBack();
  void Run(const ClientStatement& statement);
  void Ran(const ClientStatement& statement,
           bool wrote,
           StatementExecution::Outcome outcome);
  void SettleTransaction(const ClientStatement& statement,
                         bool wrote,
                         StatementExecution::Outcome& outcome);
  void WatchIdleTransaction();
  void ExpireTransaction();
  // Rolls the instance's side of the transaction back.
  void CloseTransaction();
  void Reply(ClientReply reply);
  void Answer();
  void Fail(ReplyCode code, std::string message);
  TransactionState state() const;

  GatewayContext& m_context;
  const std::string m_database;
  const Origin m_origin;
  OnReply m_on_reply;
  SessionState m_state;
  std::optional<CommitPosition> m_own_commit;
  std::optional<ClientTransaction> m_transaction;
  std::shared_ptr<StatementExecution> m_execution;
  TimePoint m_started;
  // Statements that came while another one was in progress.
  std::deque<ClientStatement> m_pending;
  bool m_busy = false;
};

}  // namespace jackdawturn::gateway
