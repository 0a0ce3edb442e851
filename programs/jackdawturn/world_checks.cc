#include "world_checks.h"

namespace jackdawturn {

void CauseFault(DemoWorld& world, const std::string& fault) {
  const GroupName& group = world.groups().front();
  if (fault == "primary")
    world.CrashPrimary(group);
  else if (fault == "silent")
    world.SilencePrimary(group);
  else if (fault == "platform")
    world.SetPlatformAvailable(false);
  else if (fault == "proxy")
    world.KillProxy(0);
  else if (fault == "drain")
    world.DrainProxy(0);
}

std::vector<CountDifference> CountDifferences(DemoWorld& world,
                                              const CountedWrites& writes) {
  std::vector<CountDifference> differences;
  for (const GroupName& group : world.groups()) {
    std::map<std::string, CountDifference> counts;
    const auto count_of = [&](const std::string& key) -> CountDifference& {
      return counts.try_emplace(key, CountDifference{group, key}).first->second;
    };
    for (const auto& [key, value] : world.DataOf(group))
      count_of(key).stored = std::stoull(value);
    const auto counted = writes.find(group);
    if (counted != writes.end()) {
      for (const auto& [key, value] : counted->second)
        count_of(key).counted = value;
    }
    for (const auto& [key, count] : counts) {
      if (count.counted != count.stored)
        differences.push_back(count);
    }
  }
  return differences;
}

}  // namespace jackdawturn
