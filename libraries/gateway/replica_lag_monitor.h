#pragma once

#include <map>
#include <optional>
#include <vector>

#include "gateway/gateway_types.h"

namespace jackdawturn::gateway {

// Tells when a group is better served by another primary although the present
// one is well: every replica has been too far behind for reads for a while, and
// the primary alone has no room for all of them. A replica that is promoted
// leads with all that it has received, and the old primary, which has applied
// everything, becomes a replica that can serve reads. Load pattern: reads at
// more than a primary's capacity while all replicas are behind. Thread safety:
// not thread-safe.
class ReplicaLagMonitor {
 public:
  // Replicas that are behind for a shorter time probably catch up.
  static constexpr Duration kLagTime = std::chrono::milliseconds(1'000);
  // A replica that is behind refuses a read of this proxy at least this often.
  static constexpr Duration kEvidenceTime = std::chrono::milliseconds(600);

  // The replica refused a read because it is behind.
  void Lagging(const InstanceName& replica, TimePoint now);
  // The replica served a read.
  void Served(const InstanceName& replica);
  // The primary had no room for a statement.
  void PrimaryFull(const GroupName& group, TimePoint now);
  // What is known of the instance no longer holds.
  void Forget(const InstanceName& id);

  // Returns whether the group needs another primary. `replicas` are those of
  // the group that are not leaving.
  bool LagSwitchoverNeeded(const GroupName& group,
                           const std::vector<InstanceName>& replicas,
                           TimePoint now) const;

 private:
  struct Lag {
    TimePoint since;
    TimePoint last;
  };

  // Replicas that refused a read and have served none since.
  std::map<InstanceName, Lag> m_lagging;
  std::map<GroupName, TimePoint> m_full;
};

}  // namespace jackdawturn::gateway
