#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "core/core.h"
#include "demo_world.h"

namespace jackdawturn {

// Names of the faults that CauseFault knows.
inline const std::vector<std::string> kWorldFaults = {
    "none", "primary", "silent", "platform", "proxy", "drain"};

// Causes the fault in the first group or the first proxy. "none" does nothing.
void CauseFault(DemoWorld& world, const std::string& fault);

// Writes that ran according to their answers, by group and caller's key.
using CountedWrites = std::map<GroupName, std::map<std::string, uint64_t>>;

// A key whose value in the database differs from its caller's count.
struct CountDifference {
  GroupName group;
  std::string key;
  uint64_t counted = 0;
  uint64_t stored = 0;
};

// Compares the callers' counts with the databases, in both directions.
std::vector<CountDifference> CountDifferences(DemoWorld& world,
                                              const CountedWrites& writes);

}  // namespace jackdawturn
