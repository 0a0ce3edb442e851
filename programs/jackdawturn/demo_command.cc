#include <algorithm>
#include <fstream>
#include <iomanip>
#include <iostream>
#include <memory>
#include <string>
#include <thread>

#include <boost/json.hpp>

#include "commands.h"
#include "demo_load.h"
#include "demo_world.h"
#include "world_checks.h"

namespace jackdawturn {

namespace {

struct DemoLine {
  DemoOptions world;
  std::string fault = "none";
  uint64_t duration_ms = 3'000;
  uint64_t lag_ms = 5;
  std::string page;
  std::string output = "text";
};

struct DemoResult {
  DemoTally tally;
  std::vector<CountDifference> differences;
  uint64_t replica_reads = 0;
  uint64_t reads = 0;
  std::vector<FailoverSummary> failovers;
};

// The callers of the demo send no wrong request.
bool AnyInvalid(const DemoTally& tally) {
  return tally.transactions.invalid != 0 ||
         std::any_of(tally.classes.begin(), tally.classes.end(),
                     [](const auto& item) { return item.second.invalid != 0; });
}

void PrintText(const DemoLine& line, const DemoResult& result) {
  constexpr int kNameWidth = 22;
  constexpr int kCountWidth = 9;
  const auto cell = [](auto value) {
    std::cout << std::setw(kCountWidth) << value;
  };
  std::cout << "deployment " << line.world.deployment << ", fault "
            << line.fault << '\n'
            << std::left << std::setw(kNameWidth) << "class" << std::right;
  for (const char* title :
       {"done", "not_run", "unknown", "resolved", "invalid"})
    cell(title);
  std::cout << '\n';
  const auto row = [&cell](const std::string& name, const ClassCounts& counts) {
    std::cout << std::left << std::setw(kNameWidth) << name << std::right;
    for (const uint64_t count : {counts.done, counts.not_run, counts.unknown,
                                 counts.resolved, counts.invalid})
      cell(count);
    std::cout << '\n';
  };
  for (const auto& [name, counts] : result.tally.classes)
    row(name.value(), counts);
  row("transactions", result.tally.transactions);
  std::cout << "transactions rolled back by their callers: "
            << result.tally.rolled_back << '\n';
  for (const auto& [reason, count] : result.tally.refusals)
    std::cout << "not run because of " << reason << ": " << count << '\n';
  for (const auto& [reason, count] : result.tally.open_outcomes)
    std::cout << "outcome left open because of " << reason << ": " << count
              << '\n';
  constexpr double kPercent = 100;
  if (result.reads > 0)
    std::cout << "reads served by replicas: " << std::fixed
              << std::setprecision(1)
              << kPercent * static_cast<double>(result.replica_reads) /
                     static_cast<double>(result.reads)
              << "%\n";
  for (const FailoverSummary& failover : result.failovers) {
    std::cout << "failover of " << failover.group << " to " << failover.promoted
              << " in term " << failover.term << ": gap ";
    if (const auto gap = failover.gap())
      std::cout << ToMilliseconds(*gap) << " ms\n";
    else
      std::cout << "unknown\n";
  }
  std::cout << "reads behind their session: " << result.tally.stale_reads
            << "\nwrites without a final outcome: " << result.tally.unresolved
            << "\ncounts that differ from the database: "
            << result.differences.size() << '\n';
  for (const CountDifference& difference : result.differences)
    std::cout << "  " << difference.key << " in " << difference.group
              << ": its caller counted " << difference.counted
              << ", the database holds " << difference.stored << '\n';
}

boost::json::object ToJson(const ClassCounts& counts) {
  return {{"done", counts.done},
          {"not_run", counts.not_run},
          {"unknown", counts.unknown},
          {"resolved", counts.resolved},
          {"invalid", counts.invalid}};
}

void PrintJson(const DemoLine& line, const DemoResult& result) {
  boost::json::object classes;
  for (const auto& [name, counts] : result.tally.classes)
    classes[name.value()] = ToJson(counts);
  boost::json::array failovers;
  for (const FailoverSummary& failover : result.failovers) {
    boost::json::object object{{"group", failover.group.value()},
                               {"term", failover.term.value},
                               {"promoted", failover.promoted.value()}};
    if (const auto gap = failover.gap())
      object["gap_ms"] = ToMilliseconds(*gap);
    failovers.push_back(std::move(object));
  }
  std::cout << boost::json::serialize(boost::json::object{
                   {"deployment", line.world.deployment},
                   {"fault", line.fault},
                   {"classes", std::move(classes)},
                   {"transactions", ToJson(result.tally.transactions)},
                   {"rolled_back", result.tally.rolled_back},
                   {"reads", result.reads},
                   {"replica_reads", result.replica_reads},
                   {"failovers", std::move(failovers)},
                   {"stale_reads", result.tally.stale_reads},
                   {"unresolved", result.tally.unresolved},
                   {"wrong_counts", result.differences.size()}})
            << '\n';
}

Result<int> RunDemo(const DemoLine& line) {
  constexpr Duration kReadyTimeout = std::chrono::seconds(60);
  constexpr Duration kResolveLimit = std::chrono::seconds(60);
  TRY(const auto world, DemoWorld::Create(line.world));
  TRY(world->WaitUntilReady(kReadyTimeout));
  DemoLoadOptions load_options;
  load_options.proxies = world->callers();
  load_options.groups = world->groups();
  load_options.classes = world->classes();
  DemoLoad load(load_options);
  load.Start();
  const std::chrono::milliseconds third(line.duration_ms / 3);
  std::this_thread::sleep_for(third);
  CauseFault(*world, line.fault);
  std::this_thread::sleep_for(2 * third);

  DemoResult result;
  result.tally = load.Finish(kResolveLimit);
  result.differences = CountDifferences(*world, result.tally.writes);
  world->CountReads(result.replica_reads, result.reads);
  const std::vector<TimelineEvent> events = world->Timeline();
  result.failovers = SummarizeFailovers(events);
  if (!line.page.empty())
    std::ofstream(line.page) << RenderHtml(events);
  if (line.output == "json")
    PrintJson(line, result);
  else
    PrintText(line, result);
  const bool right = result.differences.empty() &&
                     result.tally.stale_reads == 0 &&
                     result.tally.unresolved == 0 && !AnyInvalid(result.tally);
  return right ? kExitDone : kExitFailure;
}

}  // namespace

void AddDemoCommand(CLI::App& app, RunCommand& run) {
  auto line = std::make_shared<DemoLine>();
  auto* demo = app.add_subcommand(
      "demo",
      "Run stand-ins, proxies and callers in this process, cause a fault, and "
      "compare the callers' counts with the databases.");
  demo->add_option("--deployment", line->world.deployment,
                   "ferreira or szamlalo")
      ->check(CLI::IsMember({"ferreira", "szamlalo"}));
  demo->add_option("--fault", line->fault,
                   "none, primary, silent, platform, proxy or drain")
      ->check(CLI::IsMember(kWorldFaults));
  demo->add_option("--proxies", line->world.proxies, "Number of proxies")
      ->check(CLI::Range(1, 16));
  demo->add_option("--duration-ms", line->duration_ms,
                   "Time of the load; the fault comes after a third of it")
      ->check(CLI::Range(300, 600'000));
  demo->add_option("--lag-ms", line->lag_ms, "Replication lag")
      ->check(CLI::Range(0, 10'000));
  demo->add_option("--page", line->page,
                   "Write the time line to this file as an HTML page");
  demo->add_option("--output", line->output, "text or json")
      ->check(CLI::IsMember({"text", "json"}));
  demo->add_flag("--log", line->world.log_events, "Log the events of proxies");
  demo->callback([&run, line] {
    line->world.replication_lag = std::chrono::milliseconds(line->lag_ms);
    run = [line] { return RunDemo(*line); };
  });
}

}  // namespace jackdawturn
