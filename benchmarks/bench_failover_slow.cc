// Time of a change of primary where calls or processes are slow, on the virtual
// clock: from the failure to the published record.

#include <algorithm>
#include <chrono>
#include <string>
#include <vector>

#include "support/failover_world.h"
#include "support/reports.h"

namespace jackdawturn::failover {

namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;

constexpr uint64_t kRuns = 50;
constexpr std::chrono::seconds kWarmUp{5};
constexpr milliseconds kLongestChange{10'000};
constexpr milliseconds kPoll{5};
// Between writes of a caller, in times to process an event: callers wait for
// answers, so a slow machine gets fewer writes.
constexpr int kWritePause = 200;

struct SlowPlace {
  const char* name;
  milliseconds one_way;
  microseconds processing;
};

constexpr SlowPlace kPlaces[] = {
    {"latency_20_ms", milliseconds(20), microseconds(0)},
    {"latency_90_ms", milliseconds(90), microseconds(0)},
    {"latency_150_ms", milliseconds(150), microseconds(0)},
    {"event_1_ms", milliseconds(1), microseconds(1'000)},
    {"event_5_ms", milliseconds(1), microseconds(5'000)},
};

double ChangeTime(const SlowPlace& place, uint64_t seed, bool host) {
  WorldOptions options;
  options.seed = seed;
  options.proxies = 8;
  options.zone_latency = place.one_way;
  options.processing_time = place.processing;
  options.write_interval = std::max(options.write_interval,
                                    Duration(kWritePause * place.processing));
  FailoverWorld world(options);
  world.Run(kWarmUp);
  const std::string lost = world.Primary(0);
  const TimePoint failed = world.now();
  if (host)
    world.EndHost(lost);
  else
    world.EndProcess(lost);
  std::string primary;
  while (world.now() < failed + 2 * kLongestChange &&
         (primary.empty() || primary == lost)) {
    world.Run(kPoll);
    primary = world.Primary(0);
  }
  return ToMilliseconds(world.now() - failed);
}

void Measure(const SlowPlace& place, uint64_t seed, BenchmarkReport& report) {
  for (const bool host : {true, false}) {
    std::vector<double> times;
    for (uint64_t run = 0; run < kRuns; ++run)
      times.push_back(ChangeTime(place, seed + run, host));
    std::sort(times.begin(), times.end());
    const std::string name = std::string("change_") + place.name +
                             (host ? "_host_ends" : "_process_ends");
    report.AddUnbounded(name + "_median", times[times.size() / 2], "ms");
    report.Add(name + "_worst", times.back(), BoundKind::kAtMost,
               ToMilliseconds(kLongestChange), "ms");
  }
}

}  // namespace

}  // namespace jackdawturn::failover

int main() {
  using namespace jackdawturn;
  using namespace jackdawturn::failover;
  BenchmarkReport report;
  for (const SlowPlace& place : kPlaces)
    Measure(place, SeedFromEnvironment(), report);
  return report.exit_code();
}
