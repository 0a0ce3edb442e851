#pragma once

#include <optional>
#include <set>
#include <vector>

#include "gateway/gateway_types.h"

namespace jackdawturn::gateway {

// The state of an instance as observed by a proxy that selects one for a read.
struct ReadCandidate {
  InstanceName id;
  bool primary = false;
  bool same_zone = false;
  // Connections in use plus requests waiting for one.
  size_t outstanding = 0;
  // Its pace allows no further statement now.
  bool held_back = false;
  // A connection of the read's customer is idle; otherwise one must be opened,
  // which takes one of the instance's slots.
  bool connected = true;
  // Opening a connection failed recently, or this proxy's zone is partitioned
  // and the instance is in another zone.
  bool unreachable = false;
  // The newest position that the instance is known to have applied.
  std::optional<CommitPosition> applied;
  // The instance recently refused a read as lagging.
  bool lagging = false;
};

// Selects the instance for a read: the least loaded one that probably has
// applied `required`, preferring the same zone on equal load. Without
// `required`, only the primary is eligible. `recently_written`: replicas are
// assumed to lag unless they are known to have `required`. Returns nullopt if
// no candidate is eligible. Load pattern: reads at several times the primary's
// capacity, with one replica slow, unresponsive or lagging far. Thread-safe.
std::optional<InstanceName> ChooseReadInstance(
    const std::vector<ReadCandidate>& candidates,
    const std::optional<CommitPosition>& required,
    bool recently_written,
    const std::set<InstanceName>& avoided);

}  // namespace jackdawturn::gateway
