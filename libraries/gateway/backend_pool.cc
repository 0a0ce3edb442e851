#include "gateway/backend_pool.h"

#include <algorithm>
#include <utility>

namespace jackdawturn::gateway {

namespace {

// A request may wait this long behind younger ones whose customer has a
// connection already; longer than opening a connection takes.
constexpr Duration kMaxOvertaking = std::chrono::milliseconds(40);

}  // namespace

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
    InstanceConnections& instance,
    const std::optional<CustomerName>& customer) {
  std::erase_if(instance.idle, [](const ConnectionPtr& connection) {
    return !connection->session->is_open();
  });
  auto oldest = instance.idle.end();
  for (auto idle = instance.idle.begin(); idle != instance.idle.end(); ++idle) {
    if ((!customer || (*idle)->server.customer == *customer) &&
        (oldest == instance.idle.end() ||
         (*idle)->opened_at < (*oldest)->opened_at))
      oldest = idle;
  }
  if (oldest == instance.idle.end())
    return nullptr;
  ConnectionPtr connection = std::move(*oldest);
  instance.idle.erase(oldest);
  return connection;
}

void BackendPool::Acquire(const BackendServer& server,
                          uint64_t priority,
                          Duration wait,
                          OnAcquired on_acquired) {
  AcquireOrWait(server, std::nullopt, priority, wait, std::move(on_acquired));
}

void BackendPool::AcquireFor(const CustomerName& customer,
                             const BackendServer& server,
                             uint64_t priority,
                             Duration wait,
                             OnAcquired on_acquired) {
  AcquireOrWait(server, customer, priority, wait, std::move(on_acquired));
}

void BackendPool::AcquireOrWait(const BackendServer& server,
                                std::optional<CustomerName> customer,
                                uint64_t priority,
                                Duration wait,
                                OnAcquired on_acquired) {
  InstanceConnections& instance = FindOrAddInstance(server);
  // A connection is idle only while no waiter accepts it.
  if (ConnectionPtr connection = TakeIdle(instance, customer))
    return Lend(instance, std::move(connection), on_acquired);
  if (instance.unreachable_until &&
      m_timers.now() < *instance.unreachable_until && instance.in_use == 0)
    return on_acquired(
        Failure(instance.unreachable_code, "pool.acquire", server.id.value(),
                "instance was unreachable at the last attempt; the "
                "retry delay has not elapsed"));
  Enqueue(instance, std::move(customer), priority, wait,
          std::move(on_acquired));
  OpenMore(instance);
}

void BackendPool::Enqueue(InstanceConnections& instance,
                          std::optional<CustomerName> customer,
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
  instance.waiters.insert(
      insert_at, {number, std::move(customer), priority, m_timers.now(),
                  std::move(on_acquired), timer});
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
  while (const Waiter* waiter = NextWithoutConnection(instance)) {
    if (instance.opening >= m_options.concurrent_opens || !MakeRoom(instance))
      return;
    Open(instance, waiter->customer.value_or(CustomerName()));
  }
}

void BackendPool::Open(InstanceConnections& instance,
                       const CustomerName& customer) {
  ++instance.opening;
  ++instance.opening_for[customer];
  BackendServer server = instance.server;
  server.customer = customer;
  m_open(server, m_options.open_timeout,
         [self = m_self, id = server.id,
          customer](Result<std::unique_ptr<BackendSession>> session) {
           if (*self)
             (*self)->OnOpened(id, customer, std::move(session));
         });
}

const BackendPool::Waiter* BackendPool::NextWithoutConnection(
    const InstanceConnections& instance) const {
  if (instance.opening >= instance.waiters.size())
    return nullptr;
  const auto in_use_for = [&instance](const Waiter& waiter) -> size_t {
    const auto found =
        instance.in_use_for.find(waiter.customer.value_or(CustomerName()));
    return found == instance.in_use_for.end() ? 0 : found->second;
  };
  auto opening_for = instance.opening_for;
  const Waiter* next = nullptr;
  for (const Waiter& waiter : instance.waiters) {
    size_t& opening = opening_for[waiter.customer.value_or(CustomerName())];
    if (opening > 0) {
      --opening;
      continue;
    }
    if (next && waiter.priority > next->priority)
      break;
    if (!next || in_use_for(waiter) < in_use_for(*next))
      next = &waiter;
  }
  return next;
}

bool BackendPool::HasRoom(const InstanceConnections& instance) const {
  const size_t limit = m_options.max_connections
                           ? m_options.max_connections(instance.server)
                           : 0;
  return limit == 0 || instance.total() < limit;
}

bool BackendPool::MakeRoom(InstanceConnections& instance) const {
  if (!HasRoom(instance) && !instance.idle.empty())
    instance.idle.erase(instance.idle.begin());
  return HasRoom(instance);
}

bool BackendPool::MustYield(const InstanceConnections& instance,
                            const CustomerName& customer) const {
  const Waiter* other = NextWithoutConnection(instance);
  if (instance.opening >= m_options.concurrent_opens || !other ||
      other->Accepts(customer) ||
      other->since + kMaxOvertaking > m_timers.now())
    return false;
  const auto own = std::find_if(
      instance.waiters.begin(), instance.waiters.end(),
      [&](const Waiter& waiter) { return waiter.Accepts(customer); });
  return own == instance.waiters.end() || other->priority <= own->priority;
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
                           const CustomerName& customer,
                           Result<std::unique_ptr<BackendSession>> session) {
  const auto found = m_instances.find(id);
  if (found == m_instances.end())
    return;
  InstanceConnections& instance = found->second;
  --instance.opening;
  if (--instance.opening_for[customer] == 0)
    instance.opening_for.erase(customer);
  if (session) {
    instance.unreachable_until.reset();
    instance.full_until.reset();
    return AddOpened(instance, customer, std::move(session.value()));
  }
  if (m_options.on_open_failed)
    m_options.on_open_failed(instance.server, session.error());
  if (session.error().code == ErrorCode::kExhausted) {
    // The connections of other proxies fill the instance, so an own one that is
    // idle makes room for the waiter.
    if (!instance.idle.empty() && !instance.waiters.empty())
      instance.idle.erase(instance.idle.begin());
    instance.full_until = m_timers.now() + m_options.full_retry_delay;
    return RetryWhenNotFull(instance);
  }
  instance.unreachable_until =
      m_timers.now() + m_options.unreachable_retry_delay;
  instance.unreachable_code = session.error().code;
  FailWaiters(instance, session.error());
}

void BackendPool::AddOpened(InstanceConnections& instance,
                            const CustomerName& customer,
                            std::unique_ptr<BackendSession> session) {
  auto connection = std::make_unique<PooledConnection>();
  connection->pool = this;
  connection->server = instance.server;
  connection->server.customer = customer;
  connection->session = std::move(session);
  connection->opened_at = m_timers.now();
  Offer(instance, std::move(connection));
}

void BackendPool::Probe(const BackendServer& server,
                        Duration timeout,
                        std::function<void(Result<void>)> on_end) {
  m_open(server, timeout,
         [self = m_self, id = server.id, customer = server.customer,
          on_end = std::move(on_end)](
             Result<std::unique_ptr<BackendSession>> session) {
           if (!*self)
             return;
           if (!session)
             return on_end(session.error());
           const auto found = (*self)->m_instances.find(id);
           if (found != (*self)->m_instances.end())
             (*self)->AddOpened(found->second, customer,
                                std::move(session.value()));
           on_end(Success());
         });
}

void BackendPool::Offer(InstanceConnections& instance,
                        ConnectionPtr connection) {
  const CustomerName customer = connection->server.customer;
  const auto waiter =
      std::find_if(instance.waiters.begin(), instance.waiters.end(),
                   [&](const Waiter& item) { return item.Accepts(customer); });
  if (waiter != instance.waiters.end() && !MustYield(instance, customer)) {
    const OnAcquired on_acquired = std::move(waiter->on_acquired);
    m_timers.Cancel(waiter->timer);
    instance.waiters.erase(waiter);
    return Lend(instance, std::move(connection), on_acquired);
  }
  connection->idle_since = m_timers.now();
  if (waiter == instance.waiters.end())
    instance.idle.push_back(std::move(connection));
  else
    connection.reset();
  // Other customers may wait for room.
  OpenMore(instance);
}

void BackendPool::Lend(InstanceConnections& instance,
                       ConnectionPtr connection,
                       const OnAcquired& on_acquired) {
  ++instance.in_use;
  ++instance.in_use_for[connection->server.customer];
  on_acquired(std::move(connection));
}

void BackendPool::Returned(InstanceConnections& instance,
                           const PooledConnection& connection) {
  --instance.in_use;
  const auto found = instance.in_use_for.find(connection.server.customer);
  if (found != instance.in_use_for.end() && --found->second == 0)
    instance.in_use_for.erase(found);
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
  Returned(instance, *connection);
  if (connection->session->is_open() &&
      connection->server.incarnation == instance.server.incarnation)
    return Offer(instance, std::move(connection));
  connection.reset();
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
  if (found == m_instances.end())
    return;
  Returned(found->second, *connection);
  connection.reset();
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
           !instance.retry_scheduled &&
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
