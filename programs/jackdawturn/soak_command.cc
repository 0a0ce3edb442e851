#include <stdlib.h>

#include <cstdint>
#include <filesystem>
#include <iostream>
#include <memory>
#include <string>

#include <boost/json.hpp>

#include "commands.h"
#include "soak/soak.h"

namespace jackdawturn {

namespace {

struct SoakLine {
  uint64_t seed = 1;
  unsigned seconds = 20;
  size_t gateways = 3;
  std::string output = "text";
};

boost::json::object ToJson(const std::map<std::string, uint64_t>& counts) {
  boost::json::object object;
  for (const auto& [name, count] : counts)
    object[name] = count;
  return object;
}

boost::json::object ToJson(const SoakLine& line,
                           const soak::SoakReport& report) {
  boost::json::object object{
      {"seed", line.seed},
      {"seconds", line.seconds},
      {"gateways", line.gateways},
      {"violation", nullptr},
      {"requests", report.tally.requests},
      {"done", report.tally.done},
      {"errors", ToJson(report.tally.errors)},
      {"unanswered", report.tally.unanswered},
      {"connections", report.tally.connections},
      {"reads_checked", report.tally.reads_checked},
      {"commits_acknowledged", report.tally.commits_acknowledged},
      {"commits", report.commits},
      {"rolled_back", report.rolled_back},
      {"promotions", report.promotions},
      {"promotion_calls", report.promotion_calls},
      {"store_calls", report.store_calls},
      {"statements_at_instances", report.statements_at_instances},
      {"killed_after_grace", report.killed_after_grace},
      {"faults", ToJson(report.faults)}};
  if (report.violation)
    object["violation"] =
        boost::json::object{{"rule", soak::ToString(report.violation->rule)},
                            {"detail", report.violation->detail}};
  return object;
}

Result<int> Soak(const SoakLine& line) {
  namespace fs = std::filesystem;
  std::error_code error;
  std::string folder =
      (fs::temp_directory_path(error) / "jackdawturn-soak-XXXXXX").string();
  if (error || !mkdtemp(folder.data()))
    return Failure(ErrorCode::kInternal, "soak.folder", folder,
                   "cannot be created");
  const bool json = line.output == "json";
  soak::SoakOptions options{
      .seed = line.seed,
      .time = std::chrono::seconds(line.seconds),
      .gateways = line.gateways,
      .binary = fs::read_symlink("/proc/self/exe", error).string(),
      .folder = folder,
      .on_event = [json](const std::string& text) {
        (json ? std::cerr : std::cout) << text << std::endl;
      }};
  options.on_event("seed " + std::to_string(line.seed) + ", schedule:");
  for (const soak::Fault& fault : soak::MakeSchedule(
           {line.seed, options.time, line.gateways, soak::kGroups}))
    options.on_event(soak::ToString(fault));
  const auto result = soak::RunSoak(options);
  if (!result) {
    std::cerr << "logs of the gateways: " << folder << '\n';
    return result.error();
  }
  const soak::SoakReport& report = result.value();
  const boost::json::object object = ToJson(line, report);
  if (json) {
    std::cout << boost::json::serialize(object) << std::endl;
  } else {
    for (const auto& [name, value] : object)
      std::cout << name << ": " << value << '\n';
  }
  if (!report.violation) {
    fs::remove_all(folder, error);
    return kExitDone;
  }
  std::cerr << "jackdawturn: broken: " << soak::ToString(report.violation->rule)
            << ", " << report.violation->detail << ", seed " << line.seed
            << "; logs of the gateways: " << folder << '\n';
  return kExitFailure;
}

}  // namespace

void AddSoakCommand(CLI::App& app, RunCommand& run) {
  constexpr unsigned kMaxSeconds = 86'400;
  constexpr size_t kMaxGateways = 8;
  auto line = std::make_shared<SoakLine>();
  auto* soak = app.add_subcommand(
      "soak", "Run gateways under random faults and check their promises.");
  soak->add_option("--seed", line->seed, "Seed of the faults and callers");
  soak->add_option("--seconds", line->seconds, "How long faults are caused")
      ->check(CLI::Range(1U, kMaxSeconds));
  soak->add_option("--gateways", line->gateways, "Gateway processes")
      ->check(CLI::Range(size_t{1}, kMaxGateways));
  soak->add_option("--output", line->output, "text or json")
      ->check(CLI::IsMember({"text", "json"}));
  soak->callback([&run, line] { run = [line] { return Soak(*line); }; });
}

}  // namespace jackdawturn
