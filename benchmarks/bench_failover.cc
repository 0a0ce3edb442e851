// Gap of a change of primary and its platform calls, on the virtual clock with
// the latencies of both deployments.

#include <algorithm>
#include <functional>
#include <iostream>
#include <string>
#include <vector>

#include "support/failover_world.h"
#include "support/reports.h"

namespace jackdawturn::failover {

namespace {

using std::chrono::milliseconds;

constexpr uint64_t kGapRuns = 20;
constexpr size_t kProxies = 8;
constexpr milliseconds kWarmUp{1'500};
constexpr milliseconds kLongestGap{5'000};
// A plain failover acts after this time without an answer; it is also the time
// that a promoter waits out a lease of this length.
constexpr milliseconds kFixedTimeout{1'000};

struct Deployment {
  std::string name;
  Duration zone_latency;
  Duration open_time;
};

const Deployment kDeployments[] = {
    {"ferreira", std::chrono::microseconds(1'500), milliseconds(10)},
    {"szamlalo", std::chrono::microseconds(1'000), milliseconds(30)},
};

using Strike = std::function<void(FailoverWorld&)>;

struct Failure {
  std::string name;
  Strike strike;
};

const Failure kFailures[] = {
    {"process_ends",
     [](FailoverWorld& world) { world.EndProcess(world.Primary(0)); }},
    {"host_ends",
     [](FailoverWorld& world) { world.EndHost(world.Primary(0)); }},
    {"cut_off",
     [](FailoverWorld& world) {
       const std::string primary = world.Primary(0);
       world.CutNode(primary, true);
       world.CutNode(primary + ".host", true);
     }},
    {"process_hangs",
     [](FailoverWorld& world) {
       world.PauseProcess(world.Primary(0), std::chrono::hours(1));
     }},
};

WorldOptions Options(const Deployment& deployment, uint64_t seed) {
  WorldOptions options;
  options.seed = seed;
  options.zone_latency = deployment.zone_latency;
  options.open_time = deployment.open_time;
  options.proxies = kProxies;
  options.write_interval = milliseconds(8);
  return options;
}

WorldOptions FixedTimeout(WorldOptions options) {
  options.suspicion.refused_floor = kFixedTimeout;
  options.suspicion.unreachable_floor = kFixedTimeout;
  options.suspicion.silent_floor = kFixedTimeout;
  return options;
}

// From the last answer in the old term to the first one in a later term, as the
// callers see it. kLongestGap when there is none.
double GapOf(const FailoverWorld& world, Term old_term) {
  TimePoint last;
  for (const Acknowledgement& acknowledged : world.acknowledgements()) {
    if (acknowledged.at.term == old_term)
      last = acknowledged.time;
  }
  for (const Acknowledgement& acknowledged : world.acknowledgements()) {
    if (acknowledged.at.term > old_term)
      return ToMilliseconds(acknowledged.time - last);
  }
  return ToMilliseconds(kLongestGap);
}

struct GapRun {
  double gap = 0;
  uint64_t refused = 0;
  double answer_time = 0;
};

double Worst(const std::vector<double>& values) {
  return *std::max_element(values.begin(), values.end());
}

GapRun MeasureGap(const WorldOptions& options, const Strike& strike) {
  FailoverWorld world(options);
  // The failure comes at another phase of the probes in each run.
  world.Run(kWarmUp + milliseconds(options.seed * 7 % 100));
  std::vector<double> answer_times;
  for (const Acknowledgement& acknowledged : world.acknowledgements())
    answer_times.push_back(ToMilliseconds(acknowledged.answer_time));
  const Term old_term = world.Record(0).term;
  strike(world);
  const TimePoint end = world.now() + kLongestGap;
  while (world.now() < end &&
         (world.acknowledgements().empty() ||
          world.acknowledgements().back().at.term == old_term))
    world.Run(milliseconds(20));
  world.Run(milliseconds(100));
  return {GapOf(world, old_term), world.refused_writes(), Median(answer_times)};
}

void MeasureFailures(const Deployment& deployment,
                     uint64_t seed,
                     BenchmarkReport& report) {
  std::vector<double> all;
  std::vector<double> fixed;
  std::vector<double> answer_times;
  for (const Failure& failure : kFailures) {
    std::vector<double> gaps;
    for (uint64_t run = 0; run < kGapRuns; ++run) {
      const WorldOptions options = Options(deployment, seed + run);
      const GapRun measured = MeasureGap(options, failure.strike);
      gaps.push_back(measured.gap);
      answer_times.push_back(measured.answer_time);
      fixed.push_back(MeasureGap(FixedTimeout(options), failure.strike).gap);
    }
    const std::string name = "gap_" + deployment.name + '_' + failure.name;
    report.AddUnbounded(name + "_median", Median(gaps), "ms");
    report.AddUnbounded(name + "_worst", Worst(gaps), "ms");
    all.insert(all.end(), gaps.begin(), gaps.end());
  }
  const std::string name = "gap_" + deployment.name;
  report.Add(name + "_median", Median(all), BoundKind::kAtMost, 300, "ms");
  report.Add(name + "_worst", Worst(all), BoundKind::kAtMost, 1'000, "ms");
  report.AddUnbounded(name + "_fixed_timeout_median", Median(fixed), "ms");
  report.AddUnbounded(name + "_fixed_timeout_worst", Worst(fixed), "ms");
  report.AddUnbounded("answer_" + deployment.name + "_confirmed_median",
                      Median(answer_times), "ms");

  WorldOptions unconfirmed = Options(deployment, seed);
  unconfirmed.mutant = WorldMutant::kAcknowledgeUnconfirmed;
  const GapRun measured = MeasureGap(unconfirmed, kFailures[0].strike);
  report.AddUnbounded("answer_" + deployment.name + "_unconfirmed_median",
                      measured.answer_time, "ms");
}

void MeasureZone(const Deployment& deployment,
                 uint64_t seed,
                 BenchmarkReport& report) {
  std::vector<double> gaps;
  std::vector<double> fixed;
  const Strike cut = [](FailoverWorld& world) {
    world.CutZone(world.ZoneOf(world.Primary(0)), true, true, true);
  };
  for (uint64_t run = 0; run < kGapRuns; ++run) {
    const WorldOptions options = Options(deployment, seed + run);
    gaps.push_back(MeasureGap(options, cut).gap);
    fixed.push_back(MeasureGap(FixedTimeout(options), cut).gap);
  }
  const std::string name = "gap_" + deployment.name + "_zone_lost";
  report.AddUnbounded(name + "_median", Median(gaps), "ms");
  report.Add(name + "_worst", Worst(gaps), BoundKind::kAtMost, 2'000, "ms");
  report.AddUnbounded(name + "_fixed_timeout_worst", Worst(fixed), "ms");
}

void MeasurePlanned(const Deployment& deployment,
                    uint64_t seed,
                    BenchmarkReport& report) {
  std::vector<double> gaps;
  uint64_t refused = 0;
  for (uint64_t run = 0; run < kGapRuns; ++run) {
    const GapRun measured = MeasureGap(
        Options(deployment, seed + run), [run](FailoverWorld& world) {
          world.RequestChange("p" + std::to_string(run % kProxies), 0,
                              AttemptId("planned"));
        });
    gaps.push_back(measured.gap);
    refused += measured.refused;
  }
  const std::string name = "gap_" + deployment.name + "_planned";
  report.AddUnbounded(name + "_median", Median(gaps), "ms");
  report.Add(name + "_worst", Worst(gaps), BoundKind::kAtMost, 50, "ms");
  report.Add(name + "_refused_writes", static_cast<double>(refused),
             BoundKind::kAtMost, 0, "writes");
}

size_t Calls(const FailoverWorld& world) {
  return world.platform_reads().size() + world.platform_writes().size();
}

void MeasureCandidates(size_t candidates,
                       uint64_t seed,
                       BenchmarkReport& report) {
  constexpr uint64_t kRuns = 3;
  size_t most = 0;
  for (uint64_t run = 0; run < kRuns; ++run) {
    WorldOptions options = Options(kDeployments[0], seed + run);
    options.proxies = candidates;
    options.write_interval = Duration(0);
    FailoverWorld world(options);
    world.Run(milliseconds(2'000));
    const size_t before = Calls(world);
    world.EndHost(world.Primary(0));
    world.Run(milliseconds(4'000));
    VERIFY(world.Record(0).term > Term{1});
    most = std::max(most, Calls(world) - before);
  }
  report.Add("platform_calls_" + std::to_string(candidates) + "_candidates",
             static_cast<double>(most), BoundKind::kAtMost, 20, "calls");
}

// Most calls within any second.
size_t Peak(const std::vector<TimePoint>& calls, TimePoint since) {
  size_t peak = 0;
  auto first = std::lower_bound(calls.begin(), calls.end(), since);
  for (auto last = first; last != calls.end(); ++last) {
    while (*last - *first >= std::chrono::seconds(1))
      ++first;
    peak = std::max(peak, static_cast<size_t>(last - first) + 1);
  }
  return peak;
}

// Loses the zone of the primaries of 100 groups; with `outage` the platform is
// down for that time from the same moment.
void MeasureManyGroups(Duration outage,
                       const std::string& name,
                       uint64_t seed,
                       BenchmarkReport& report) {
  constexpr size_t kGroups = 100;
  constexpr milliseconds kLimit{30'000};
  WorldOptions options = Options(kDeployments[0], seed);
  options.groups = kGroups;
  options.write_interval = Duration(0);
  FailoverWorld world(options);
  world.Run(milliseconds(2'000));
  const TimePoint lost = world.now();
  world.CutZone(0, true, true, true);
  if (outage > Duration(0)) {
    world.SetPlatformAvailable(false);
    world.Run(outage);
    world.SetPlatformAvailable(true);
  }
  const TimePoint possible = world.now();
  size_t restored = 0;
  while (restored < kGroups && world.now() < possible + kLimit) {
    world.Run(milliseconds(50));
    restored = 0;
    for (size_t group = 0; group < kGroups; ++group) {
      const GroupRecord record = world.Record(group);
      if (record.phase == GroupPhase::kSteady && record.term > Term{1})
        ++restored;
    }
  }
  report.Add(name + "_groups_restored", static_cast<double>(restored),
             BoundKind::kAtLeast, kGroups, "groups");
  report.Add(name + "_last_restored", ToMilliseconds(world.now() - possible),
             BoundKind::kAtMost, 10'000, "ms");
  report.Add(name + "_peak_writes",
             static_cast<double>(Peak(world.platform_writes(), lost)),
             BoundKind::kAtMost, options.platform_writes, "calls/s");
  report.Add(name + "_peak_reads",
             static_cast<double>(Peak(world.platform_reads(), lost)),
             BoundKind::kAtMost, options.platform_reads, "calls/s");
}

}  // namespace

}  // namespace jackdawturn::failover

int main() {
  using namespace jackdawturn;
  using namespace jackdawturn::failover;
  const uint64_t seed = SeedFromEnvironment();
  BenchmarkReport report;
  for (const Deployment& deployment : kDeployments) {
    MeasureFailures(deployment, seed, report);
    MeasureZone(deployment, seed, report);
    MeasurePlanned(deployment, seed, report);
  }
  for (const size_t candidates : {8, 80, 800})
    MeasureCandidates(candidates, seed, report);
  MeasureManyGroups(Duration(0), "zone_of_100_primaries", seed, report);
  MeasureManyGroups(std::chrono::seconds(30), "zone_and_platform_lost", seed,
                    report);
  return report.exit_code();
}
