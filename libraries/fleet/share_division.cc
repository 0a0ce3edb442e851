#include "fleet/share_division.h"

#include <algorithm>
#include <utility>

namespace jackdawturn::fleet {

size_t PartOfRank(size_t total, size_t rank, size_t count) {
  VERIFY(rank < count);
  return total > rank ? (total - rank + count - 1) / count : 0;
}

size_t ZonePart(const InstanceName& instance,
                size_t connection_limit,
                const std::vector<ZoneName>& zones,
                const ZoneName& zone) {
  std::vector<std::string> names;
  names.reserve(zones.size());
  for (const ZoneName& name : zones)
    names.push_back(name.value());
  names = RendezvousOrder(instance.value(), std::move(names));
  const auto found = std::find(names.begin(), names.end(), zone.value());
  if (found == names.end())
    return 0;
  return PartOfRank(connection_limit,
                    static_cast<size_t>(found - names.begin()), names.size());
}

std::vector<VmName> HoldersOf(const GroupName& group,
                              const std::vector<VmName>& candidates,
                              size_t count) {
  using Weighted = std::pair<uint64_t, const VmName*>;
  std::vector<Weighted> weighted;
  weighted.reserve(candidates.size());
  for (const VmName& vm : candidates)
    weighted.emplace_back(RendezvousWeight(group.value(), vm.value()), &vm);
  const size_t kept = std::min(count, weighted.size());
  std::partial_sort(
      weighted.begin(), weighted.begin() + static_cast<std::ptrdiff_t>(kept),
      weighted.end(), [](const Weighted& a, const Weighted& b) {
        return a.first != b.first ? a.first > b.first : *a.second < *b.second;
      });
  std::vector<VmName> holders;
  holders.reserve(kept);
  for (size_t index = 0; index < kept; ++index)
    holders.push_back(*weighted[index].second);
  return holders;
}

std::map<VmName, size_t> DivideShares(const InstanceName& instance,
                                      size_t zone_part,
                                      const std::vector<VmName>& holders) {
  std::vector<std::string> names;
  names.reserve(holders.size());
  for (const VmName& vm : holders)
    names.push_back(vm.value());
  names = RendezvousOrder(instance.value(), std::move(names));
  std::map<VmName, size_t> shares;
  for (size_t rank = 0; rank < names.size(); ++rank)
    shares[VmName(names[rank])] = PartOfRank(zone_part, rank, names.size());
  return shares;
}

}  // namespace jackdawturn::fleet
