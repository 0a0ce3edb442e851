#include <algorithm>
#include <chrono>
#include <string>

#include "support/failover_world.h"

#include "support/table_test.h"

namespace jackdawturn::failover {

namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;

constexpr uint64_t kSeeds = 20;

struct SlowCase {
  milliseconds one_way;
  // A proxy usually handles an event in 50 to 100 us.
  microseconds processing;
  bool host_ends;  // Else only the process, so that its host refuses
                   // connections.
};

// Returns whether the group has another primary within kLongestChange.
bool ChangeCompletes(const SlowCase& row, uint64_t seed) {
  constexpr std::chrono::seconds kWarmUp(5);
  constexpr std::chrono::seconds kLongestChange(10);
  constexpr milliseconds kPoll(10);
  // Callers wait for answers, so a slow machine receives fewer writes.
  constexpr int kWritePause = 200;
  WorldOptions options;
  options.seed = seed;
  options.zone_latency = row.one_way;
  options.processing_time = row.processing;
  options.proxies = 8;
  options.write_interval =
      std::max(options.write_interval, Duration(kWritePause * row.processing));
  FailoverWorld world(options);
  world.Run(kWarmUp);
  const std::string lost = world.Primary(0);
  if (row.host_ends)
    world.EndHost(lost);
  else
    world.EndProcess(lost);
  const TimePoint end = world.now() + kLongestChange;
  std::string primary;
  while (world.now() < end && (primary.empty() || primary == lost)) {
    world.Run(kPoll);
    primary = world.Primary(0);
  }
  return !primary.empty() && primary != lost;
}

}  // namespace

static constexpr SlowCase kSlowCases[] = {
    {milliseconds(20), microseconds(0), true},
    {milliseconds(45), microseconds(0), true},
    {milliseconds(90), microseconds(0), true},
    {milliseconds(150), microseconds(0), true},
    {milliseconds(150), microseconds(0), false},
    {milliseconds(1), microseconds(1'000), true},
    {milliseconds(1), microseconds(1'000), false},
    {milliseconds(1), microseconds(5'000), true},
    {milliseconds(1), microseconds(5'000), false},
};

// Guards against proxies that take over each other's changes forever when calls
// are slower than fixed timeouts, and against probes and witness requests that
// fill the queues of slow processes. In both cases no change ever completed.
TABLE_TEST(slow_network, change_is_completed, kSlowCases) {
  for (uint64_t seed = 1; seed <= kSeeds; ++seed)
    cr_expect(ChangeCompletes(kSlowCases[*row_index], seed),
              "row %zu, seed %zu", *row_index, static_cast<size_t>(seed));
}

}  // namespace jackdawturn::failover
