#include "gateway/replica_lag_monitor.h"

#include <algorithm>

namespace jackdawturn::gateway {

void ReplicaLagMonitor::Lagging(const InstanceName& replica, TimePoint now) {
  const auto [found, added] = m_lagging.try_emplace(replica, Lag{now, now});
  // Without a refused read in the meantime, there is no evidence that the
  // replica has lagged continuously.
  if (!added && found->second.last + kEvidenceTime < now)
    found->second.since = now;
  found->second.last = now;
}

void ReplicaLagMonitor::Served(const InstanceName& replica) {
  m_lagging.erase(replica);
}

void ReplicaLagMonitor::PrimaryFull(const GroupName& group, TimePoint now) {
  m_primary_full[group] = now;
}

void ReplicaLagMonitor::Forget(const InstanceName& id) {
  m_lagging.erase(id);
}

bool ReplicaLagMonitor::LagSwitchoverNeeded(
    const GroupName& group,
    const std::vector<InstanceName>& replicas,
    TimePoint now) const {
  const auto full_at = m_primary_full.find(group);
  if (full_at == m_primary_full.end() || full_at->second + kEvidenceTime < now)
    return false;
  return !replicas.empty() &&
         std::all_of(replicas.begin(), replicas.end(),
                     [&](const InstanceName& id) {
                       const auto lag = m_lagging.find(id);
                       return lag != m_lagging.end() &&
                              lag->second.since + kLagTime <= now &&
                              lag->second.last + kEvidenceTime >= now;
                     });
}

}  // namespace jackdawturn::gateway
