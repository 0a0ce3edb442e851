#pragma once

#include <map>
#include <string>
#include <vector>

#include "core/core.h"

namespace jackdawturn::fleet {

// Returns the part of `total` for the place `rank` (from 0) of `count` places.
// The parts differ by at most one, sum to `total`, and a part never shrinks
// when another place is removed. Preconditions: rank < count.
size_t PartOfRank(size_t total, size_t rank, size_t count);

// The connections of an instance that the proxies of `zone` may open together.
// Depends on the zones that hold the group only, so zones that cannot reach
// each other still agree. Returns 0 for a zone that is not among `zones`.
size_t ZonePart(const InstanceName& instance,
                size_t connection_limit,
                const std::vector<ZoneName>& zones,
                const ZoneName& zone);

// The first `count` of `candidates` in rendezvous order for the group.
std::vector<VmName> HoldersOf(const GroupName& group,
                              const std::vector<VmName>& candidates,
                              size_t count);

// The connections of an instance for each holder; they sum to `zone_part`.
std::map<VmName, size_t> DivideShares(const InstanceName& instance,
                                      size_t zone_part,
                                      const std::vector<VmName>& holders);

}  // namespace jackdawturn::fleet
