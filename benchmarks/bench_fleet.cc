#include <algorithm>
#include <cmath>
#include <cstdlib>
#include <ctime>
#include <functional>
#include <iostream>
#include <string>
#include <vector>

#include "fleet_rig.h"
#include "support/reports.h"

namespace jackdawturn::fleet {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Each watcher reads the list of VMs every second, so that a leaving server is
// known within the 2 s of promise 7.
constexpr Duration kListInterval = seconds(1);

double ToSeconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

struct SizeFigures {
  double bytes_per_second = 0;
  double platform_calls_per_second = 0;
};

// All nodes start within a second: the traffic of the busiest half second, of
// all nodes in the mean and of the busiest node, and when all have caught up.
void MeasureStart(FleetRig& fleet,
                  const std::string& at,
                  BenchmarkReport& report) {
  constexpr Duration kStep = milliseconds(500);
  const TimePoint end = TimePoint(seconds(10));
  double mean = 0;
  uint64_t most = 0;
  uint64_t most_bytes = 0;
  std::optional<TimePoint> ready;
  while (fleet.now() < end) {
    fleet.RunUntil(fleet.now() + kStep);
    uint64_t total = 0;
    for (const NodeTraffic& traffic : fleet.TakeTraffic()) {
      total += traffic.datagrams;
      most = std::max(most, traffic.datagrams);
      most_bytes = std::max(most_bytes, traffic.bytes);
    }
    mean = std::max(mean, static_cast<double>(total) / ToSeconds(kStep) /
                              static_cast<double>(fleet.size()));
    if (!ready && fleet.CountReady() == fleet.size())
      ready = fleet.now();
  }
  report.AddUnbounded("start_peak_datagrams_mean" + at, mean, "1/s");
  report.AddUnbounded("start_peak_datagrams_busiest_node" + at,
                      static_cast<double>(most) / ToSeconds(kStep), "1/s");
  report.AddUnbounded("start_peak_bytes_busiest_node" + at,
                      static_cast<double>(most_bytes) / ToSeconds(kStep),
                      "B/s");
  report.AddUnbounded("start_all_ready" + at,
                      ready ? ToSeconds(*ready - TimePoint()) : -1, "s");
}

// Idle cost, a change and a death at one size.
SizeFigures MeasureSize(size_t nodes,
                        size_t zones,
                        Duration window,
                        uint64_t seed,
                        BenchmarkReport& report) {
  const std::string at = "_" + std::to_string(nodes) + "_nodes";
  FleetRig fleet(nodes, zones, 0, seed);
  const auto count = static_cast<double>(nodes);
  MeasureStart(fleet, at, report);
  constexpr Duration kSettle = seconds(15);
  fleet.RunUntil(TimePoint(kSettle));
  const uint64_t bytes = fleet.bytes();
  const uint64_t calls = fleet.watch_calls();
  const std::clock_t clock = std::clock();
  fleet.RunUntil(fleet.now() + window);
  const double processor = static_cast<double>(std::clock() - clock) /
                           CLOCKS_PER_SEC / ToSeconds(window) / count;
  SizeFigures figures;
  // Each byte is sent by one node and received by another.
  figures.bytes_per_second = 2 * static_cast<double>(fleet.bytes() - bytes) /
                             ToSeconds(window) / count;
  const double list_calls =
      static_cast<double>(fleet.Watchers()) / ToSeconds(kListInterval);
  figures.platform_calls_per_second =
      static_cast<double>(fleet.watch_calls() - calls) / ToSeconds(window) +
      list_calls;
  size_t state = 0;
  for (size_t index = 0; index < nodes; ++index)
    state = std::max(state, fleet.node(index).membership().StateBytes() +
                                fleet.node(index).ownership().StateBytes() +
                                fleet.node(index).spread().StateBytes());
  report.Add("control_bytes_per_node" + at, figures.bytes_per_second,
             BoundKind::kAtMost, 3'000, "B/s");
  report.Add("processor_share_per_node" + at, processor * 100,
             BoundKind::kAtMost, 2, "percent");
  report.Add("state_per_node_without_objects" + at,
             static_cast<double>(state) / 1e6, BoundKind::kAtMost, 32, "MB");
  // 20% of 2,000 reads/s.
  report.Add("platform_calls_idle" + at, figures.platform_calls_per_second,
             BoundKind::kAtMost, nodes == 8 ? 10 : 400, "1/s");

  const TimePoint changed = fleet.now();
  fleet.Change(nodes / 2, 1, 500);
  fleet.RunUntil(changed + seconds(15),
                 [&] { return fleet.in_force() >= nodes; });
  report.Add("change_in_force_everywhere" + at,
             ToSeconds(fleet.now() - changed), BoundKind::kAtMost,
             nodes == 8 ? 1 : 15, "s");
  std::cout << "name=nodes_with_change" << at
            << " value=" << fleet.CountInForce(1) << " of=" << nodes << '\n';

  const TimePoint killed = fleet.now();
  fleet.Kill(nodes / 3);
  while (fleet.Believers(nodes / 3) > 0 && fleet.now() < killed + seconds(20))
    fleet.RunUntil(fleet.now() + milliseconds(100));
  report.Add("death_known_everywhere" + at, ToSeconds(fleet.now() - killed),
             BoundKind::kAtMost, 10, "s");
  return figures;
}

void MeasureChanges(uint64_t seed, BenchmarkReport& report) {
  constexpr size_t kChanges = 300;
  FleetRig fleet(8, 3, 0.05, seed);
  fleet.RunUntil(TimePoint(seconds(10)));
  std::vector<double> times;
  std::vector<double> after_return;
  uint64_t version = 0;
  for (size_t change = 0; change < kChanges; ++change) {
    const size_t zone = change % 3;
    fleet.CutZone(zone);
    // Half of the changes come early, before the cut is noticed.
    fleet.RunUntil(fleet.now() +
                   (change % 2 == 0 ? milliseconds(100) : milliseconds(6'000)));
    const size_t reachable = zone == 2 ? 6 : 5;
    ++version;
    const TimePoint changed = fleet.now();
    fleet.Change((zone + 1) % 3, version, 500);
    fleet.RunUntil(changed + seconds(5),
                   [&] { return fleet.in_force() >= reachable; });
    times.push_back(ToSeconds(fleet.now() - changed));
    fleet.RunUntil(fleet.now() + milliseconds(500));
    fleet.CutZone(std::nullopt);
    const TimePoint returned = fleet.now();
    fleet.RunUntil(returned + seconds(10),
                   [&] { return fleet.CountInForce(version) == 8; });
    after_return.push_back(ToSeconds(fleet.now() - returned));
    fleet.RunUntil(fleet.now() + seconds(8));
  }
  const auto quantile = [](std::vector<double> values, double part) {
    std::sort(values.begin(), values.end());
    return values[static_cast<size_t>(part *
                                      static_cast<double>(values.size() - 1))];
  };
  report.Add("change_p99_8_nodes_loss_and_cut_zone", quantile(times, 0.99),
             BoundKind::kAtMost, 1, "s");
  report.Add("change_in_cut_zone_after_return_p99",
             quantile(after_return, 0.99), BoundKind::kAtMost, 2, "s");
  report.AddUnbounded("change_in_cut_zone_after_return_longest",
                      quantile(after_return, 1), "s");
}

void MeasureFalseRemovals(uint64_t seed, BenchmarkReport& report) {
  FleetRig fleet(6, 3, 0.01, seed);
  fleet.RunUntil(TimePoint(std::chrono::hours(24)));
  report.Add("false_removals_per_day_6_nodes_1_percent_loss",
             static_cast<double>(fleet.removals()), BoundKind::kAtMost, 0,
             "removals");
}

// The longest time until all know of a death, with loss, in the smallest fleet:
// there a zone may have nobody who tells the others.
void MeasureDeaths(uint64_t seed, BenchmarkReport& report) {
  constexpr size_t kDeaths = 120;
  constexpr size_t kNodes = 6;
  Duration longest{};
  for (size_t death = 0; death < kDeaths; ++death) {
    FleetRig fleet(kNodes, 3, 0.01, seed * kDeaths + death);
    // Deaths fall into different parts of the rounds of probes.
    fleet.RunUntil(TimePoint(seconds(10) + death * milliseconds(37)));
    const TimePoint killed = fleet.now();
    const size_t victim = death % kNodes;
    fleet.Kill(victim);
    // In every third case the whole zone dies.
    if (death % 3 == 0)
      fleet.Kill((victim + 3) % kNodes);
    while (fleet.Believers(victim) > 0 && fleet.now() < killed + seconds(30))
      fleet.RunUntil(fleet.now() + milliseconds(50));
    longest = std::max(longest, fleet.now() - killed);
  }
  report.Add("death_known_everywhere_6_nodes_1_percent_loss_longest",
             ToSeconds(longest), BoundKind::kAtMost, 10, "s");
}

// One node with everything that it holds at the size of two years.
void MeasureFullState(BenchmarkReport& report) {
  constexpr size_t kGroups = 19'000;
  constexpr size_t kZones = 26;
  constexpr size_t kZoneMembers = 165;
  SpreadOptions spread_options;
  spread_options.self = VmOf(0);
  VersionSpread spread(spread_options, std::mt19937_64(1));
  GroupsListed listed;
  for (size_t group = 0; group < kGroups; ++group) {
    const std::string name = "group-" + std::to_string(group);
    spread.Handle(LocalObjectUpdate{{"groups/" + name, ObjectVersion{1},
                                     std::string(400, 'r')}},
                  TimePoint());
    HeldGroup held;
    held.group = GroupName(name);
    for (size_t zone = 0; zone < 3; ++zone)
      held.zones.emplace_back("zone-" +
                              std::to_string((group + zone) % kZones));
    for (size_t instance = 0; instance < 3; ++instance)
      held.instances.push_back(
          {InstanceName(name + "-" + std::to_string(instance)), 30});
    listed.groups.push_back(std::move(held));
  }
  OwnershipOptions options;
  options.self = VmOf(0);
  options.zone = ZoneName("zone-0");
  GroupOwnership ownership(options, std::mt19937_64(1));
  OwnershipView view;
  for (size_t member = 1; member < kZoneMembers; ++member)
    view.zone.push_back({VmOf(member * kZones), options.zone, false});
  ownership.Handle(listed, TimePoint());
  ownership.Handle(view, TimePoint());
  size_t held = 0;
  for (const HeldGroup& group : listed.groups)
    held += ownership.Holds(group.group) ? 1 : 0;
  const std::clock_t clock = std::clock();
  view.zone.pop_back();
  ownership.Handle(view, TimePoint());
  const double milliseconds_used =
      static_cast<double>(std::clock() - clock) / CLOCKS_PER_SEC * 1e3;
  report.Add(
      "state_objects_and_groups_19000_groups",
      static_cast<double>(spread.StateBytes() + ownership.StateBytes()) / 1e6,
      BoundKind::kAtMost, 32, "MB");
  report.AddUnbounded("groups_held_by_one_of_4300_nodes",
                      static_cast<double>(held), "groups");
  report.AddUnbounded("view_change_19000_groups", milliseconds_used, "ms");
}

struct Size {
  size_t nodes;
  size_t zones;
  Duration window;
};

// Two rounds of watches, so that their calls are counted evenly.
constexpr Duration kLongWindow = seconds(40);
constexpr Duration kShortWindow = seconds(20);
constexpr size_t kFullZones = 26;

// With the environment variable NODES, 8 nodes and that number are measured,
// and nothing else.
std::optional<size_t> OnlySize() {
  constexpr int kDecimal = 10;
  const char* text = std::getenv("NODES");
  if (text == nullptr)
    return std::nullopt;
  return std::strtoull(text, nullptr, kDecimal);
}

int Run() {
  const uint64_t seed = SeedFromEnvironment();
  BenchmarkReport report;
  std::vector<Size> sizes = {{8, 3, kLongWindow},
                             {64, 6, kLongWindow},
                             {512, 12, kShortWindow},
                             {1'024, kFullZones, kShortWindow}};
  const std::optional<size_t> only = OnlySize();
  if (only) {
    sizes = {sizes.front(), {*only, kFullZones, kShortWindow}};
  } else {
    MeasureFullState(report);
    MeasureChanges(seed, report);
  }
  std::vector<SizeFigures> figures;
  for (const Size& size : sizes)
    figures.push_back(
        MeasureSize(size.nodes, size.zones, size.window, seed, report));
  const double growth =
      figures.back().bytes_per_second / figures.front().bytes_per_second;
  const auto largest = static_cast<double>(sizes.back().nodes);
  report.Add("control_bytes_growth_8_to_largest", growth, BoundKind::kAtMost,
             std::log2(largest) / std::log2(8.0), "ratio");
  report.Add("platform_calls_growth_8_to_largest",
             figures.back().platform_calls_per_second /
                 figures.front().platform_calls_per_second,
             BoundKind::kAtMost, largest / 8, "ratio");
  if (!only) {
    MeasureFalseRemovals(seed, report);
    MeasureDeaths(seed, report);
  }
  return report.exit_code();
}

}  // namespace
}  // namespace jackdawturn::fleet

int main() {
  std::cout << std::unitbuf;
  return jackdawturn::fleet::Run();
}
