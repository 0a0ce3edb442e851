#pragma once

#include <map>
#include <optional>

#include "gateway/gateway_types.h"

namespace jackdawturn::gateway {

// The time until which each group's primary is known not to have been replaced.
//
// A primary change pauses all replicas of the group, and then promotes one only
// if it has deposed the old primary or has waited for kPromotionDelay. So if a
// replica was receiving at some time, no commit of a later primary can be
// acknowledged within kTime after that, and reads of the primary that start
// before then see every acknowledged commit.
//
// Load pattern: a primary that is partitioned from its replicas or from the
// store continues to lead, and proxies that still reach it do not learn of its
// successor. Thread safety: not thread-safe.
class PrimaryLease {
 public:
  static constexpr Duration kTime = std::chrono::milliseconds(500);
  // Longer than kTime, because the clocks of two VMs may differ in speed.
  static constexpr Duration kPromotionDelay = std::chrono::milliseconds(550);

  // Records that `primary` leads `term`, and that a replica which it leads was
  // receiving after `time`. Ignored if a later term is known.
  void Confirm(const GroupName& group,
               const InstanceName& primary,
               uint64_t term,
               TimePoint time);

  // Returns the end of the lease of `primary`, or nullopt if it has none.
  std::optional<TimePoint> End(const GroupName& group,
                               const InstanceName& primary) const;

  // Returns the newest term that `primary` is known to lead, or 0.
  uint64_t Term(const GroupName& group, const InstanceName& primary) const;

 private:
  struct Lease {
    InstanceName primary;
    uint64_t term = 0;
    TimePoint confirmed_at;
  };

  // Returns the group's lease if it is that of `primary`, or null.
  const Lease* Find(const GroupName& group, const InstanceName& primary) const;

  std::map<GroupName, Lease> m_leases;
};

}  // namespace jackdawturn::gateway
