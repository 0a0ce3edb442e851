#pragma once

#include <optional>
#include <set>
#include <vector>

#include "gateway/gateway_types.h"

namespace jackdawturn::gateway {

// What a proxy knows of an instance when it places a read.
struct ReadCandidate {
  InstanceName id;
  bool primary = false;
  bool same_zone = false;
  // Connections in use and requests that wait for one.
  size_t outstanding = 0;
  // No connection could be opened or the last ones fell silent.
  bool unreachable = false;
  // The newest position that the instance showed.
  std::optional<CommitPosition> applied;
  // The instance refused a read as lagging and has not shown progress since.
  bool lagging = false;
};

// Chooses where a read runs: the least loaded instance that probably has
// `required`, an instance of the same zone among equals. Load pattern: reads at
// several times the primary's capacity, with one replica slow, silent or far
// behind. Without `required` only the primary will do. Returns nothing when no
// candidate is left. Thread-safe.
std::optional<InstanceName> ChooseReadInstance(
    const std::vector<ReadCandidate>& candidates,
    const std::optional<CommitPosition>& required,
    bool recently_written,
    const std::set<InstanceName>& avoided);

}  // namespace jackdawturn::gateway
