#include <algorithm>
#include <utility>

#include "proxy/fleet_host.h"

namespace jackdawturn::proxy {

namespace {

// Time for the pool to complete an open that the ownership requested.
constexpr Duration kPoolOpenTimeout = std::chrono::milliseconds(1'000);

}  // namespace

void FleetHost::AddPendingOpens(const fleet::OpenConnections& open) {
  Pool& pool = m_pools[open.instance];
  pool.opening += open.count;
  pool.opening_since = m_context.now();
}

void FleetHost::ConnectionChanged(fleet::OwnershipEvent event) {
  if (std::holds_alternative<fleet::ConnectionOpened>(event))
    ++m_open;
  else if (std::holds_alternative<fleet::ConnectionClosed>(event))
    --m_open;
  m_connection_events.push_back(std::move(event));
}

void FleetHost::HandleConnections() {
  while (!m_connection_events.empty()) {
    for (const fleet::OwnershipEvent& event :
         std::exchange(m_connection_events, {}))
      HandleConnection(event);
  }
}

// The pool replaces an unresponsive connection on its own, and the ownership
// can withdraw a grant before the pool has used it. Results that the ownership
// did not request are not passed to it; its connection allowance makes the pool
// close these connections.
void FleetHost::HandleConnection(const fleet::OwnershipEvent& event) {
  const TimePoint now = m_context.now();
  if (const auto* closed = std::get_if<fleet::ConnectionClosed>(&event)) {
    Pool& pool = m_pools[closed->instance];
    if (pool.ungranted > 0) {
      --pool.ungranted;
      return;
    }
    pool.closing -= std::min<size_t>(pool.closing, 1);
    ApplyOwnershipEffects(m_ownership.Handle(event, now));
    return m_hooks.on_connection_allowance(closed->instance);
  }
  const auto* opened = std::get_if<fleet::ConnectionOpened>(&event);
  const auto* refused = std::get_if<fleet::OpenRefused>(&event);
  const InstanceName& instance =
      opened != nullptr    ? opened->instance
      : refused != nullptr ? refused->instance
                           : std::get<fleet::OpenFailed>(event).instance;
  if (refused != nullptr)
    m_context.RecordTimelineEvent(EventKind::kShare, GroupName(), RequestId(),
                                  "open_refused", instance.value());
  Pool& pool = m_pools[instance];
  if (pool.opening == 0) {
    pool.ungranted += opened != nullptr ? 1 : 0;
  } else {
    --pool.opening;
    pool.opening_since = now;
    ApplyOwnershipEffects(m_ownership.Handle(event, now));
    if (opened != nullptr)
      return;
  }
  m_hooks.on_connection_allowance(instance);
}

// The pool opens no connection to an instance that is down or stalled, and the
// unused grants of that instance must not delay trial opens to other instances.
void FleetHost::FailOverdueOpens() {
  std::vector<InstanceName> overdue;
  for (const auto& [instance, pool] : m_pools) {
    if (pool.opening > 0 &&
        pool.opening_since + kPoolOpenTimeout <= m_context.now())
      overdue.insert(overdue.end(), pool.opening, instance);
  }
  for (const InstanceName& instance : overdue)
    ConnectionChanged(fleet::OpenFailed{instance});
  HandleConnections();
}

}  // namespace jackdawturn::proxy
