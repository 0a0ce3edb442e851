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
      m_self(std::make_shared<BackendPool*>(this)),
      m_random(m_options.seed) {}

BackendPool::~BackendPool() {
  *m_self = nullptr;
}

BackendPool::InstanceConnections& BackendPool::FindOrAddInstance(
    const BackendServer& server) {
  const auto [found, added] = m_instances.try_emplace(server.id);
  InstanceConnections& instance = found->second;
  if (!added && (instance.server.incarnation != server.incarnation ||
                 instance.server.address != server.address)) {
    // The instance was restarted or has moved: its old connections are dead.
    instance.idle.clear();
    instance.unreachable_until.reset();
    BeginPace(instance, PaceReason::kStarted);
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
  AcquireOrWait(FindOrAddInstance(server),
                {.priority = priority, .on_acquired = std::move(on_acquired)},
                wait);
}

void BackendPool::AcquireFor(const StatementRequest& request,
                             const BackendServer& server,
                             OnAcquired on_acquired) {
  InstanceConnections& instance = FindOrAddInstance(server);
  if (request.as_primary && instance.as_primary == false)
    BeginPace(instance, PaceReason::kPromoted);
  instance.as_primary = request.as_primary;
  AcquireOrWait(instance,
                {.customer = request.customer,
                 .priority = request.priority,
                 .send_by = request.send_by,
                 .on_acquired = std::move(on_acquired)},
                request.wait);
}

void BackendPool::AcquireOrWait(InstanceConnections& instance,
                                Waiter waiter,
                                Duration wait) {
  // A connection is idle only while no waiter that may be served accepts it.
  if (PaceAllows(instance, waiter)) {
    if (ConnectionPtr connection = TakeIdle(instance, waiter.customer))
      return Lend(instance, std::move(connection), waiter.customer.has_value(),
                  waiter.on_acquired);
  }
  if (instance.unreachable_until &&
      m_timers.now() < *instance.unreachable_until && instance.in_use == 0)
    return waiter.on_acquired(Failure(
        instance.unreachable_code, "pool.acquire", instance.server.id.value(),
        "instance was unreachable at the last attempt; the "
        "retry delay has not elapsed"));
  if (const auto refusal = RefusalFor(instance, waiter, wait))
    return waiter.on_acquired(*refusal);
  Enqueue(instance, std::move(waiter), wait);
  OpenMore(instance);
}

void BackendPool::Enqueue(InstanceConnections& instance,
                          Waiter waiter,
                          Duration wait) {
  if (waiter.customer)
    instance.queue_rate.BecameOccupied(m_timers.now());
  ++instance.waiting_for[waiter.owner()];
  waiter.number = m_next_waiter++;
  waiter.since = m_timers.now();
  waiter.timer = m_timers.After(
      wait, [self = m_self, id = instance.server.id, number = waiter.number] {
        if (*self)
          (*self)->TimeOutWaiter(id, number);
      });
  const auto insert_at = std::find_if(
      instance.waiters.begin(), instance.waiters.end(),
      [&](const Waiter& other) { return other.priority > waiter.priority; });
  instance.waiters.insert(insert_at, std::move(waiter));
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
  Erase(found->second, waiter);
  on_acquired(Failure(ErrorCode::kExhausted, "pool.wait", id.value(),
                      "no connection to the instance became free in time"));
}

void BackendPool::Offer(InstanceConnections& instance,
                        ConnectionPtr connection) {
  const CustomerName customer = connection->server.customer;
  const auto waiter = AnyAccepts(instance, customer)
                          ? FirstOf(instance,
                                    [&](const Waiter& item) {
                                      return item.Accepts(customer) &&
                                             PaceAllows(instance, item);
                                    })
                          : instance.waiters.end();
  if (waiter != instance.waiters.end() && !MustYield(instance, customer))
    return LendTo(instance, waiter, std::move(connection));
  connection->idle_since = m_timers.now();
  if (waiter == instance.waiters.end())
    instance.idle.push_back(std::move(connection));
  else
    connection.reset();
  // Other customers may wait for room.
  Serve(instance);
}

void BackendPool::Lend(InstanceConnections& instance,
                       ConnectionPtr connection,
                       bool for_statement,
                       const OnAcquired& on_acquired) {
  ++instance.in_use;
  ++instance.in_use_for[connection->server.customer];
  // It takes its place before the statement is sent, which may take a while.
  if (for_statement)
    Sent(*connection);
  on_acquired(std::move(connection));
}

void BackendPool::LendTo(InstanceConnections& instance,
                         std::list<Waiter>::iterator waiter,
                         ConnectionPtr connection) {
  const OnAcquired on_acquired = std::move(waiter->on_acquired);
  const bool for_statement = waiter->customer.has_value();
  m_timers.Cancel(waiter->timer);
  if (for_statement)
    instance.queue_rate.Departed(m_timers.now());
  Erase(instance, waiter);
  Lend(instance, std::move(connection), for_statement, on_acquired);
}

void BackendPool::Returned(InstanceConnections& instance,
                           PooledConnection& connection) {
  EndProgress(instance, connection);
  --instance.in_use;
  const auto found = instance.in_use_for.find(connection.server.customer);
  if (found != instance.in_use_for.end() && --found->second == 0)
    instance.in_use_for.erase(found);
}

void BackendPool::FailWaiters(InstanceConnections& instance,
                              const Error& error) {
  std::list<Waiter> waiters = std::move(instance.waiters);
  instance.waiters.clear();
  instance.waiting_for.clear();
  instance.queue_rate.BecameEmpty(m_timers.now());
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
  Serve(instance);
}

void BackendPool::Discard(ConnectionPtr connection) {
  const auto found = m_instances.find(connection->server.id);
  if (found == m_instances.end())
    return;
  Returned(found->second, *connection);
  connection.reset();
  Serve(found->second);
}

}  // namespace jackdawturn::gateway
