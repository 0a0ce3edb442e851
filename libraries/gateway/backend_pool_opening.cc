#include "gateway/backend_pool.h"

#include <utility>

// How connections to instances are opened.

namespace jackdawturn::gateway {

void BackendPool::OpenMore(InstanceConnections& instance) {
  const TimePoint now = m_timers.now();
  if (instance.full_until && now < *instance.full_until)
    return RetryWhenNotFull(instance);
  while (const Waiter* waiter = NextWithoutConnection(instance)) {
    if (instance.opening >= m_options.concurrent_opens || !MakeRoom(instance))
      return;
    Open(instance, waiter->owner());
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
                   (*self)->Serve(found->second);
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
    if (instance.unreachable_until)
      BeginPace(instance, PaceReason::kRecovered);
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

}  // namespace jackdawturn::gateway
