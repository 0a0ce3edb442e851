#include <iostream>
#include <memory>
#include <string>

#include "operator_commands.h"
#include "settings/settings.h"
#include "targets/targets.h"

namespace jackdawturn {

namespace json = boost::json;

namespace {

struct CheckLine {
  std::string settings;
  std::string targets;
  OperatorLine line;
};

Result<int> Check(const CheckLine& check) {
  TRY(const std::string settings, ReadTextFile(check.settings));
  const SettingsCheck checked = CheckSettings(settings);
  targets::ParsedTargets parsed;
  if (!check.targets.empty()) {
    TRY(const std::string text, ReadTextFile(check.targets));
    parsed = targets::ParseTargets(text);
  }
  const bool valid = checked.valid() && parsed.valid();
  if (check.line.json()) {
    json::array errors;
    for (const SettingsError& error : checked.errors)
      errors.push_back(json::object{{"pointer", error.pointer},
                                    {"value", error.value},
                                    {"expected", error.expected}});
    std::cout << json::serialize(
                     json::object{{"valid", valid},
                                  {"settings", std::move(errors)},
                                  {"targets", FaultsToJson(parsed.faults)}})
              << '\n';
  } else {
    for (const SettingsError& error : checked.errors)
      std::cout << check.settings << ": " << error << '\n';
    PrintFaults(std::cout, check.targets, parsed.faults);
    if (valid)
      std::cout << "valid\n";
  }
  return valid ? kExitDone : kExitUsage;
}

}  // namespace

void AddCheckCommand(CLI::App& app, RunCommand& run) {
  auto check = std::make_shared<CheckLine>();
  auto* command = app.add_subcommand(
      "check",
      "Check settings and targets without starting anything. Exits with 0 when "
      "they are valid and with 2 otherwise.");
  command->add_option("--settings", check->settings, "Settings file in JSON")
      ->required();
  command->add_option("--targets", check->targets, "Targets file in JSON");
  AddOutputOption(*command, check->line, {"text", "json"});
  command->callback([&run, check] { run = [check] { return Check(*check); }; });
}

}  // namespace jackdawturn
