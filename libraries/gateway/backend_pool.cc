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

BackendPool::Target& BackendPool::FindTarget(const BackendServer& server) {
  Target& target = m_targets[server.id];
  if (target.server.incarnation != server.incarnation ||
      target.server.address != server.address) {
    // Connections to the instance's earlier life lead nowhere.
    target.idle.clear();
    target.unreachable_until.reset();
  }
  target.server = server;
  return target;
}

BackendPool::ConnectionPtr BackendPool::TakeIdle(Target& target) {
  while (!target.idle.empty()) {
    ConnectionPtr connection = std::move(target.idle.back());
    target.idle.pop_back();
    if (connection->session->is_open())
      return connection;
  }
  return nullptr;
}

void BackendPool::Acquire(const BackendServer& server,
                          uint64_t priority,
                          Duration wait,
                          OnAcquired on_acquired) {
  Target& target = FindTarget(server);
  if (target.waiters.empty()) {
    if (ConnectionPtr connection = TakeIdle(target)) {
      ++target.in_use;
      return on_acquired(std::move(connection));
    }
  }
  if (target.unreachable_until && m_timers.now() < *target.unreachable_until &&
      target.in_use == 0)
    return on_acquired(Failure(ErrorCode::kUnavailable, "pool.acquire",
                               server.id.value(),
                               "the instance was unreachable just now"));
  Enqueue(target, priority, wait, std::move(on_acquired));
  OpenMore(target);
}

void BackendPool::Enqueue(Target& target,
                          uint64_t priority,
                          Duration wait,
                          OnAcquired on_acquired) {
  const uint64_t number = m_next_waiter++;
  const auto place = std::find_if(
      target.waiters.begin(), target.waiters.end(),
      [&](const Waiter& waiter) { return waiter.priority > priority; });
  const auto timer =
      m_timers.After(wait, [self = m_self, id = target.server.id, number] {
        if (*self)
          (*self)->EndWait(id, number);
      });
  target.waiters.insert(place,
                        {number, priority, std::move(on_acquired), timer});
}

void BackendPool::EndWait(const InstanceName& id, uint64_t number) {
  const auto found = m_targets.find(id);
  if (found == m_targets.end())
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
                      "no connection was free in time"));
}

void BackendPool::OpenMore(Target& target) {
  const TimePoint now = m_timers.now();
  if (target.full_until && now < *target.full_until)
    return RetryWhenNotFull(target);
  while (MayOpen(target)) {
    ++target.opening;
    m_open(target.server, m_options.open_timeout,
           [self = m_self, id = target.server.id](
               Result<std::unique_ptr<BackendSession>> session) {
             if (*self)
               (*self)->Opened(id, std::move(session));
           });
  }
}

bool BackendPool::MayOpen(const Target& target) const {
  if (target.opening >= target.waiters.size() ||
      target.opening >= m_options.concurrent_opens)
    return false;
  const size_t limit =
      m_options.max_connections ? m_options.max_connections(target.server) : 0;
  return limit == 0 || target.in_use + target.opening < limit;
}

void BackendPool::RetryWhenNotFull(Target& target) {
  if (target.retry_planned || target.waiters.empty())
    return;
  target.retry_planned = true;
  m_timers.After(m_options.full_time, [self = m_self, id = target.server.id] {
    if (!*self)
      return;
    const auto found = (*self)->m_targets.find(id);
    if (found == (*self)->m_targets.end())
      return;
    found->second.retry_planned = false;
    (*self)->OpenMore(found->second);
  });
}

void BackendPool::Opened(const InstanceName& id,
                         Result<std::unique_ptr<BackendSession>> session) {
  const auto found = m_targets.find(id);
  if (found == m_targets.end())
    return;
  Target& target = found->second;
  --target.opening;
  if (session) {
    target.unreachable_until.reset();
    target.full_until.reset();
    return AddOpened(target, std::move(session.value()));
  }
  if (m_options.on_open_failed)
    m_options.on_open_failed(target.server, session.error());
  if (session.error().code == ErrorCode::kExhausted) {
    target.full_until = m_timers.now() + m_options.full_time;
    return RetryWhenNotFull(target);
  }
  target.unreachable_until = m_timers.now() + m_options.unreachable_time;
  FailWaiters(target, session.error());
}

void BackendPool::AddOpened(Target& target,
                            std::unique_ptr<BackendSession> session) {
  auto connection = std::make_unique<PooledConnection>();
  connection->pool = this;
  connection->server = target.server;
  connection->session = std::move(session);
  Offer(target, std::move(connection));
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
           const auto found = (*self)->m_targets.find(id);
           if (found != (*self)->m_targets.end())
             (*self)->AddOpened(found->second, std::move(session.value()));
           on_end(Success());
         });
}

void BackendPool::Offer(Target& target, ConnectionPtr connection) {
  connection->idle_since = m_timers.now();
  if (target.waiters.empty()) {
    target.idle.push_back(std::move(connection));
    return;
  }
  Waiter waiter = std::move(target.waiters.front());
  target.waiters.pop_front();
  m_timers.Cancel(waiter.timer);
  ++target.in_use;
  waiter.on_acquired(std::move(connection));
}

void BackendPool::FailWaiters(Target& target, const Error& error) {
  std::list<Waiter> waiters = std::move(target.waiters);
  target.waiters.clear();
  for (Waiter& waiter : waiters) {
    m_timers.Cancel(waiter.timer);
    waiter.on_acquired(error);
  }
}

void BackendPool::Release(ConnectionPtr connection) {
  const auto found = m_targets.find(connection->server.id);
  if (found == m_targets.end())
    return;
  Target& target = found->second;
  --target.in_use;
  if (connection->session->is_open() &&
      connection->server.incarnation == target.server.incarnation)
    return Offer(target, std::move(connection));
  OpenMore(target);
}

void BackendPool::RollBackAndRelease(ConnectionPtr connection,
                                     TransactionState state) {
  if (state == TransactionState::kNone)
    return Release(std::move(connection));
  if (!connection->session->is_open())
    return Discard(std::move(connection));
  auto kept = std::make_shared<ConnectionPtr>(std::move(connection));
  BackendSession& session = *(*kept)->session;
  const auto timer =
      m_timers.After(m_options.rollback_timeout, [self = m_self, kept] {
        if (*self && *kept)
          (*self)->Discard(std::move(*kept));
      });
  session.Send({{.kind = BackendCommand::Kind::kRollback}},
               [self = m_self, kept, timer](const auto& replies) {
                 if (!*self || !*kept)
                   return;
                 (*self)->m_timers.Cancel(timer);
                 if (replies)
                   (*self)->Release(std::move(*kept));
                 else
                   (*self)->Discard(std::move(*kept));
               });
}

void BackendPool::RollBackToPool(ConnectionPtr connection,
                                 TransactionState state) {
  BackendPool& pool = *connection->pool;
  pool.RollBackAndRelease(std::move(connection), state);
}

void BackendPool::Discard(ConnectionPtr connection) {
  const auto found = m_targets.find(connection->server.id);
  connection.reset();
  if (found == m_targets.end())
    return;
  --found->second.in_use;
  OpenMore(found->second);
}

void BackendPool::Forget(const InstanceName& id) {
  const auto found = m_targets.find(id);
  if (found == m_targets.end())
    return;
  found->second.idle.clear();
  FailWaiters(found->second, Error{ErrorCode::kUnavailable, "pool.forget",
                                   id.value(), "the instance has left"});
}

void BackendPool::CloseIdle() {
  const TimePoint now = m_timers.now();
  for (auto& [id, target] : m_targets) {
    std::erase_if(target.idle, [&](const ConnectionPtr& connection) {
      return !connection->session->is_open();
    });
    const bool keeps_one =
        !m_options.keeps_idle || m_options.keeps_idle(target.server);
    // The least recently used come first.
    while (target.idle.size() > (keeps_one ? 1 : 0) &&
           target.idle.front()->idle_since + m_options.idle_time < now)
      target.idle.erase(target.idle.begin());
  }
  std::erase_if(m_targets, [now](const auto& entry) {
    const Target& target = entry.second;
    return target.idle.empty() && target.waiters.empty() &&
           target.in_use == 0 && target.opening == 0 && !target.retry_planned &&
           (!target.unreachable_until || *target.unreachable_until <= now);
  });
}

size_t BackendPool::Outstanding(const InstanceName& id) const {
  const auto found = m_targets.find(id);
  return found == m_targets.end()
             ? 0
             : found->second.in_use + found->second.waiters.size();
}

bool BackendPool::Unreachable(const InstanceName& id) const {
  const auto found = m_targets.find(id);
  return found != m_targets.end() && found->second.unreachable_until &&
         m_timers.now() < *found->second.unreachable_until;
}

size_t BackendPool::connections() const {
  size_t count = 0;
  for (const auto& [id, target] : m_targets)
    count += target.idle.size() + target.in_use;
  return count;
}

}  // namespace jackdawturn::gateway
