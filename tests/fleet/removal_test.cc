#include <chrono>
#include <cstdint>

#include "fleet/fleet_simulation.h"

// Criterion must be included after the Boost headers.
#include "support/table_test.h"

namespace jackdawturn::fleet {

struct RemovalCase {
  size_t zones;
  size_t nodes_in_zone;
  uint64_t seed;
};

static constexpr RemovalCase kRemovalCases[] = {{3, 4, 1},
                                                {26, 8, 1},
                                                {26, 8, 2},
                                                {26, 8, 3}};

// Guards against a removal of which some zones are not notified: their proxies
// would continue to relay to the dead proxy until their own probes fail.
TABLE_TEST(removal, every_zone_is_notified, kRemovalCases) {
  constexpr std::chrono::seconds kWarmUp(15);
  constexpr std::chrono::seconds kBound(10);
  const RemovalCase& row = kRemovalCases[*row_index];
  SimulationOptions options;
  options.zones = row.zones;
  options.nodes = row.zones * row.nodes_in_zone;
  options.groups = 1;
  FleetSimulation fleet(options, row.seed);
  fleet.StartAll();
  fleet.RunFor(kWarmUp);
  const size_t dead = options.nodes / 2;
  fleet.Kill(dead);
  fleet.RunFor(kBound);
  for (size_t index = 0; index < fleet.size(); ++index) {
    if (!fleet.IsUp(index))
      continue;
    const auto member = fleet.node(index).membership().Find(VmOf(dead));
    cr_expect(!member || !IsPresent(*member), "node %zu", index);
  }
}

}  // namespace jackdawturn::fleet
