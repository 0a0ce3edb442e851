#pragma once

#include <map>
#include <optional>
#include <vector>

#include "gateway/gateway_types.h"

namespace jackdawturn::gateway {

// Decides when a group needs a switchover although its primary is healthy:
// for kLagTime, every replica has lagged too far to serve reads, and the
// primary alone lacks the capacity for all reads. A promoted replica is primary
// with everything that it has received, and the old primary, which has applied
// everything, becomes a replica that can serve reads. Load pattern: reads
// beyond the primary's capacity while all replicas lag. Thread safety: not
// thread-safe.
class ReplicaLagMonitor {
 public:
  // Replicas that have lagged for a shorter time will probably catch up.
  static constexpr Duration kLagTime = std::chrono::milliseconds(1'000);
  // A lagging replica refuses a read of this proxy at least once in this time.
  static constexpr Duration kEvidenceTime = std::chrono::milliseconds(600);

  // Called when the replica refused a read because it lags.
  void Lagging(const InstanceName& replica, TimePoint now);
  // Called when the replica served a read.
  void Served(const InstanceName& replica);
  // Called when the primary refused a statement for lack of capacity.
  void PrimaryFull(const GroupName& group, TimePoint now);
  // Drops the lag recorded for the instance, which no longer applies.
  void Forget(const InstanceName& id);

  // Returns whether the group needs a switchover. `replicas` are those of the
  // group that are not leaving.
  bool LagSwitchoverNeeded(const GroupName& group,
                           const std::vector<InstanceName>& replicas,
                           TimePoint now) const;

 private:
  struct Lag {
    TimePoint since;
    TimePoint last;
  };

  // Replicas that refused a read and have not served one since.
  std::map<InstanceName, Lag> m_lagging;
  std::map<GroupName, TimePoint> m_primary_full;
};

}  // namespace jackdawturn::gateway
