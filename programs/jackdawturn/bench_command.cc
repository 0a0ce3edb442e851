#include <algorithm>
#include <charconv>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <memory>
#include <string>
#include <thread>

#include "bench_load.h"
#include "bench_report.h"
#include "commands.h"
#include "demo_world.h"
#include "operator_commands.h"
#include "world_checks.h"

namespace jackdawturn {

namespace {

constexpr const char* kStep = "command_line";

struct BenchLine {
  std::vector<std::string> proxies;
  std::vector<std::string> groups;
  std::vector<std::string> read_classes;
  std::vector<std::string> write_classes;
  DemoOptions world;
  uint64_t lag_ms = 5;
  std::string fault = "none";
  uint64_t duration_ms = 3'000;
  uint64_t requests = 0;
  uint64_t answer_time_ms = 0;
  uint64_t deadline_ms = 2'000;
  std::string plot;
  BenchLoadOptions load;
  OperatorLine common;
};

// Parses "NAME" and "NAME=WEIGHT" items.
Result<std::vector<WeightedClass>> ParseClasses(
    const std::vector<std::string>& items) {
  constexpr uint64_t kMaxWeight = 1'000'000;
  std::vector<WeightedClass> classes;
  for (const std::string& item : items) {
    const size_t equals = std::min(item.find('='), item.size());
    WeightedClass parsed{ClassName(item.substr(0, equals))};
    const char* end = item.data() + item.size();
    bool valid = equals > 0;
    if (equals < item.size()) {
      const auto [rest, error] =
          std::from_chars(item.data() + equals + 1, end, parsed.weight);
      valid = valid && error == std::errc() && rest == end &&
              parsed.weight > 0 && parsed.weight <= kMaxWeight;
    }
    if (!valid)
      return Failure(ErrorCode::kInvalidArgument, kStep, "",
                     "expected CLASS or CLASS=WEIGHT with a weight from 1 to "
                     "1000000: " +
                         item);
    classes.push_back(std::move(parsed));
  }
  return classes;
}

// Fills in the classes of a world that the command line does not name. Classes
// that may be repeated stand for reads in the examples.
void AddClassesOf(const targets::ClassTargets& classes,
                  BenchLoadOptions& options) {
  const bool add_reads = options.read_classes.empty();
  const bool add_writes = options.write_classes.empty();
  for (const auto& [name, target] : classes) {
    if (target.repeatable && add_reads)
      options.read_classes.push_back({name});
    if (!target.repeatable && add_writes)
      options.write_classes.push_back({name});
  }
}

// Errors: kInvalidArgument for a class or group that the load cannot use.
Result<void> CheckLoad(const BenchLoadOptions& options,
                       const DemoWorld* world) {
  constexpr uint64_t kHundred = 100;
  const auto wrong = [](const std::string& message) {
    return Failure(ErrorCode::kInvalidArgument, kStep, "", message);
  };
  if (options.groups.empty())
    return wrong("--group is required with --proxy");
  if (options.write_percent < kHundred && options.read_classes.empty())
    return wrong(
        "--read-class is required with --proxy unless --writes is 100");
  if (options.write_percent > 0 && options.write_classes.empty())
    return wrong("--write-class is required with --proxy unless --writes is 0");
  if (world == nullptr)
    return Success();
  for (const GroupName& group : options.groups) {
    if (std::find(world->groups().begin(), world->groups().end(), group) ==
        world->groups().end())
      return wrong("the deployment has no group " + group.value());
  }
  for (const auto* classes : {&options.read_classes, &options.write_classes}) {
    for (const WeightedClass& item : *classes) {
      if (!world->classes().contains(item.name))
        return wrong("the deployment has no class " + item.name.value());
    }
  }
  return Success();
}

Result<void> WritePlot(const std::string& path, const BenchResult& result) {
  const bool svg = std::filesystem::path(path).extension() == ".svg";
  std::ofstream file(path, std::ios::binary | std::ios::trunc);
  file << (svg ? RenderBenchSvg(result) : RenderBenchHtml(result));
  file.close();
  if (!file)
    return Failure(ErrorCode::kInternal, "bench.plot", "",
                   "cannot write " + path);
  return Success();
}

std::string TitleOf(const BenchLine& line) {
  std::string title =
      line.proxies.empty()
          ? "deployment " + line.world.deployment + ", fault " + line.fault
          : std::to_string(line.proxies.size()) + " proxies";
  title +=
      line.load.rate > 0
          ? ", open loop"
          : ", closed loop, " + std::to_string(line.load.callers) + " callers";
  return title;
}

BenchWorldResult ResultOf(DemoWorld& world, const CountedWrites& writes) {
  BenchWorldResult result;
  result.differences = CountDifferences(world, writes);
  world.CountReads(result.replica_reads, result.reads);
  result.failovers = SummarizeFailovers(world.Timeline());
  return result;
}

Result<BenchLoadOptions> LoadOptionsOf(const BenchLine& line) {
  BenchLoadOptions options = line.load;
  options.duration = std::chrono::milliseconds(line.duration_ms);
  options.deadline = std::chrono::milliseconds(line.deadline_ms);
  // Differs between runs, so that the count of a run starts at 0.
  options.key_prefix = "bench-" + NewChangeId();
  for (const std::string& proxy : line.proxies) {
    TRY(auto endpoint, ParseEndpoint(proxy));
    options.proxies.push_back(std::move(endpoint));
  }
  for (const std::string& group : line.groups)
    options.groups.emplace_back(group);
  TRY(options.read_classes, ParseClasses(line.read_classes));
  TRY(options.write_classes, ParseClasses(line.write_classes));
  return options;
}

Result<int> RunBench(const BenchLine& line) {
  TRY(BenchLoadOptions options, LoadOptionsOf(line));
  std::unique_ptr<DemoWorld> world;
  if (line.proxies.empty()) {
    TRY(world, DemoWorld::Create(line.world));
    options.proxies = world->callers();
    if (options.groups.empty())
      options.groups = world->groups();
    AddClassesOf(world->classes(), options);
  } else if (line.fault != "none") {
    return Failure(ErrorCode::kInvalidArgument, kStep, "",
                   "--fault needs a world that this command starts; it cannot "
                   "be used with --proxy");
  }
  TRY(CheckLoad(options, world.get()));
  // A wrong file name is noticed before the load, not after it.
  if (!line.plot.empty() && !std::ofstream(line.plot, std::ios::app))
    return Failure(ErrorCode::kInvalidArgument, kStep, "",
                   "cannot write " + line.plot);
  if (world) {
    TRY(world->WaitUntilReady(line.common.timeout()));
  }

  BenchLoad load(options);
  load.Start();
  const TimePoint start = MonotonicClock::now();
  std::this_thread::sleep_for(options.duration / 3);
  if (world)
    CauseFault(*world, line.fault);
  // A drain takes a part of the time.
  std::this_thread::sleep_for(start + options.duration - MonotonicClock::now());
  load.WaitForEnded(line.requests, line.common.timeout());
  BenchResult result{TitleOf(line), load.Finish(line.common.timeout()), {}};
  if (world)
    result.world = ResultOf(*world, result.statistics.writes);

  if (!line.plot.empty()) {
    TRY(WritePlot(line.plot, result));
  }
  if (line.common.json())
    WriteBenchJson(std::cout, result);
  else if (line.common.output == "csv")
    WriteBenchCsv(std::cout, result);
  else
    WriteBenchText(std::cout, result);
  return result.right() ? kExitDone : kExitFailure;
}

void AddLoadOptions(CLI::App& bench, BenchLine& line) {
  constexpr double kMaxRate = 1'000'000;
  constexpr size_t kMaxCallers = 10'000;
  constexpr uint64_t kMaxDurationMs = 3'600'000;
  constexpr uint64_t kMaxDeadlineMs = 300'000;
  bench
      .add_option("--rate", line.load.rate,
                  "Requests per second, open loop; without it a closed loop")
      ->check(CLI::Range(0.1, kMaxRate));
  bench
      .add_option("--callers", line.load.callers,
                  "Sessions, each with at most one request at a time")
      ->check(CLI::Range(size_t{1}, kMaxCallers))
      ->capture_default_str();
  bench
      .add_option("--writes", line.load.write_percent,
                  "Share of requests that write, in percent")
      ->check(CLI::Range(0, 100))
      ->capture_default_str();
  bench.add_option("--read-class", line.read_classes,
                   "CLASS or CLASS=WEIGHT of reads; can be repeated");
  bench.add_option("--write-class", line.write_classes,
                   "CLASS or CLASS=WEIGHT of writes; can be repeated");
  bench.add_option("--group", line.groups, "Group; can be repeated");
  bench.add_option("--duration-ms", line.duration_ms, "Time of the load")
      ->check(CLI::Range(uint64_t{300}, kMaxDurationMs))
      ->capture_default_str();
  bench.add_option("--requests", line.requests,
                   "The load goes on until this many requests have ended, for "
                   "at most --timeout");
  bench
      .add_option("--deadline-ms", line.deadline_ms,
                  "Deadline that each request carries")
      ->check(CLI::Range(uint64_t{1}, kMaxDeadlineMs))
      ->capture_default_str();
  bench.add_option("--seed", line.load.seed, "Seed of the requests")
      ->capture_default_str();
}

}  // namespace

void AddBenchCommand(CLI::App& app, RunCommand& run) {
  constexpr uint64_t kDefaultTimeoutMs = 60'000;
  constexpr uint64_t kMaxAnswerTimeMs = 300'000;
  auto line = std::make_shared<BenchLine>();
  auto* bench = app.add_subcommand(
      "bench",
      "Send load to proxies, or to a deployment in this process, and print "
      "outcomes, latency and throughput.");
  auto* proxy =
      bench->add_option("--proxy", line->proxies,
                        "IP:PORT where a proxy listens for callers; can be "
                        "repeated. Without it a deployment is started");
  std::vector<CLI::Option*> of_world = {
      bench
          ->add_option("--deployment", line->world.deployment,
                       "ferreira or szamlalo")
          ->check(CLI::IsMember({"ferreira", "szamlalo"}))
          ->capture_default_str(),
      bench
          ->add_option("--proxies", line->world.proxies,
                       "Number of proxies of the deployment")
          ->check(CLI::Range(1, 16))
          ->capture_default_str(),
      bench
          ->add_option("--lag-ms", line->lag_ms,
                       "Replication lag of the deployment")
          ->check(CLI::Range(0, 10'000))
          ->capture_default_str(),
      bench
          ->add_option("--answer-time-ms", line->answer_time_ms,
                       "Answer time of every class of the deployment, in place "
                       "of that of its targets")
          ->check(CLI::Range(uint64_t{1}, kMaxAnswerTimeMs))};
  for (CLI::Option* option : of_world)
    option->excludes(proxy);
  bench
      ->add_option("--fault", line->fault,
                   "Fault after a third of the load, in the deployment")
      ->check(CLI::IsMember(kWorldFaults))
      ->capture_default_str();
  AddLoadOptions(*bench, *line);
  bench->add_option("--plot", line->plot,
                    "Write answers per second and latency over time to this "
                    "file: SVG if it ends with .svg, else an HTML page");
  line->common.timeout_ms = kDefaultTimeoutMs;
  AddTimeoutOption(*bench, line->common);
  AddOutputOption(*bench, line->common, {"text", "json", "csv"});
  bench->callback([&run, line] {
    line->world.replication_lag = std::chrono::milliseconds(line->lag_ms);
    if (line->answer_time_ms > 0)
      line->world.answer_time = std::chrono::milliseconds(line->answer_time_ms);
    run = [line] { return RunBench(*line); };
  });
}

}  // namespace jackdawturn
