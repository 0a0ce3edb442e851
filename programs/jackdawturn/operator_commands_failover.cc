#include <iostream>
#include <memory>
#include <string>
#include <vector>

#include "operator_commands.h"
#include "ports/ports.h"

namespace jackdawturn {

namespace json = boost::json;

namespace {

struct FailoverLine {
  OperatorLine line;
  std::string group;
  std::string change;
  uint64_t expected_term = 0;
};

void PrintUnknown(const FailoverLine& failover, const std::string& change) {
  std::vector<std::string> words{"failover", failover.group};
  if (failover.expected_term != 0) {
    words.emplace_back("--expect-term");
    words.push_back(std::to_string(failover.expected_term));
  }
  PrintHowToRepeat(failover.line, std::move(words), change);
}

int Unknown(const FailoverLine& failover, const std::string& change) {
  if (failover.line.json())
    std::cout << json::serialize(
                     json::object{{"outcome", "unknown"}, {"change", change}})
              << '\n';
  PrintUnknown(failover, change);
  return kExitFailure;
}

Result<int> Failover(const FailoverLine& failover) {
  const std::string change =
      failover.change.empty() ? NewChangeId() : failover.change;
  json::object body{{"group", failover.group}, {"change", change}};
  if (failover.expected_term != 0)
    body["expected_term"] = failover.expected_term;
  const auto response = CallOperator(failover.line, "POST", "/v1/failover",
                                     json::serialize(body));
  if (!response && IsUnknown(response.error()))
    return Unknown(failover, change);
  if (!response)
    return response.error();
  if (response.value().status == kHttpOk) {
    TRY(const auto answer, ParseAnswer(response.value()));
    if (failover.line.json())
      std::cout << response.value().body << '\n';
    else
      std::cout << TextOf(answer.get_object(), "outcome")
                << " group=" << failover.group << " change=" << change << '\n';
    return kExitDone;
  }
  const Error error = DecodeError(response.value(), failover.line.address);
  const unsigned status = response.value().status;
  if (IsUnknown(error) && (status == kHttpConflict || status >= kHttpInternal))
    return Unknown(failover, change);
  if (status != kHttpConflict && status != kHttpNotFound)
    return error;
  if (failover.line.json())
    std::cout << response.value().body << '\n';
  std::cerr << "refused: " << error << '\n';
  return kExitRefused;
}

Result<int> Drain(const OperatorLine& line) {
  TRY(const auto response, CallOperator(line, "POST", "/v1/drain", ""));
  if (response.status != kHttpOk)
    return DecodeError(response, line.address);
  TRY(const auto answer, ParseAnswer(response));
  if (line.json())
    std::cout << response.body << '\n';
  else
    std::cout << TextOf(answer.get_object(), "outcome") << '\n';
  return kExitDone;
}

}  // namespace

void AddFailoverCommand(CLI::App& app, RunCommand& run) {
  auto failover = std::make_shared<FailoverLine>();
  auto* command = app.add_subcommand(
      "failover",
      "Ask for a planned change of a group's primary. Exits with 3 when the "
      "change is refused.");
  command->add_option("group", failover->group, "Name of the group")
      ->required();
  command->add_option("--expect-term", failover->expected_term,
                      "Refuse the change unless the group is in this term");
  command->add_option("--change", failover->change,
                      "Id of the change; repeating an id changes only once "
                      "(default: a new random id)");
  AddOperatorOptions(*command, failover->line);
  command->callback(
      [&run, failover] { run = [failover] { return Failover(*failover); }; });
}

void AddDrainCommand(CLI::App& app, RunCommand& run) {
  auto line = std::make_shared<OperatorLine>();
  auto* command = app.add_subcommand(
      "drain",
      "Let a proxy end its work in progress, leave the fleet and exit.");
  AddOperatorOptions(*command, *line);
  command->callback([&run, line] { run = [line] { return Drain(*line); }; });
}

}  // namespace jackdawturn
