#include "gateway/backend_pool.h"

#include <algorithm>
#include <utility>

// How connections are closed, and the state that a pool reports.

namespace jackdawturn::gateway {

void BackendPool::RollBackAndRelease(ConnectionPtr connection,
                                     TransactionState state) {
  if (state == TransactionState::kNone)
    return Release(std::move(connection));
  if (!connection->session->is_open())
    return Discard(std::move(connection));
  auto shared_connection =
      std::make_shared<ConnectionPtr>(std::move(connection));
  BackendSession& session = *(*shared_connection)->session;
  const auto timer = m_timers.After(
      m_options.rollback_timeout, [self = m_self, shared_connection] {
        if (*self && *shared_connection)
          (*self)->Discard(std::move(*shared_connection));
      });
  session.Send(
      {{.kind = BackendCommand::Kind::kRollback}},
      [self = m_self, shared_connection, timer](const auto& replies) {
        if (!*self || !*shared_connection)
          return;
        (*self)->m_timers.Cancel(timer);
        // A rollback that was refused leaves the transaction open.
        if (replies && replies.value().front().code == ReplyCode::kDone)
          (*self)->Release(std::move(*shared_connection));
        else
          (*self)->Discard(std::move(*shared_connection));
      });
}

void BackendPool::RollBackToPool(ConnectionPtr connection,
                                 TransactionState state) {
  BackendPool& pool = *connection->pool;
  pool.RollBackAndRelease(std::move(connection), state);
}

void BackendPool::Forget(const InstanceName& id) {
  const auto found = m_instances.find(id);
  if (found == m_instances.end())
    return;
  found->second.idle.clear();
  EndPace(found->second);
  FailWaiters(found->second, Error{ErrorCode::kUnavailable, "pool.forget",
                                   id.value(), "instance was removed"});
}

void BackendPool::CloseIdle() {
  const TimePoint now = m_timers.now();
  for (auto& [id, instance] : m_instances) {
    std::erase_if(instance.idle, [&](const ConnectionPtr& connection) {
      return !connection->session->is_open();
    });
    const bool keep_one =
        !m_options.keep_one_idle || m_options.keep_one_idle(instance.server);
    // The least recently used connection is first; the last one may be kept.
    const size_t closable =
        instance.idle.size() - (keep_one && !instance.idle.empty() ? 1 : 0);
    const auto end =
        instance.idle.begin() + static_cast<std::ptrdiff_t>(closable);
    const auto kept = std::remove_if(
        instance.idle.begin(), end, [&](const ConnectionPtr& connection) {
          return connection->idle_since + IdleTime(*connection, keep_one) < now;
        });
    instance.idle.erase(kept, end);
  }
  std::erase_if(m_instances, [now](const auto& entry) {
    const InstanceConnections& instance = entry.second;
    return instance.idle.empty() && instance.waiters.empty() &&
           instance.in_use == 0 && instance.opening == 0 &&
           !instance.pace.binds() && !instance.retry_scheduled &&
           (!instance.unreachable_until || *instance.unreachable_until <= now);
  });
}

Duration BackendPool::IdleTime(const PooledConnection& connection,
                               bool kept) const {
  return kept && !connection.server.customer.empty()
             ? m_options.customer_idle_time
             : m_options.idle_time;
}

bool BackendPool::HasIdle(const InstanceName& id,
                          const CustomerName& customer) const {
  if (customer.empty())
    return true;
  const auto found = m_instances.find(id);
  return found != m_instances.end() &&
         std::any_of(found->second.idle.begin(), found->second.idle.end(),
                     [&](const ConnectionPtr& connection) {
                       return connection->server.customer == customer;
                     });
}

size_t BackendPool::Outstanding(const InstanceName& id) const {
  const auto found = m_instances.find(id);
  return found == m_instances.end()
             ? 0
             : found->second.in_use + found->second.waiters.size();
}

bool BackendPool::Unreachable(const InstanceName& id) const {
  const auto found = m_instances.find(id);
  return found != m_instances.end() && found->second.unreachable_until &&
         m_timers.now() < *found->second.unreachable_until;
}

size_t BackendPool::connections() const {
  size_t count = 0;
  for (const auto& [id, instance] : m_instances)
    count += instance.idle.size() + instance.in_use;
  return count;
}

}  // namespace jackdawturn::gateway
