#include "gateway/primary_lease.h"

#include <algorithm>

namespace jackdawturn::gateway {

void PrimaryLease::Confirm(const GroupName& group,
                           const InstanceName& primary,
                           uint64_t term,
                           TimePoint time) {
  Lease& lease = m_leases[group];
  if (term < lease.term)
    return;
  if (lease.primary != primary || lease.term != term)
    lease = {primary, term, time};
  lease.confirmed_at = std::max(lease.confirmed_at, time);
}

const PrimaryLease::Lease* PrimaryLease::Find(
    const GroupName& group,
    const InstanceName& primary) const {
  const auto found = m_leases.find(group);
  if (found == m_leases.end() || found->second.primary != primary)
    return nullptr;
  return &found->second;
}

std::optional<TimePoint> PrimaryLease::End(const GroupName& group,
                                           const InstanceName& primary) const {
  const Lease* lease = Find(group, primary);
  if (!lease)
    return std::nullopt;
  return lease->confirmed_at + kTime;
}

uint64_t PrimaryLease::Term(const GroupName& group,
                            const InstanceName& primary) const {
  const Lease* lease = Find(group, primary);
  return lease ? lease->term : 0;
}

}  // namespace jackdawturn::gateway
