#pragma once

#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "gateway/gateway_context.h"
#include "gateway/statement_execution.h"

namespace jackdawturn::gateway {

// For whom a session runs statements.
struct SessionOwner {
  // Of a client: the digest of the API key that it presented.
  ApiKeyDigest key{};
  // Of another proxy: the customer whose statements it relays.
  CustomerName customer;
};

// A client's transaction. A connection is assigned with its first statement.
struct ClientTransaction {
  Route route;
  bool read_only = false;
  bool wrote = false;
  bool failed = false;
  // The proxy ended the transaction after the idle timeout and has not yet
  // reported this to the client.
  bool expired = false;
  BackendPool::ConnectionPtr connection;
  Timers::TimerId idle_timer = 0;
};

// Why a session ends.
enum class SessionEnd {
  kClientLeft,
  kConnectionError,
  // What the client sent is not understood.
  kMalformed,
  // The client's API key is not valid any more.
  kUnauthorized,
  // This proxy closes its sessions, or is cut off with its zone.
  kDrain,
  // The process ends although statements are in progress.
  kProcessEnd,
};

// Returns the name used in logs, for example "client_left". Thread-safe.
std::string_view ToString(SessionEnd end);

// One client's session: its session values, prepared statements and
// transaction. Statements run sequentially. Thread safety: not thread-safe.
class ClientSession : public std::enable_shared_from_this<ClientSession> {
 public:
  using OnReply = std::function<void(const ClientReply& reply)>;

  // Where the statements of a session come from.
  enum class Origin {
    kClient,
    // Another proxy, which relays statements of several clients in turn. They
    // are never relayed again.
    kPeer,
  };

  // `context` must outlive the session.
  static std::shared_ptr<ClientSession> Create(GatewayContext& context,
                                               std::string database,
                                               Origin origin,
                                               OnReply on_reply,
                                               SessionOwner owner = {});

  // Runs the statement, or queues it behind the one in progress. Replies are
  // passed to `on_reply` in the order of the statements.
  void Handle(ClientStatement statement);

  // Ends the session after its connection has ended: no further reply is sent,
  // and an open transaction is rolled back. Statements without an answer are
  // logged.
  void Disconnect(SessionEnd why = SessionEnd::kClientLeft);

  // Logs and counts each statement that was received and not answered, because
  // the session ends.
  void LogUnanswered(SessionEnd why);

  // Rolls back a transaction in which no statement is in progress; its next
  // statement is answered as aborted.
  void EndTransaction();

  // Answers all statements now, because the process stops, and begins no
  // further one.
  void AnswerAll();

  // Returns how many statements wait for the one in progress.
  size_t waiting() const { return m_pending.size(); }

  // Returns whether every statement was answered.
  bool answered() const { return !m_busy && m_pending.empty(); }

  // Returns whether the last statement was refused because the API key is not
  // valid any more; the connection is then to be closed.
  bool unauthorized() const { return m_unauthorized; }

  // Returns whether every statement was answered and no transaction is open.
  bool idle() const { return answered() && !m_transaction; }

 private:
  struct PendingStatement {
    ClientStatement statement;
    TimePoint received;
  };

  ClientSession(GatewayContext& context,
                std::string database,
                Origin origin,
                OnReply on_reply,
                SessionOwner owner)
      : m_context(context),
        m_database(std::move(database)),
        m_origin(origin),
        m_key(owner.key),
        m_on_reply(std::move(on_reply)),
        m_customer(std::move(owner.customer)) {}

  // Finds the customer that holds the client's API key now. Returns false if
  // there is none, or another one than that of the open transaction.
  bool UpdateCustomer();
  void RefuseUnauthorized(const ClientStatement& statement);
  // Calls `then` if the customer may start an operation, and otherwise refuses
  // the statement.
  void Admit(const ClientStatement& statement,
             const Route& route,
             std::function<void()> then);
  void RefuseOverLimit(Duration retry_after);
  // Returns the session's route in the current configuration, or null.
  const Route* FindRoute() const;
  // Returns whether statements must be relayed because other proxies hold the
  // connections to the group.
  bool ShouldRelay(const Route& route) const;
  void RecordOwnCommit(const ClientReply& reply);
  void LogUnanswered(const RequestId& request, SessionEnd why, bool sent) const;
  void Start(const ClientStatement& statement);
  void StartInFailedTransaction(const ClientStatement& statement);
  void Begin(const ClientStatement& statement);
  void BeginTransaction(const Route& route, bool read_only);
  void RollBack();
  void Run(const ClientStatement& statement);
  void RunSingle(const ClientStatement& statement);
  void Execute(const ClientStatement& statement,
               StatementExecution::Input input);
  void StatementFinished(const ClientStatement& statement,
                         bool wrote,
                         StatementExecution::Outcome outcome);
  void UpdateTransaction(const ClientStatement& statement,
                         bool wrote,
                         StatementExecution::Outcome& outcome);
  void StartIdleTimer();
  void ExpireTransaction();
  // Cancels the idle timer and rolls the transaction back at the instance.
  void CloseTransaction();
  void Reply(ClientReply reply);
  // Starts the statements that wait, until one of them has to wait for others.
  void StartPending();
  void ReplyDone();
  void Fail(ReplyCode code, std::string message);
  // Refuses this statement and all later ones because the process stops. Those
  // that follow a refused BEGIN in a batch must not run outside of it.
  void RefuseFromNowOn(const ClientStatement& statement,
                       ReplyCode code,
                       std::string message);
  void RefuseStatement(const ClientStatement& statement);
  void LogAnswerOfDrain(const RequestId& id, const ClientReply& reply);
  TransactionState state() const;

  GatewayContext& m_context;
  const std::string m_database;
  const Origin m_origin;
  const ApiKeyDigest m_key;
  OnReply m_on_reply;
  // For whom statements run; empty without customers.
  CustomerName m_customer;
  SessionState m_state;
  std::optional<CommitPosition> m_own_commit;
  std::optional<ClientTransaction> m_transaction;
  std::shared_ptr<StatementExecution> m_execution;
  // The statement that m_execution runs, or that waits to be admitted.
  RequestId m_running;
  // A statement waits to be admitted; its number.
  bool m_admitting = false;
  uint64_t m_admission = 0;
  bool m_unauthorized = false;
  // When the statement in progress was received.
  TimePoint m_started;
  // Statements received while another one was in progress.
  std::deque<PendingStatement> m_pending;
  // The answer to every further statement; set when the process stops.
  std::optional<ClientReply> m_refusal;
  bool m_busy = false;
  // StartPending() is on the stack.
  bool m_starting = false;
};

}  // namespace jackdawturn::gateway
