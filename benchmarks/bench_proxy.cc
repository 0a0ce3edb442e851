// One proxy process on loopback: small reads per second, the latency that it
// adds at half of that load, what it uses while idle, its time to start, and
// the time of the demo. Instances and callers run in this process. The load
// average of the machine is printed, because other work shares its cores.

#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <limits>
#include <map>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

#include "proxy_rig.h"
#include "read_load.h"
#include "support/command_run.h"
#include "support/reports.h"
#include "support/source_paths.h"

namespace jackdawturn {
namespace {

// From docs/design.md, section 1.4.
constexpr double kMedianBoundUs = 150;
constexpr double kP99BoundUs = 1'000;
constexpr double kReadsPerSecondBound = 25'000;
constexpr double kIdleMegabytesBound = 32;
constexpr double kIdlePercentBound = 2;
constexpr double kStartSecondsBound = 1;
constexpr double kDemoSecondsBound = 30;

constexpr Duration kLoadTime = std::chrono::seconds(3);
constexpr Duration kRoundTime = std::chrono::seconds(1);
constexpr size_t kRounds = 5;
// All callers have one address, which may use a quarter of the places of an
// instance's queue; more connections than this would be refused.
constexpr size_t kLoadConnections = 64;
constexpr size_t kLatencyConnections = 48;

double SortedQuantile(const std::vector<double>& sorted, double probability) {
  if (sorted.empty())
    return std::numeric_limits<double>::infinity();
  const auto index =
      static_cast<size_t>(probability * static_cast<double>(sorted.size()));
  return sorted[std::min(index, sorted.size() - 1)];
}

double Seconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

ReadLoadOptions ThroughProxy(const ProxyRig& rig) {
  CallerRequest request;
  request.operation = CallerOperation::kRead;
  request.class_name = ClassName("catalogue_view");
  request.statement = "get key";
  ReadLoadOptions options;
  options.endpoints = {rig.proxy(0).endpoint()};
  options.target = TargetOf(request.operation);
  for (const GroupName& group : rig.groups()) {
    request.group = group;
    options.bodies.push_back(EncodeRequest(request));
  }
  options.expected = "\"done\"";
  return options;
}

ReadLoadOptions Direct(const ProxyRig& rig) {
  const BackendRequest request = ReadCall{std::nullopt, "get key"};
  ReadLoadOptions options;
  options.endpoints = rig.instances();
  options.target = TargetOf(request);
  options.bodies = {EncodeRequest(request)};
  options.expected = "value";
  options.open = true;
  options.connections = kLatencyConnections;
  return options;
}

// Processor time in a file "stat" of a process or thread, in seconds.
double ProcessorSeconds(const std::string& stat) {
  std::ifstream file(stat);
  std::string text((std::istreambuf_iterator<char>(file)),
                   std::istreambuf_iterator<char>());
  // The name of the program, in brackets, can contain blanks.
  std::istringstream fields(text.substr(text.rfind(')') + 2));
  std::string skipped;
  constexpr int kFieldsBeforeTime = 11;
  for (int field = 0; field < kFieldsBeforeTime; ++field)
    fields >> skipped;
  double user = 0;
  double system = 0;
  fields >> user >> system;
  return (user + system) / static_cast<double>(sysconf(_SC_CLK_TCK));
}

// Processor time of all threads of a process, in seconds.
double ProcessorSeconds(pid_t pid) {
  return ProcessorSeconds("/proc/" + std::to_string(pid) + "/stat");
}

// Processor time of each thread of a process, by its number.
std::map<int, double> ThreadSeconds(pid_t pid) {
  std::map<int, double> seconds;
  for (const auto& entry : std::filesystem::directory_iterator(
           "/proc/" + std::to_string(pid) + "/task"))
    seconds[std::stoi(entry.path().filename())] =
        ProcessorSeconds(entry.path() / "stat");
  return seconds;
}

// The threads of `jackdawturn serve` in the order in which they start.
constexpr const char* kThreads[] = {"main",      "callers", "backend_servers",
                                    "platform",  "peers",   "relay",
                                    "operators", "events",  "decisions"};

// Prints the processor time that each thread used between two measurements.
void AddThreads(BenchmarkReport& report,
                const std::map<int, double>& before,
                const std::map<int, double>& after,
                uint64_t reads) {
  constexpr double kMicroseconds = 1e6;
  size_t index = 0;
  for (const auto& [thread, seconds] : after) {
    const auto found = before.find(thread);
    const double used = seconds - (found == before.end() ? 0 : found->second);
    if (index >= std::size(kThreads))
      break;
    report.AddUnbounded(
        "processor_per_read_" + std::string(kThreads[index++]),
        used * kMicroseconds / std::max(static_cast<double>(reads), 1.0), "us");
  }
}

double ResidentMegabytes(pid_t pid) {
  constexpr double kKilobytesInMegabyte = 1'024;
  std::ifstream file("/proc/" + std::to_string(pid) + "/status");
  for (std::string line; std::getline(file, line);) {
    if (line.starts_with("VmRSS:"))
      return std::stod(line.substr(line.find(':') + 1)) / kKilobytesInMegabyte;
  }
  return std::numeric_limits<double>::infinity();
}

void MeasureLoad(BenchmarkReport& report) {
  ProxyRigOptions rig_options;
  rig_options.raised_limits = true;
  ProxyRig rig(rig_options);
  rig.StartProxies();
  // Opens connections and fills caches.
  ReadLoad(ThroughProxy(rig)).Run(kRoundTime);

  ReadLoadOptions load = ThroughProxy(rig);
  load.connections = kLoadConnections;
  const pid_t pid = rig.proxy(0).pid();
  const double before = ProcessorSeconds(pid);
  const auto threads_before = ThreadSeconds(pid);
  const ReadLoadResult most = ReadLoad(load).Run(kLoadTime);
  const double used = ProcessorSeconds(pid) - before;
  const auto threads_after = ThreadSeconds(pid);
  report.Add("proxy_small_reads", most.per_second(), BoundKind::kAtLeast,
             kReadsPerSecondBound, "reads/s");
  report.Add("proxy_small_reads_wrong", static_cast<double>(most.wrong),
             BoundKind::kAtMost, 0, "answers");
  constexpr double kMicroseconds = 1e6;
  report.AddUnbounded(
      "proxy_processor_per_read",
      used * kMicroseconds / std::max(static_cast<double>(most.answers), 1.0),
      "us");

  AddThreads(report, threads_before, threads_after, most.answers);

  ReadLoadResult through;
  ReadLoadResult direct;
  const auto add = [&](ReadLoadResult& sum, ReadLoadOptions options) {
    options.connections = kLatencyConnections;
    options.rate = most.per_second() / 2;
    const ReadLoadResult round = ReadLoad(options).Run(kRoundTime);
    sum.answers += round.answers;
    sum.wrong += round.wrong;
    sum.elapsed += round.elapsed;
    sum.latencies.insert(sum.latencies.end(), round.latencies.begin(),
                         round.latencies.end());
  };
  // The rounds alternate, so that other work on the machine hits both.
  for (size_t round = 0; round < kRounds; ++round) {
    add(through, ThroughProxy(rig));
    add(direct, Direct(rig));
  }
  for (ReadLoadResult* sum : {&through, &direct})
    std::sort(sum->latencies.begin(), sum->latencies.end());
  const auto median = [](const ReadLoadResult& sum) {
    return SortedQuantile(sum.latencies, 0.5);
  };
  const auto p99 = [](const ReadLoadResult& sum) {
    return SortedQuantile(sum.latencies, 0.99);
  };
  report.AddUnbounded("half_load_offered", most.per_second() / 2, "reads/s");
  report.AddUnbounded("half_load_direct", direct.per_second(), "reads/s");
  report.Add("half_load_through_proxy_to_offered",
             2 * through.per_second() / most.per_second(), BoundKind::kAtLeast,
             0.95, "ratio");
  report.AddUnbounded("read_direct_median", median(direct), "us");
  report.AddUnbounded("read_direct_p99", p99(direct), "us");
  report.Add("proxy_added_median", median(through) - median(direct),
             BoundKind::kAtMost, kMedianBoundUs, "us");
  report.Add("proxy_added_p99", p99(through) - p99(direct), BoundKind::kAtMost,
             kP99BoundUs, "us");
  report.Add("half_load_wrong",
             static_cast<double>(through.wrong + direct.wrong),
             BoundKind::kAtMost, 0, "answers");
}

void MeasureIdle(BenchmarkReport& report) {
  constexpr Duration kSettle = std::chrono::seconds(2);
  constexpr Duration kIdleTime = std::chrono::seconds(5);
  constexpr double kPercent = 100;
  ProxyRigOptions options;
  options.proxies = 3;
  ProxyRig rig(options);
  const Duration start = rig.StartProxies();
  report.Add("proxy_start_to_ready", Seconds(start), BoundKind::kAtMost,
             kStartSecondsBound, "s");
  std::this_thread::sleep_for(kSettle);
  const pid_t pid = rig.proxy(0).pid();
  const double before = ProcessorSeconds(pid);
  const TimePoint begin = MonotonicClock::now();
  std::this_thread::sleep_for(kIdleTime);
  const double used = ProcessorSeconds(pid) - before;
  report.Add("proxy_idle_processor",
             kPercent * used / Seconds(MonotonicClock::now() - begin),
             BoundKind::kAtMost, kIdlePercentBound, "percent_of_a_core");
  report.Add("proxy_idle_resident", ResidentMegabytes(pid), BoundKind::kAtMost,
             kIdleMegabytesBound, "MB");
}

void MeasureDemo(BenchmarkReport& report) {
  for (const char* deployment : {"ferreira", "szamlalo"}) {
    const TimePoint begin = MonotonicClock::now();
    const auto output =
        RunToEnd(BinaryPath(),
                 {"demo", "--deployment", deployment, "--fault", "primary"},
                 std::chrono::minutes(2));
    const std::string name = "demo_" + std::string(deployment);
    report.Add(name, Seconds(MonotonicClock::now() - begin), BoundKind::kAtMost,
               kDemoSecondsBound, "s");
    const bool done = output && output.value().exit_code == 0;
    report.Add(name + "_failed", done ? 0 : 1, BoundKind::kAtMost, 0, "runs");
  }
}

int Run() {
  BenchmarkReport report;
  double load_average = 0;
  getloadavg(&load_average, 1);
  report.AddUnbounded("machine_load_average", load_average, "processes");
  MeasureIdle(report);
  MeasureLoad(report);
  MeasureDemo(report);
  return report.exit_code();
}

}  // namespace
}  // namespace jackdawturn

int main() {
  // The events that the proxies log would bury the figures.
  if (std::freopen("/dev/null", "w", stderr) == nullptr)
    return 1;
  return jackdawturn::Run();
}
