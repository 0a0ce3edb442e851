#include <utility>

#include "gateway/client_session.h"

// The transactions of a session.

namespace jackdawturn::gateway {

namespace {

using Kind = ClientStatement::Kind;

}  // namespace

void ClientSession::StartInFailedTransaction(const ClientStatement& statement) {
  if (statement.kind == Kind::kRollback) {
    RollBack();
    return ReplyDone();
  }
  if (statement.kind == Kind::kCommit) {
    RollBack();
    return Fail(ReplyCode::kAborted, "the transaction had failed");
  }
  if (std::exchange(m_transaction->expired, false))
    return Fail(ReplyCode::kAborted, "the transaction was idle for too long");
  Fail(ReplyCode::kMalformed, "the transaction has failed");
}

void ClientSession::Begin(const ClientStatement& statement) {
  if (m_transaction)
    return Fail(ReplyCode::kMalformed, "a transaction is already open");
  if (m_context.DrainReached(DrainPhase::kEndingTransactions))
    return RefuseFromNowOn(statement, ReplyCode::kBusy, kDraining);
  const Route* route = FindRoute();
  if (!route) {
    // Another proxy sends BEGIN and the first statement in one batch. The
    // failed transaction remains, so that this statement does not run outside
    // of a transaction.
    if (m_origin == Origin::kPeer)
      m_transaction.emplace();
    return Fail(ReplyCode::kNoDatabase, "no such database");
  }
  const bool read_only = statement.kind == Kind::kBeginRead;
  Admit(statement, *route, [this, route = *route, read_only] {
    BeginTransaction(route, read_only);
  });
}

void ClientSession::BeginTransaction(const Route& route, bool read_only) {
  m_transaction.emplace();
  m_transaction->route = route;
  m_transaction->read_only = read_only;
  ReplyDone();
}

void ClientSession::RollBack() {
  if (!m_transaction)
    return;
  CloseTransaction();
  m_transaction.reset();
}

void ClientSession::CloseTransaction() {
  m_context.timers.Cancel(m_transaction->idle_timer);
  if (m_transaction->connection)
    BackendPool::RollBackToPool(std::move(m_transaction->connection),
                                TransactionState::kOpen);
}

void ClientSession::UpdateTransaction(const ClientStatement& statement,
                                      bool wrote,
                                      StatementExecution::Outcome& outcome) {
  ClientTransaction& transaction = *m_transaction;
  transaction.wrote = transaction.wrote || wrote;
  transaction.connection = std::move(outcome.connection);
  if (statement.kind == Kind::kCommit) {
    if (outcome.reply.code == ReplyCode::kDone && transaction.wrote)
      RecordOwnCommit(outcome.reply);
    RollBack();
    return;
  }
  if (outcome.reply.code != ReplyCode::kDone) {
    CloseTransaction();
    transaction.failed = true;
  }
}

void ClientSession::StartIdleTimer() {
  if (!m_context.config || m_context.config->transaction_idle == Duration(0))
    return;
  m_transaction->idle_timer = m_context.timers.After(
      m_context.config->transaction_idle, [weak = weak_from_this()] {
        if (const auto self = weak.lock())
          self->ExpireTransaction();
      });
}

void ClientSession::ExpireTransaction() {
  if (!m_transaction || m_busy || m_transaction->failed)
    return;
  CloseTransaction();
  m_transaction->failed = true;
  m_transaction->expired = true;
  m_context.log.LogRequestEvent(RequestId(), m_transaction->route.group,
                                "transaction_idle", "",
                                {{"database", m_database}});
}

}  // namespace jackdawturn::gateway
