#include "gateway/backend_pool.h"

#include <algorithm>
#include <utility>

namespace jackdawturn::gateway {

BackendPool::BackendPool(Timers& timers,
                         OpenBackendSession open,
                         Options options)
    : m_timers(timers),
      m_open(std::move(open)),
      m_options(std::move(options)),
      m_self(std::make_shared<BackendPool*>(this)) {}

BackendPool::~BackendPool() {
  *m_self = nullptr;
}

BackendPool::InstanceConnections& BackendPool::FindOrAddInstance(
    const BackendServer& server) {
  InstanceConnections& instance = m_instances[server.id];
  if (instance.server.incarnation != server.incarnation ||
      instance.server.address != server.address) {
    // The instance was restarted or has moved: its old connections are dead.
    instance.idle.clear();
    instance.unreachable_until.reset();
  }
  instance.server = server;
  return instance;
}

BackendPool::ConnectionPtr BackendPool::TakeIdle(
    InstanceConnections& instance) {
  while (!instance.idle.empty()) {
    ConnectionPtr connection = std::move(instance.idle.back());
    instance.idle.pop_back();
    if (connection->session->is_open())
      return connection;
  }
  return nullptr;
}

void BackendPool::Acquire(const BackendServer& server,
                          uint64_t priority,
                          Duration wait,
                          OnAcquired on_acquired) {
  InstanceConnections& instance = FindOrAddInstance(server);
  if (instance.waiters.empty()) {
    if (ConnectionPtr connection = TakeIdle(instance)) {
      ++instance.in_use;
      return on_acquired(std::move(connection));
    }
  }
  if (instance.unreachable_until &&
      m_timers.now() < *instance.unreachable_until && instance.in_use == 0)
    return on_acquired(
        Failure(instance.unreachable_code, "pool.acquire", server.id.value(),
                "instance was unreachable at the last attempt; the "
                "retry delay has not elapsed"));
  Enqueue(instance, priority, wait, std::move(on_acquired));
  OpenMore(instance);
}

void BackendPool::Enqueue(InstanceConnections& instance,
                          uint64_t priority,
                          Duration wait,
                          OnAcquired on_acquired) {
  const uint64_t number = m_next_waiter++;
  const auto insert_at = std::find_if(
      instance.waiters.begin(), instance.waiters.end(),
      [&](const Waiter& waiter) { return waiter.priority > priority; });
  const auto timer =
      m_timers.After(wait, [self = m_self, id = instance.server.id, number] {
        if (*self)
          (*self)->TimeOutWaiter(id, number);
      });
  instance.waiters.insert(insert_at,
                          {number, priority, std::move(on_acquired), timer});
}

void BackendPool::TimeOutWaiter(const InstanceName& id, uint64_t number) {
  const auto found = m_instances.find(id);
  if (found == m_instances.end())
    return;
  auto& waiters = found->second.waiters;
  const auto waiter =
      std::find_if(waiters.begin(), waiters.end(),
                   [&](const Waiter& item) { return item.number == number; });
  if (waiter == waiters.end())
    return;
  OnAcquired on_acquired = std::move(waiter->on_acquired);
  waiters.erase(waiter);
  on_acquired(Failure(ErrorCode::kExhausted, "pool.wait", id.value(),
                      "no connection to the instance became free in time"));
}

void BackendPool::OpenMore(InstanceConnections& instance) {
  const TimePoint now = m_timers.now();
  if (instance.full_until && now < *instance.full_until)
    return RetryWhenNotFull(instance);
  while (MayOpen(instance)) {
    ++instance.opening;
    m_open(instance.server, m_options.open_timeout,
           [self = m_self, id = instance.server.id](
               Result<std::unique_ptr<BackendSession>> session) {
             if (*self)
               (*self)->OnOpened(id, std::move(session));
           });
  }
}

bool BackendPool::MayOpen(const InstanceConnections& instance) const {
  if (instance.opening >= instance.waiters.size() ||
      instance.opening >= m_options.concurrent_opens)
    return false;
  const size_t limit = m_options.max_connections
                           ? m_options.max_connections(instance.server)
                           : 0;
  return limit == 0 || instance.in_use + instance.opening < limit;
}

void BackendPool::RetryWhenNotFull(InstanceConnections& instance) {
  if (instance.retry_scheduled || instance.waiters.empty())
    return;
  instance.retry_scheduled = true;
  m_timers.After(m_options.full_retry_delay,
                 [self = m_self, id = instance.server.id] {
                   if (!*self)
                     return;
                   const auto found = (*self)->m_instances.find(id);
                   if (found == (*self)->m_instances.end())
                     return;
                   found->second.retry_scheduled = false;
                   (*self)->OpenMore(found->second);
                 });
}

void BackendPool::OnOpened(const InstanceName& id,
                           Result<std::unique_ptr<BackendSession>> session) {
  const auto found = m_instances.find(id);
  if (found == m_instances.end())
    return;
  InstanceConnections& instance = found->second;
  --instance.opening;
  if (session) {
    instance.unreachable_until.reset();
    instance.full_until.reset();
    return AddOpened(instance, std::move(session.value()));
  }
  if (m_options.on_open_failed)
    m_options.on_open_failed(instance.server, session.error());
  if (session.error().code == ErrorCode::kExhausted) {
    instance.full_until = m_timers.now() + m_options.full_retry_delay;
    return RetryWhenNotFull(instance);
  }
  instance.unreachable_until =
      m_timers.now() + m_options.unreachable_retry_delay;
  instance.unreachable_code = session.error().code;
  FailWaiters(instance, session.error());
}

void BackendPool::AddOpened(InstanceConnections& instance,
                            std::unique_ptr<BackendSession> session) {
  auto connection = std::make_unique<PooledConnection>();
  connection->pool = this;
  connection->server = instance.server;
  connection->session = std::move(session);
  connection->opened_at = m_timers.now();
  Offer(instance, std::move(connection));
}

void BackendPool::Probe(const BackendServer& server,
                        Duration timeout,
                        std::function<void(Result<void>)> on_end) {
  m_open(server, timeout,
         [self = m_self, id = server.id, on_end = std::move(on_end)](
             Result<std::unique_ptr<BackendSession>> session) {
           if (!*self)
             return;
           if (!session)
             return on_end(session.error());
           const auto found = (*self)->m_instances.find(id);
           if (found != (*self)->m_instances.end())
             (*self)->AddOpened(found->second, std::move(session.value()));
           on_end(Success());
         });
}

void BackendPool::Offer(InstanceConnections& instance,
                        ConnectionPtr connection) {
  connection->idle_since = m_timers.now();
  if (instance.waiters.empty()) {
    instance.idle.push_back(std::move(connection));
    return;
  }
  Waiter waiter = std::move(instance.waiters.front());
  instance.waiters.pop_front();
  m_timers.Cancel(waiter.timer);
  ++instance.in_use;
  waiter.on_acquired(std::move(connection));
}

void BackendPool::FailWaiters(InstanceConnections& instance,
                              const Error& error) {
  std::list<Waiter> waiters = std::move(instance.waiters);
  instance.waiters.clear();
  for (Waiter& waiter : waiters) {
    m_timers.Cancel(waiter.timer);
    waiter.on_acquired(error);
  }
}

void BackendPool::Release(ConnectionPtr connection) {
  const auto found = m_instances.find(connection->server.id);
  if (found == m_instances.end())
    return;
  InstanceConnections& instance = found->second;
  --instance.in_use;
  if (connection->session->is_open() &&
      connection->server.incarnation == instance.server.incarnation)
    return Offer(instance, std::move(connection));
  OpenMore(instance);
}

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

void BackendPool::Discard(ConnectionPtr connection) {
  const auto found = m_instances.find(connection->server.id);
  connection.reset();
  if (found == m_instances.end())
    return;
  --found->second.in_use;
  OpenMore(found->second);
}

void BackendPool::Forget(const InstanceName& id) {
  const auto found = m_instances.find(id);
  if (found == m_instances.end())
    return;
  found->second.idle.clear();
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
    // The least recently used connection is first.
    while (instance.idle.size() > (keep_one ? 1 : 0) &&
           instance.idle.front()->idle_since + m_options.idle_time < now)
      instance.idle.erase(instance.idle.begin());
  }
  std::erase_if(m_instances, [now](const auto& entry) {
    const InstanceConnections& instance = entry.second;
    return instance.idle.empty() && instance.waiters.empty() &&
           instance.in_use == 0 && instance.opening == 0 &&
           !instance.retry_scheduled &&
           (!instance.unreachable_until || *instance.unreachable_until <= now);
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
