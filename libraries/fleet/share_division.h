#pragma once

#include <map>
#include <string>
#include <vector>

#include "core/core.h"

namespace jackdawturn::fleet {

// Returns the part of `total` for position `rank` (from 0) of `count`
// positions. The parts differ by at most one, sum to `total`, and a part never
// shrinks when another position is removed.
// Preconditions: rank < count.
size_t PartOfRank(size_t total, size_t rank, size_t count);

// Returns the total number of connections of an instance that the proxies of
// `zone` may open. It depends only on the zones that hold the group, so
// partitioned zones still agree. Returns 0 for a zone that is not among
// `zones`.
size_t ZonePart(const InstanceName& instance,
                size_t connection_limit,
                const std::vector<ZoneName>& zones,
                const ZoneName& zone);

// Returns the first `count` of `candidates` in rendezvous order for the group.
std::vector<VmName> HoldersOf(const GroupName& group,
                              const std::vector<VmName>& candidates,
                              size_t count);

// Returns the connections of an instance for each holder; they sum to
// `zone_part`.
std::map<VmName, size_t> DivideShares(const InstanceName& instance,
                                      size_t zone_part,
                                      const std::vector<VmName>& holders);

}  // namespace jackdawturn::fleet
