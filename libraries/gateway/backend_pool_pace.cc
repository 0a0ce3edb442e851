#include "gateway/backend_pool.h"

#include <algorithm>
#include <utility>

// How requests wait until the pace of an instance allows them.

namespace jackdawturn::gateway {

std::string_view ToString(PaceReason reason) {
  switch (reason) {
    case PaceReason::kStarted:
      return "started";
    case PaceReason::kRecovered:
      return "recovered";
    case PaceReason::kPromoted:
      return "promoted";
    case PaceReason::kSilent:
      return "silent";
  }
  return "silent";
}

bool BackendPool::PaceAllows(const InstanceConnections& instance,
                             const Waiter& waiter) {
  // Opening a connection occupies a slot of the instance as well.
  return !waiter.customer ||
         instance.pace.Allows(instance.in_progress + instance.opening);
}

void BackendPool::BeginPace(InstanceConnections& instance, PaceReason reason) {
  if (!m_options.limits_load)
    return;
  const bool began = !instance.pace.binds();
  instance.pace.Begin(m_timers.now());
  instance.may_hold_back = true;
  if (began && m_options.on_pace_change)
    m_options.on_pace_change(instance.server, reason);
}

void BackendPool::EndPace(InstanceConnections& instance) {
  if (!instance.pace.binds())
    return;
  instance.pace = ServerPace();
  if (m_options.on_pace_change)
    m_options.on_pace_change(instance.server, std::nullopt);
}

void BackendPool::Started(const BackendServer& server) {
  BeginPace(FindOrAddInstance(server), PaceReason::kStarted);
}

void BackendPool::Sent(PooledConnection& connection) {
  const auto found = m_instances.find(connection.server.id);
  if (found == m_instances.end() || std::exchange(connection.in_progress, true))
    return;
  ++found->second.in_progress;
}

void BackendPool::EndProgress(InstanceConnections& instance,
                              PooledConnection& connection) {
  if (std::exchange(connection.in_progress, false))
    --instance.in_progress;
}

void BackendPool::Answered(PooledConnection& connection,
                           const AnsweredBatch& batch) {
  const auto found = m_instances.find(connection.server.id);
  if (found == m_instances.end())
    return;
  InstanceConnections& instance = found->second;
  const bool bound = instance.pace.binds();
  instance.pace.Answered(batch, instance.in_progress, m_timers.now());
  EndProgress(instance, connection);
  if (bound && !instance.pace.binds() && m_options.on_pace_change)
    m_options.on_pace_change(instance.server, std::nullopt);
}

void BackendPool::Unanswered(PooledConnection& connection, TimePoint sent_at) {
  const auto found = m_instances.find(connection.server.id);
  if (found == m_instances.end())
    return;
  InstanceConnections& instance = found->second;
  EndProgress(instance, connection);
  if (instance.pace.SilentSince(sent_at))
    BeginPace(instance, PaceReason::kSilent);
  Serve(instance);
}

void BackendPool::ServeWaiting(const InstanceName& id) {
  const auto found = m_instances.find(id);
  if (found != m_instances.end() && found->second.may_hold_back)
    Serve(found->second);
}

void BackendPool::Serve(InstanceConnections& instance) {
  // Once more after the pace has ended.
  if (std::exchange(instance.may_hold_back, instance.pace.binds())) {
    while (LendIdle(instance)) {
    }
  }
  OpenMore(instance);
}

bool BackendPool::LendIdle(InstanceConnections& instance) {
  const auto waiter = FirstOf(instance, [&](const Waiter& item) {
    return PaceAllows(instance, item) && AcceptsIdle(instance, item);
  });
  if (waiter == instance.waiters.end())
    return false;
  LendTo(instance, waiter, TakeIdle(instance, waiter->customer));
  return true;
}

bool BackendPool::AcceptsIdle(const InstanceConnections& instance,
                              const Waiter& waiter) {
  return std::any_of(instance.idle.begin(), instance.idle.end(),
                     [&](const ConnectionPtr& connection) {
                       return connection->session->is_open() &&
                              waiter.Accepts(connection->server.customer);
                     });
}

bool BackendPool::HeldBack(const InstanceName& id) const {
  const auto found = m_instances.find(id);
  return found != m_instances.end() &&
         !found->second.pace.Allows(found->second.in_progress +
                                    found->second.opening);
}

}  // namespace jackdawturn::gateway
