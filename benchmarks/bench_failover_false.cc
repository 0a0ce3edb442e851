// False promotions: a primary that is alive but slow, behind lost messages or
// paused keeps its term, on the virtual clock.

#include <iostream>
#include <string>

#include "support/failover_world.h"
#include "support/reports.h"

namespace jackdawturn::failover {

namespace {

using std::chrono::milliseconds;

constexpr int kMostPause = 300;
constexpr int kMostLag = 10'000;

struct Run {
  std::string name;
  Duration time;
  // The whole host of an instance stalls, so that not even handshakes are
  // completed, instead of its process alone.
  bool stall_hosts = false;
  // One timeout for everything, as a plain failover has it.
  Duration fixed_timeout{0};
  // The limit for hosts that complete no handshake, unless it is 0.
  Duration unreachable_floor{0};
};

// Returns the number of changes that were claimed. Writes keep the group busy a
// fifth of the time, so that probes run at both intervals.
uint64_t CountChanges(const Run& run, uint64_t seed) {
  WorldOptions options;
  options.seed = seed;
  options.write_interval = milliseconds(5'000);
  options.sync_interval = milliseconds(1'000);
  if (run.fixed_timeout > Duration(0)) {
    options.suspicion.refused_floor = run.fixed_timeout;
    options.suspicion.unreachable_floor = run.fixed_timeout;
    options.suspicion.silent_floor = run.fixed_timeout;
  }
  if (run.unreachable_floor > Duration(0))
    options.suspicion.unreachable_floor = run.unreachable_floor;
  FailoverWorld world(options);
  uint64_t claims = 0;
  world.SetTimelineHook([&](const std::string&, size_t,
                            const failover_effect::TimelineEntry& entry) {
    if (entry.to == "claiming" && entry.from != entry.to)
      ++claims;
  });
  world.network().SetLoss(0.01);
  std::mt19937_64 random(seed);
  const auto pick = [&random](int from, int to) {
    return std::uniform_int_distribution<int>(from, to)(random);
  };
  const TimePoint end = world.now() + run.time;
  while (world.now() < end) {
    const milliseconds pause(pick(1, kMostPause));
    const std::string instance = world.InstanceOf(0, pick(0, 2));
    const int victim = pick(0, 2);
    if (victim == 0)
      world.PauseProxy("p" + std::to_string(pick(0, 2)), pause);
    else if (run.stall_hosts)
      world.StallHost(instance, pause);
    else
      world.PauseProcess(instance, pause);
    world.SetReplicationDelay(world.InstanceOf(0, pick(0, 2)),
                              milliseconds(pick(0, kMostLag)));
    world.Run(pause + milliseconds(pick(200, 8'000)));
  }
  return claims;
}

}  // namespace

}  // namespace jackdawturn::failover

int main() {
  using namespace jackdawturn;
  using namespace jackdawturn::failover;
  const uint64_t seed = SeedFromEnvironment();
  BenchmarkReport report;
  const Run day{"false_promotions_24_hours", std::chrono::hours(24), false, {}};
  report.Add(day.name, static_cast<double>(CountChanges(day, seed)),
             BoundKind::kAtMost, 0, "changes");
  const Run others[] = {
      {"changes_2_hours_host_stalls", std::chrono::hours(2), true, {}},
      {"changes_2_hours_host_stalls_350_ms_limit", std::chrono::hours(2), true,
       Duration(0), milliseconds(350)},
      {"changes_2_hours_fixed_timeout_100_ms", std::chrono::hours(2), false,
       milliseconds(100)},
      {"changes_2_hours_fixed_timeout_1_s", std::chrono::hours(2), false,
       milliseconds(1'000)},
  };
  for (const Run& run : others)
    report.AddUnbounded(run.name, static_cast<double>(CountChanges(run, seed)),
                        "changes");
  return report.exit_code();
}
