#include "requests/transaction_table.h"

#include <utility>

namespace jackdawturn::requests {

namespace {

Result<std::string> Refuse(ErrorCode code, const std::string& message) {
  return Failure(code, "requests.transaction", "", message);
}

}  // namespace

TransactionTable::TransactionTable(TransactionOptions options)
    : m_options(std::move(options)) {}

std::vector<TransactionEffect> TransactionTable::Handle(
    const TransactionEvent& event,
    TimePoint now) {
  if (const auto* begin = std::get_if<BeginTransaction>(&event)) {
    Begin(*begin, now);
  } else if (std::holds_alternative<BeginDrain>(event)) {
    m_draining = true;
  } else if (const auto* lost = std::get_if<ConnectionLost>(&event)) {
    const auto found = m_connections.find({lost->instance, lost->connection});
    if (found != m_connections.end())
      Drive(TransactionId(found->second), event, now);
  } else if (const auto* changed = std::get_if<GroupTermChanged>(&event)) {
    std::vector<TransactionId> of_group;
    for (const auto& [id, machine] : m_machines) {
      if (machine.group() == changed->view.record.group)
        of_group.push_back(id);
    }
    for (const TransactionId& id : of_group)
      Drive(id, event, now);
  } else if (std::holds_alternative<TimePassed>(event)) {
    std::vector<TransactionId> due;
    for (const auto& [time, id] : m_wakeup_order) {
      if (time > now)
        break;
      due.push_back(id);
    }
    for (const TransactionId& id : due)
      Drive(id, event, now);
  } else {
    std::visit(
        [&](const auto& item) {
          if constexpr (requires { item.transaction; })
            Drive(item.transaction, event, now);
        },
        event);
  }
  return std::exchange(m_effects, {});
}

std::optional<TimePoint> TransactionTable::NextWakeup() const {
  if (m_wakeup_order.empty())
    return std::nullopt;
  return m_wakeup_order.begin()->first;
}

void TransactionTable::Begin(const BeginTransaction& event, TimePoint now) {
  const PinnedConnection& on = event.on;
  const std::pair connection(on.instance, on.connection);
  if (m_connections.count(connection) != 0) {
    // The connection stays pinned to the transaction that uses it.
    m_effects.push_back(
        ReplyStatement{event.reply_to, on.transaction,
                       Refuse(ErrorCode::kConflict, "connection is in use")});
    return;
  }
  if (m_machines.count(on.transaction) != 0) {
    m_effects.push_back(ReleaseConnection{on.instance, on.connection});
    m_effects.push_back(ReplyStatement{
        event.reply_to, on.transaction,
        Refuse(ErrorCode::kConflict, "transaction id is in use")});
    return;
  }
  if (m_draining || m_machines.size() >= m_options.transaction_limit) {
    m_effects.push_back(ReleaseConnection{on.instance, on.connection});
    m_effects.push_back(ReplyStatement{
        event.reply_to, on.transaction,
        m_draining
            ? Refuse(ErrorCode::kUnavailable, "the proxy is draining")
            : Refuse(ErrorCode::kExhausted, "too many open transactions")});
    return;
  }
  const auto [item, inserted] =
      m_machines.emplace(on.transaction, TransactionMachine(event, m_options));
  m_connections[connection] = on.transaction;
  AppendEffects(on.transaction, item->second.Start(now));
}

void TransactionTable::Drive(const TransactionId& id,
                             const TransactionEvent& event,
                             TimePoint now) {
  const auto found = m_machines.find(id);
  if (found == m_machines.end()) {
    OnUnknownTransaction(event);
    return;
  }
  if (const auto* answer = std::get_if<StatementAnswered>(&event);
      answer != nullptr &&
      (answer->instance != found->second.on().instance ||
       answer->connection != found->second.on().connection)) {
    ++m_dropped_answers;
    return;
  }
  AppendEffects(id, found->second.Handle(event, now));
}

void TransactionTable::AppendEffects(const TransactionId& id,
                                     std::vector<TransactionEffect> effects) {
  for (TransactionEffect& effect : effects) {
    // A released connection may serve another transaction before this one is
    // answered.
    if (const auto* released = std::get_if<ReleaseConnection>(&effect))
      m_connections.erase({released->instance, released->connection});
    else if (const auto* closed = std::get_if<CloseConnection>(&effect))
      m_connections.erase({closed->instance, closed->connection});
    m_effects.push_back(std::move(effect));
  }
  Schedule(id);
  const auto found = m_machines.find(id);
  if (found->second.ended())
    m_machines.erase(found);
}

void TransactionTable::Schedule(const TransactionId& id) {
  if (const auto old = m_wakeups.find(id); old != m_wakeups.end()) {
    m_wakeup_order.erase({old->second, id});
    m_wakeups.erase(old);
  }
  const TransactionMachine& machine = m_machines.at(id);
  if (const auto wakeup = machine.NextWakeup()) {
    m_wakeups[id] = *wakeup;
    m_wakeup_order.insert({*wakeup, id});
  }
}

void TransactionTable::OnUnknownTransaction(const TransactionEvent& event) {
  constexpr const char* kMessage = "transaction is not open on this proxy";
  if (const auto* statement = std::get_if<RunStatement>(&event)) {
    m_effects.push_back(ReplyStatement{statement->reply_to,
                                       statement->transaction,
                                       Refuse(ErrorCode::kNotFound, kMessage)});
  } else if (const auto* rollback = std::get_if<RollbackTransaction>(&event)) {
    m_effects.push_back(ReplyStatement{rollback->reply_to,
                                       rollback->transaction,
                                       Refuse(ErrorCode::kNotFound, kMessage)});
  } else if (const auto* commit = std::get_if<CommitTransaction>(&event)) {
    m_effects.push_back(ReplyCommit{
        commit->reply_to, commit->transaction,
        RefuseCommit(commit->request, Reason::kTransactionEnded, kMessage)});
  } else if (std::holds_alternative<StatementAnswered>(event)) {
    ++m_dropped_answers;
  }
}

}  // namespace jackdawturn::requests
