#include "gateway/client_session.h"

#include <algorithm>
#include <utility>

#include "gateway/local_statement_execution.h"
#include "gateway/relayed_statement_execution.h"

namespace jackdawturn::gateway {

namespace {

using Kind = ClientStatement::Kind;

constexpr const char* kStops = "the proxy stops";

}  // namespace

std::string_view ToString(SessionEnd end) {
  switch (end) {
    case SessionEnd::kClientLeft:
      return "client_left";
    case SessionEnd::kConnectionError:
      return "connection_error";
    case SessionEnd::kMalformed:
      return "malformed";
    case SessionEnd::kUnauthorized:
      return "unauthorized";
    case SessionEnd::kDrain:
      return "drain";
    case SessionEnd::kProcessEnd:
      return "process_end";
  }
  return "unknown";
}

std::shared_ptr<ClientSession> ClientSession::Create(GatewayContext& context,
                                                     std::string database,
                                                     Origin origin,
                                                     OnReply on_reply,
                                                     SessionOwner owner) {
  return std::shared_ptr<ClientSession>(
      new ClientSession(context, std::move(database), origin,
                        std::move(on_reply), std::move(owner)));
}

void ClientSession::Handle(ClientStatement statement) {
  if (m_busy) {
    m_pending.push_back({std::move(statement), m_context.timers.now()});
    return;
  }
  m_busy = true;
  m_started = m_context.timers.now();
  Start(statement);
}

void ClientSession::EndTransaction() {
  if (!m_transaction || m_busy || m_transaction->failed)
    return;
  CloseTransaction();
  m_transaction->failed = true;
}

void ClientSession::AnswerAll() {
  const auto self = shared_from_this();
  if (!m_refusal) {
    m_refusal.emplace();
    m_refusal->code = m_transaction ? ReplyCode::kAborted : ReplyCode::kBusy;
    m_refusal->message = m_transaction ? kStops : kDraining;
  }
  // Its answer is followed by those of the statements that wait.
  if (const auto execution = m_execution)
    execution->Interrupt();
  RollBack();
  if (std::exchange(m_admitting, false)) {
    LogAnswerOfDrain(m_running, *m_refusal);
    Reply(*m_refusal);
  }
}

const Route* ClientSession::FindRoute() const {
  return m_context.config ? m_context.config->FindRoute(m_database) : nullptr;
}

bool ClientSession::ShouldRelay(const Route& route) const {
  return m_origin == Origin::kClient &&
         !m_context.peers.Holds(route.group,
                                m_context.ConnectionsOf(route.group));
}

void ClientSession::RecordOwnCommit(const ClientReply& reply) {
  if (reply.position)
    m_own_commit =
        std::max(m_own_commit.value_or(CommitPosition{}), *reply.position);
}

void ClientSession::Start(const ClientStatement& statement) {
  // A relayed statement carries the last commit of its own client.
  if (m_origin == Origin::kPeer && !m_transaction)
    m_own_commit = statement.after;
  if (m_refusal)
    return RefuseStatement(statement);
  if (!UpdateCustomer())
    return RefuseUnauthorized(statement);
  if (m_transaction)
    m_context.timers.Cancel(m_transaction->idle_timer);
  if (m_transaction && statement.kind != Kind::kRollback &&
      m_context.DrainReached(DrainPhase::kEndingTransactions)) {
    RollBack();
    return RefuseFromNowOn(statement, ReplyCode::kAborted, kStops);
  }
  if (m_transaction && m_transaction->failed)
    return StartInFailedTransaction(statement);
  switch (statement.kind) {
    case Kind::kBegin:
    case Kind::kBeginRead:
      return Begin(statement);
    case Kind::kRollback:
      RollBack();
      return ReplyDone();
    case Kind::kSetValue:
      m_state.values[statement.name] = statement.argument;
      return ReplyDone();
    case Kind::kPrepare:
      m_state.prepared[statement.name] = {statement.writes, statement.argument};
      return ReplyDone();
    case Kind::kClosePrepared:
      m_state.prepared.erase(statement.name);
      return ReplyDone();
    case Kind::kDiscard:
      m_state = {};
      return ReplyDone();
    case Kind::kCommit:
    case Kind::kRead:
    case Kind::kWrite:
    case Kind::kExecute:
      return Run(statement);
    case Kind::kMalformed:
      return Fail(ReplyCode::kMalformed, "the statement is not understood");
  }
}

void ClientSession::Run(const ClientStatement& statement) {
  if (!m_transaction)
    return RunSingle(statement);
  StatementExecution::Input input;
  input.route = m_transaction->route;
  input.transaction = m_transaction->read_only
                          ? StatementExecution::Transaction::kReadOnly
                          : StatementExecution::Transaction::kReadWrite;
  input.connection = std::move(m_transaction->connection);
  input.transaction_wrote = m_transaction->wrote;
  Execute(statement, std::move(input));
}

void ClientSession::RunSingle(const ClientStatement& statement) {
  if (statement.kind == Kind::kCommit)
    return Fail(ReplyCode::kMalformed, "no transaction is open");
  const Route* route = FindRoute();
  if (!route)
    return Fail(ReplyCode::kNoDatabase, "no such database");
  // Nearly all statements end long before their limit, which may be longer
  // than the grace period, so it counts late in a drain only.
  if (m_context.DrainReached(DrainPhase::kEndingTransactions) &&
      !m_context.HasTimeFor(route->statement_timeout))
    return RefuseFromNowOn(statement, ReplyCode::kBusy, kDraining);
  Admit(statement, *route, [this, statement, route = *route] {
    StatementExecution::Input input;
    input.route = route;
    Execute(statement, std::move(input));
  });
}

void ClientSession::Execute(const ClientStatement& statement,
                            StatementExecution::Input input) {
  input.statement = statement;
  input.received = m_started;
  input.customer = m_customer;
  if (statement.kind == Kind::kExecute) {
    const auto prepared = m_state.prepared.find(statement.name);
    if (prepared == m_state.prepared.end()) {
      if (m_transaction)
        m_transaction->connection = std::move(input.connection);
      return Fail(ReplyCode::kNoStatement, statement.name);
    }
    input.prepared = prepared->second;
  }
  input.session = m_state;
  input.own_commit = m_own_commit;
  input.from_peer = m_origin == Origin::kPeer;
  const bool wrote = statement.kind == Kind::kWrite ||
                     (input.prepared && input.prepared->writes);
  auto on_done = [weak = weak_from_this(), statement,
                  wrote](StatementExecution::Outcome outcome) {
    if (const auto self = weak.lock())
      self->StatementFinished(statement, wrote, std::move(outcome));
  };
  // All statements of a transaction use the connection of the first one.
  const bool relayed = input.connection
                           ? input.connection->pool == &m_context.peer_pool
                           : ShouldRelay(input.route);
  if (relayed)
    m_execution = RelayedStatementExecution::Create(m_context, std::move(input),
                                                    std::move(on_done));
  else
    m_execution = LocalStatementExecution::Create(m_context, std::move(input),
                                                  std::move(on_done));
  m_running = statement.id;
  const auto execution = m_execution;
  execution->Start();
}

void ClientSession::StatementFinished(const ClientStatement& statement,
                                      bool wrote,
                                      StatementExecution::Outcome outcome) {
  m_execution.reset();
  const bool done = outcome.reply.code == ReplyCode::kDone;
  m_context.log.RecordStatement(outcome.reply.code,
                                m_context.timers.now() - m_started);
  if (m_transaction) {
    UpdateTransaction(statement, wrote, outcome);
  } else if (done && wrote) {
    RecordOwnCommit(outcome.reply);
  }
  if (m_refusal) {
    // The process stops, and its client is told with this answer.
    RollBack();
    LogAnswerOfDrain(statement.id, outcome.reply);
  } else if (!done) {
    m_context.log.LogRequestEvent(
        statement.id, GroupName(), "failed", "",
        {{"code", std::string(ToString(outcome.reply.code))},
         {"message", outcome.reply.message},
         {"database", m_database}});
  }
  Reply(std::move(outcome.reply));
}

void ClientSession::LogUnanswered(SessionEnd why) {
  if (m_execution || m_admitting)
    LogUnanswered(m_running, why, m_execution && m_execution->sent());
  for (const PendingStatement& pending : m_pending)
    LogUnanswered(pending.statement.id, why, false);
}

void ClientSession::LogUnanswered(const RequestId& request,
                                  SessionEnd why,
                                  bool sent) const {
  const std::string reason(ToString(why));
  GatewayLog::Fields fields = {
      {"database", m_database}, {"why", reason}, {"sent", sent ? "yes" : "no"}};
  // The relaying proxy has a line of its own for the client.
  if (m_origin == Origin::kPeer)
    fields["from"] = "proxy";
  m_context.log.LogRequestEvent(request, GroupName(), "unanswered", "",
                                std::move(fields));
  m_context.log.CountUnanswered(reason);
}

void ClientSession::Disconnect(SessionEnd why) {
  m_on_reply = nullptr;
  LogUnanswered(why);
  m_admitting = false;
  m_pending.clear();
  if (m_execution)
    m_execution->Abandon();
  m_execution.reset();
  if (m_transaction)
    CloseTransaction();
  m_transaction.reset();
}

TransactionState ClientSession::state() const {
  if (!m_transaction)
    return TransactionState::kNone;
  return m_transaction->failed ? TransactionState::kFailed
                               : TransactionState::kOpen;
}

void ClientSession::ReplyDone() {
  Reply(ClientReply{});
}

void ClientSession::Fail(ReplyCode code, std::string message) {
  // As at an instance, any error makes the transaction fail.
  if (m_transaction && !m_transaction->failed) {
    CloseTransaction();
    m_transaction->failed = true;
  }
  ClientReply reply;
  reply.code = code;
  reply.message = std::move(message);
  Reply(std::move(reply));
}

void ClientSession::RefuseFromNowOn(const ClientStatement& statement,
                                    ReplyCode code,
                                    std::string message) {
  m_refusal.emplace();
  m_refusal->code = code;
  m_refusal->message = std::move(message);
  RefuseStatement(statement);
}

void ClientSession::RefuseStatement(const ClientStatement& statement) {
  LogAnswerOfDrain(statement.id, *m_refusal);
  Reply(*m_refusal);
}

void ClientSession::LogAnswerOfDrain(const RequestId& id,
                                     const ClientReply& reply) {
  const Route* route = FindRoute();
  m_context.log.LogRequestEvent(id, route ? route->group : GroupName(),
                                "answered_by_drain", "",
                                {{"code", std::string(ToString(reply.code))},
                                 {"message", reply.message},
                                 {"database", m_database}});
}

void ClientSession::Reply(ClientReply reply) {
  reply.state = state();
  m_busy = false;
  // Also after a statement that this proxy answers by itself.
  if (m_transaction && m_transaction->connection)
    StartIdleTimer();
  const auto self = shared_from_this();
  if (m_on_reply)
    m_on_reply(reply);
  StartPending();
}

void ClientSession::StartPending() {
  // A statement that is answered at once ends in Reply() again; the loop below
  // then goes on, so that the depth of the stack does not grow with the queue.
  if (m_starting)
    return;
  m_starting = true;
  while (!m_busy && !m_pending.empty()) {
    const PendingStatement next = std::move(m_pending.front());
    m_pending.pop_front();
    m_busy = true;
    m_started = next.received;
    Start(next.statement);
  }
  m_starting = false;
}

}  // namespace jackdawturn::gateway
