// A large fleet under churn, changes and large faults, on a virtual clock:
// traffic of each node, calls of the platform, and times. NODES sets the size.

#include <algorithm>
#include <cstdlib>
#include <functional>
#include <iostream>
#include <set>
#include <string>
#include <vector>

#include "fleet_rig.h"
#include "support/reports.h"

namespace jackdawturn::fleet {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr size_t kZones = 26;
constexpr size_t kRegions = 11;
constexpr Duration kStep = milliseconds(500);
constexpr Duration kSettle = seconds(30);
constexpr size_t kGroupKeys = 64;
constexpr size_t kRecordSize = 400;
// Removals and joins of a day, and changes of a day, at 4,300 nodes.
constexpr double kReplacementsPerDay = 3'728;
constexpr double kChangesPerDay = 14'053;
constexpr double kSecondsPerDay = 86'400;

double ToSeconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

size_t RegionOf(size_t node) {
  return node % kZones % kRegions;
}

// Traffic and calls of a window of time. Bytes and datagrams count both ends.
struct Window {
  double seconds = 0;
  double mean_bytes = 0;
  double mean_datagrams = 0;
  // Of the busiest half second: all nodes in the mean, and the busiest node.
  double peak_mean_bytes = 0;
  double peak_node_bytes = 0;
  double peak_calls = 0;
  double mean_calls = 0;
};

// Runs the fleet in steps of half a second. `each` is called before each step,
// `done` after it.
Window RunWindow(FleetRig& fleet,
                 Duration length,
                 const std::function<void()>& each = {},
                 const std::function<bool()>& done = {}) {
  Window window;
  const TimePoint begin = fleet.now();
  const auto nodes = static_cast<double>(fleet.size());
  uint64_t bytes = 0;
  uint64_t datagrams = 0;
  const uint64_t calls = fleet.watch_calls();
  fleet.TakeTraffic();
  while (fleet.now() < begin + length) {
    if (each)
      each();
    const uint64_t calls_before = fleet.watch_calls();
    fleet.RunUntil(fleet.now() + kStep);
    uint64_t step_bytes = 0;
    for (const NodeTraffic& traffic : fleet.TakeTraffic()) {
      step_bytes += traffic.bytes;
      datagrams += traffic.datagrams;
      window.peak_node_bytes =
          std::max(window.peak_node_bytes,
                   static_cast<double>(traffic.bytes) / ToSeconds(kStep));
    }
    bytes += step_bytes;
    window.peak_mean_bytes =
        std::max(window.peak_mean_bytes,
                 static_cast<double>(step_bytes) / ToSeconds(kStep) / nodes);
    window.peak_calls =
        std::max(window.peak_calls,
                 static_cast<double>(fleet.watch_calls() - calls_before) /
                     ToSeconds(kStep));
    if (done && done())
      break;
  }
  window.seconds = ToSeconds(fleet.now() - begin);
  window.mean_bytes = static_cast<double>(bytes) / window.seconds / nodes;
  window.mean_datagrams =
      static_cast<double>(datagrams) / window.seconds / nodes;
  window.mean_calls =
      static_cast<double>(fleet.watch_calls() - calls) / window.seconds;
  return window;
}

void Report(const std::string& name,
            const Window& window,
            BenchmarkReport& report) {
  report.AddUnbounded(name + "_bytes_mean", window.mean_bytes, "B/s");
  report.AddUnbounded(name + "_datagrams_mean", window.mean_datagrams, "1/s");
  report.AddUnbounded(name + "_bytes_busiest_half_second",
                      window.peak_mean_bytes, "B/s");
  report.AddUnbounded(name + "_bytes_busiest_node", window.peak_node_bytes,
                      "B/s");
  report.AddUnbounded(name + "_platform_calls_mean", window.mean_calls, "1/s");
  // 20% of 2,000 reads/s.
  report.Add(name + "_platform_calls_peak", window.peak_calls,
             BoundKind::kAtMost, 400, "1/s");
}

// Changes of group records at a rate that may be below one for each step.
class Changes {
 public:
  Changes(FleetRig& fleet, uint64_t seed) : m_fleet(fleet), m_random(seed) {}

  void Run(double per_second) {
    m_due += per_second * ToSeconds(kStep);
    for (; m_due >= 1; m_due -= 1) {
      const size_t key = m_random() % kGroupKeys;
      size_t origin = m_random() % m_fleet.size();
      while (!m_fleet.IsUp(origin))
        origin = m_random() % m_fleet.size();
      m_fleet.Change(origin, {"groups/group-" + std::to_string(key),
                              ObjectVersion{++m_versions[key]},
                              std::string(kRecordSize, 'r')});
    }
  }
  // Nodes that are up and hold the newest version of each record.
  size_t CountCurrent() {
    size_t current = 0;
    for (size_t node = 0; node < m_fleet.size(); ++node) {
      if (!m_fleet.IsUp(node))
        continue;
      bool newest = true;
      for (const auto& [key, version] : m_versions)
        newest &= m_fleet.node(node)
                      .spread()
                      .table()
                      .VersionOf("groups/group-" + std::to_string(key))
                      .value == version;
      current += newest ? 1 : 0;
    }
    return current;
  }

 private:
  FleetRig& m_fleet;
  std::mt19937_64 m_random;
  std::map<size_t, uint64_t> m_versions;
  double m_due = 0;
};

size_t CountUp(const FleetRig& fleet) {
  size_t up = 0;
  for (size_t node = 0; node < fleet.size(); ++node)
    up += fleet.IsUp(node) ? 1 : 0;
  return up;
}

// Kills nodes and runs until no other node counts one of them as present.
void MeasureLoss(const std::string& name,
                 FleetRig& fleet,
                 const std::vector<size_t>& lost,
                 BenchmarkReport& report) {
  for (const size_t node : lost)
    fleet.Kill(node);
  size_t next = 0;
  const auto all_known = [&] {
    while (next < lost.size() && fleet.Believers(lost[next]) == 0)
      ++next;
    return next == lost.size();
  };
  const Window window = RunWindow(fleet, seconds(150), {}, all_known);
  Report(name, window, report);
  report.Add(name + "_known_everywhere", window.seconds, BoundKind::kAtMost, 10,
             "s");
}

// Starts the nodes again within two seconds and runs until all have caught up.
void MeasureReturn(const std::string& name,
                   FleetRig& fleet,
                   const std::vector<size_t>& nodes,
                   std::mt19937_64& random,
                   BenchmarkReport& report) {
  constexpr uint64_t kSpreadUs = 2'000'000;
  for (const size_t node : nodes)
    fleet.Restart(node, Duration(random() % kSpreadUs));
  const Window window = RunWindow(fleet, seconds(60), {}, [&] {
    return fleet.CountReady() == fleet.size();
  });
  Report(name, window, report);
  report.AddUnbounded(name + "_all_ready", window.seconds, "s");
  report.AddUnbounded(name + "_not_ready",
                      static_cast<double>(fleet.size() - fleet.CountReady()),
                      "nodes");
}

// Replacements at 20 times the rate of this size, so that a short window has
// some; the cost of one is what all nodes together send because of it.
void MeasureChurn(FleetRig& fleet,
                  const Window& idle,
                  std::mt19937_64& random,
                  BenchmarkReport& report) {
  constexpr double kFullSize = 4'300;
  constexpr double kFaster = 20;
  const double rate = kFaster * kReplacementsPerDay / kSecondsPerDay *
                      static_cast<double>(fleet.size()) / kFullSize;
  double due = 0;
  size_t replaced = 0;
  const Window window = RunWindow(fleet, seconds(60), [&] {
    due += rate * ToSeconds(kStep);
    for (; due >= 1; due -= 1) {
      const size_t node = random() % fleet.size();
      if (!fleet.IsUp(node))
        continue;
      // Long enough to be removed before it returns.
      fleet.Kill(node);
      fleet.Restart(node, seconds(8));
      ++replaced;
    }
  });
  Report("churn", window, report);
  const double each = (window.mean_bytes - idle.mean_bytes) * window.seconds /
                      static_cast<double>(std::max<size_t>(replaced, 1));
  report.AddUnbounded("churn_replacements", static_cast<double>(replaced),
                      "nodes");
  report.AddUnbounded("churn_bytes_per_node_and_replacement", each, "B");
  report.Add("churn_bytes_at_3728_a_day",
             idle.mean_bytes + each * kReplacementsPerDay / kSecondsPerDay,
             BoundKind::kAtMost, 3'000, "B/s");
}

void MeasureLink(FleetRig& fleet, Changes& changes, BenchmarkReport& report) {
  const size_t before = fleet.removals();
  fleet.SetLinkCut([](size_t from, size_t to) {
    const std::set<size_t> regions = {RegionOf(from), RegionOf(to)};
    return regions == std::set<size_t>{0, 1};
  });
  const double rate = kChangesPerDay / kSecondsPerDay;
  Report("link_cut", RunWindow(fleet, seconds(120), [&] { changes.Run(rate); }),
         report);
  report.AddUnbounded("link_cut_contacts_dropped",
                      static_cast<double>(fleet.removals() - before),
                      "removals");
  fleet.SetLinkCut({});
  const Window back = RunWindow(fleet, seconds(30), {}, [&] {
    return changes.CountCurrent() == CountUp(fleet);
  });
  Report("link_return", back, report);
  report.Add("link_return_changes_in_force", back.seconds, BoundKind::kAtMost,
             15, "s");
}

size_t NodesFromEnvironment() {
  constexpr size_t kDefault = 520;
  constexpr int kDecimal = 10;
  const char* text = std::getenv("NODES");
  return text == nullptr ? kDefault : std::strtoull(text, nullptr, kDecimal);
}

int Run() {
  BenchmarkReport report;
  const uint64_t seed = SeedFromEnvironment();
  std::mt19937_64 random(seed);
  FleetRig fleet(NodesFromEnvironment(), kZones, 0, seed);
  Changes changes(fleet, seed);
  fleet.RunUntil(TimePoint(kSettle));
  const Window idle = RunWindow(fleet, seconds(20));
  Report("idle", idle, report);

  const Window changing = RunWindow(fleet, seconds(40), [&] {
    changes.Run(kChangesPerDay / kSecondsPerDay);
  });
  Report("changes_14053_a_day", changing, report);
  MeasureChurn(fleet, idle, random, report);
  RunWindow(fleet, seconds(20));

  // A rack holds nodes of one zone, as far as the zone has as many.
  constexpr size_t kRack = 40;
  std::vector<size_t> zone;
  for (size_t node = 3; node < fleet.size(); node += kZones)
    zone.push_back(node);
  std::vector<size_t> rack(
      zone.begin(), zone.begin() + static_cast<std::ptrdiff_t>(
                                       std::min(kRack, zone.size() / 2)));
  report.AddUnbounded("rack_nodes", static_cast<double>(rack.size()), "nodes");
  MeasureLoss("rack", fleet, rack, report);
  MeasureReturn("rack_return", fleet, rack, random, report);
  RunWindow(fleet, seconds(20));

  MeasureLink(fleet, changes, report);
  RunWindow(fleet, seconds(20));

  std::vector<size_t> many;
  constexpr size_t kOfFive = 2;
  for (size_t node = 0; node < fleet.size(); ++node) {
    if (node / kZones % 5 < kOfFive)
      many.push_back(node);
  }
  for (const size_t node : many)
    fleet.Kill(node);
  MeasureReturn("restart_of_40_percent", fleet, many, random, report);
  RunWindow(fleet, seconds(20));

  MeasureLoss("zone", fleet, zone, report);
  MeasureReturn("zone_return", fleet, zone, random, report);
  return report.exit_code();
}

}  // namespace
}  // namespace jackdawturn::fleet

int main() {
  std::cout << std::unitbuf;
  return jackdawturn::fleet::Run();
}
