// Load at 1 and 3 times the capacity of a primary on the virtual clock, one
// silent connection, and slots shared by proxies that do not talk to each
// other.

#include <string>

#include "routing_load.h"
#include "support/reports.h"

namespace jackdawturn::routing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr size_t kProxies = 6;
// Two slots and a mean service time of 4 ms.
constexpr double kCapacity = 500;
constexpr Duration kTime = seconds(20);
constexpr double kUsefulBound = 0.95;
constexpr double kRestoredBound = 500;

std::vector<MixPart> WriteMix(Duration quick = milliseconds(200)) {
  return {
      Part("quick", Operation::kWrite, 0.4, std::nullopt, quick, false),
      Part("patient", Operation::kWrite, 0.4, std::nullopt, milliseconds(800),
           false),
      Part("repeatable", Operation::kWrite, 0.2, std::nullopt,
           milliseconds(400), true),
  };
}

WorldOptions Options() {
  WorldOptions options;
  options.proxies = kProxies;
  options.connection_share = 4;
  options.group.connection_limit = kProxies * 4;
  options.group.service = [](std::mt19937_64& random) {
    return Duration(std::uniform_int_distribution<int>(2'000, 6'000)(random));
  };
  return options;
}

struct LoadResult {
  double useful = 0;
  double resolved = 0;
  double broken = 0;
  double longest_server_queue = 0;
  // Mean time that a statement waited for a slot of the primary.
  double mean_server_wait = 0;
  // Answer times as a share of the class's target, by class.
  std::map<std::string, std::vector<double>> shares;
  std::map<std::string, double> answered;
};

LoadResult Measure(WorldOptions options,
                   double times_capacity,
                   uint64_t seed,
                   std::vector<MixPart> mix = WriteMix(),
                   const std::function<void(MixedLoad&)>& change = {}) {
  RoutingWorld world(std::move(options), seed);
  world.scheduler().RunUntil(world.now() + milliseconds(100));
  MixedLoad load(world, std::move(mix), 60);
  if (change)
    change(load);
  load.Run(kCapacity * times_capacity, kTime);
  LoadResult result;
  for (const auto& [id, record] : world.records()) {
    const std::string& name = record.request.target->name.value();
    result.resolved += record.ending == Ending::kResolved ? 1 : 0;
    if (record.ending != Ending::kAnswered)
      continue;
    ++result.useful;
    ++result.answered[name];
    result.shares[name].push_back(
        ToMilliseconds(record.ended - record.arrived) /
        ToMilliseconds(record.request.target->answer_time));
  }
  result.broken = BrokenPromises(world);
  const auto& primary = world.group().instances()[0];
  result.mean_server_wait =
      ToMilliseconds(primary.waited) / static_cast<double>(primary.statements);
  for (const auto& instance : world.group().instances())
    result.longest_server_queue =
        std::max(result.longest_server_queue,
                 static_cast<double>(instance.longest_queue));
  return result;
}

void ReportOverload(BenchmarkReport& report, uint64_t seed) {
  const LoadResult normal = Measure(Options(), 1, seed);
  const LoadResult overload = Measure(Options(), 3, seed);
  report.AddUnbounded("overload_useful_at_1", normal.useful, "answers");
  report.Add("overload_useful_at_3_to_1", overload.useful / normal.useful,
             BoundKind::kAtLeast, kUsefulBound, "ratio");
  for (const auto& [name, shares] : overload.shares) {
    report.Add("overload_p99_of_target_" + name, Quantile(shares, 0.99),
               BoundKind::kAtMost, 1, "ratio");
    report.AddUnbounded("overload_answered_" + name, overload.answered.at(name),
                        "answers");
  }
  // Accepted and sent requests that had no answer by their deadline are late.
  report.Add("overload_late_of_accepted",
             overload.resolved / (overload.useful + overload.resolved),
             BoundKind::kAtMost, 0.01, "ratio");
  report.Add("overload_broken_promises", normal.broken + overload.broken,
             BoundKind::kAtMost, 0, "count");
  report.AddUnbounded("overload_longest_server_queue",
                      overload.longest_server_queue, "statements");
}

// Compares limits of statements in progress for each of six proxies: as many as
// the instance has slots, adaptive but at least one, and adaptive with single
// statements spaced out in time. Quick requests have a wide or a tight target.
void ReportSlots(BenchmarkReport& report, uint64_t seed) {
  struct Way {
    const char* name;
    double lowest;
  };
  for (const Way& way :
       {Way{"fixed", 2}, Way{"whole", 1}, Way{"spaced", 0.25}}) {
    for (const Duration quick : {milliseconds(200), milliseconds(25)}) {
      for (const double load : {0.7, 3.0}) {
        WorldOptions options = Options();
        options.routing.concurrency_limit.lowest = way.lowest;
        if (way.lowest == options.routing.concurrency_limit.slots)
          options.routing.concurrency_limit.first_limit = way.lowest;
        const LoadResult result = Measure(options, load, seed, WriteMix(quick));
        const std::string name = std::string("slots_") + way.name + "_quick_" +
                                 std::to_string(quick.count() / 1'000) +
                                 "ms_load_" + std::to_string(load).substr(0, 3);
        report.AddUnbounded(name + "_useful", result.useful, "answers");
        report.AddUnbounded(name + "_quick",
                            result.answered.count("quick") == 0
                                ? 0
                                : result.answered.at("quick"),
                            "answers");
        report.AddUnbounded(name + "_late", result.resolved, "requests");
        report.AddUnbounded(name + "_server_wait", result.mean_server_wait,
                            "ms");
      }
    }
  }
}

// A host that other work keeps busy answers late although no statement waits
// for a slot. What the adaptive limit answers is compared with the fixed one.
void ReportSlowHost(BenchmarkReport& report, uint64_t seed) {
  constexpr Duration kFast{200};
  constexpr double kMeanDelay = 5'000;
  constexpr TimePoint kSlowFrom{seconds(13)};
  constexpr double kLoad = 0.6;
  double fixed = 0;
  for (const double lowest : {2.0, 0.25}) {
    WorldOptions options = Options();
    options.proxies = 1;
    options.group.slots = 64;
    options.routing.concurrency_limit.lowest = lowest;
    RoutingWorld* world_of_service = nullptr;
    options.group.service = [&](std::mt19937_64& random) {
      if (world_of_service->now() < kSlowFrom)
        return kFast;
      std::exponential_distribution<double> delay(1 / kMeanDelay);
      return kFast + Duration(static_cast<int64_t>(delay(random)));
    };
    RoutingWorld world(options, seed);
    world_of_service = &world;
    world.scheduler().RunUntil(world.now() + milliseconds(100));
    MixedLoad load(world, WriteMix(), 60);
    load.Run(kCapacity * kLoad, kTime);
    const auto useful = static_cast<double>(std::count_if(
        world.records().begin(), world.records().end(), [](const auto& item) {
          return item.second.ending == Ending::kAnswered;
        }));
    if (lowest > 1) {
      fixed = useful;
      report.AddUnbounded("slow_host_useful_fixed", useful, "answers");
      continue;
    }
    report.AddUnbounded("slow_host_useful_adaptive", useful, "answers");
    report.AddUnbounded("slow_host_useful_adaptive_to_fixed", useful / fixed,
                        "ratio");
  }
}

// One of the busy connections goes silent under half load. The capacity is back
// when the instance has as many open, answering connections as before.
void ReportSilence(BenchmarkReport& report, uint64_t seed) {
  WorldOptions options = Options();
  options.proxies = 1;
  options.connection_share = 2;
  RoutingWorld world(options, seed);
  world.scheduler().RunUntil(world.now() + milliseconds(100));
  MixedLoad load(world, WriteMix(), 60);
  const TimePoint struck = world.now() + seconds(2);
  TimePoint restored = TimePoint::max();
  world.scheduler().At(
      struck, [&] { world.SilenceOne(0, world.group().instances()[0].name); });
  std::function<void()> look = [&] {
    if (restored == TimePoint::max() &&
        world.machine(0).counts().silent_connections > 0 &&
        world.machine(0)
                .Status(RoutingWorld::Name(), world.now())[0]
                .open_connections >= 2)
      restored = world.now();
    world.scheduler().After(milliseconds(1), look);
  };
  world.scheduler().At(struck, look);
  load.Run(kCapacity * 0.5, seconds(6));
  report.Add("silent_connection_capacity_restored",
             ToMilliseconds(restored - struck), BoundKind::kAtMost,
             kRestoredBound, "ms");
  size_t late = 0;
  for (const auto& [id, record] : world.records())
    late += record.ending == Ending::kOpen || record.ended > record.deadline;
  report.Add("silent_connection_callers_past_deadline",
             static_cast<double>(late), BoundKind::kAtMost, 0, "requests");
  report.Add("silent_connection_broken_promises", BrokenPromises(world),
             BoundKind::kAtMost, 0, "count");
}

// A request crosses a relaying proxy, which takes 20 ms in the mean, before the
// proxy that sends it to the database. With a deadline for each hop, the last
// hop gets a fixed part of the answer time; with the plain remaining deadline,
// it gets all that is left.
void ReportHopDeadlines(BenchmarkReport& report, uint64_t seed) {
  struct Way {
    const char* name;
    double part;
  };
  for (const Way& way : {Way{"remaining", 1.0}, Way{"per_hop", 0.5}}) {
    for (const double load : {0.9, 3.0}) {
      const LoadResult result =
          Measure(Options(), load, seed, WriteMix(), [&](MixedLoad& mixed) {
            mixed.last_hop_part = way.part;
            mixed.hop_delay = [](std::mt19937_64& random) {
              std::exponential_distribution<double> delay(1.0 / 20'000);
              return Duration(static_cast<int64_t>(delay(random)));
            };
          });
      const std::string name = std::string("hop_deadline_") + way.name +
                               "_load_" + std::to_string(load).substr(0, 3);
      report.AddUnbounded(name + "_useful", result.useful, "answers");
      report.AddUnbounded(name + "_late", result.resolved, "requests");
    }
  }
}

int Run() {
  BenchmarkReport report;
  const uint64_t seed = SeedFromEnvironment();
  ReportOverload(report, seed);
  ReportSilence(report, seed);
  ReportSlowHost(report, seed);
  ReportSlots(report, seed);
  ReportHopDeadlines(report, seed);
  return report.exit_code();
}

}  // namespace
}  // namespace jackdawturn::routing

int main() {
  return jackdawturn::routing::Run();
}
