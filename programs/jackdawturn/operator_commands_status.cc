#include <algorithm>
#include <iostream>
#include <memory>
#include <string>
#include <vector>

#include "operator_commands.h"
#include "ports/ports.h"

namespace jackdawturn {

namespace json = boost::json;

namespace {

using Rows = std::vector<std::vector<std::string>>;

// Largest number of log entries that an instance is behind.
std::string LargestLag(const json::object& group) {
  uint64_t largest = 0;
  for (const json::value& item : ArrayOf(group, "instances")) {
    const json::object* instance = item.if_object();
    const json::value* lag =
        instance != nullptr ? instance->if_contains("lag_entries") : nullptr;
    if (lag != nullptr && lag->is_int64())
      largest = std::max(largest, static_cast<uint64_t>(lag->get_int64()));
  }
  return std::to_string(largest);
}

// Suspicion of the primary; "-" while there is none.
std::string PrimarySuspicion(const json::object& group) {
  for (const json::value& item : ArrayOf(group, "instances")) {
    const json::object* instance = item.if_object();
    if (instance != nullptr &&
        TextOf(*instance, "name") == TextOf(group, "primary"))
      return TextOf(*instance, "suspicion");
  }
  return "-";
}

// The proxy that made the last change, and why.
std::string LastChange(const json::object& group) {
  const json::object& change = ObjectOf(group, "last_change");
  if (TextOf(change, "by") == "-" && TextOf(change, "reason") == "-")
    return "-";
  return TextOf(change, "by") + ": " + TextOf(change, "reason");
}

void WriteGroups(const json::object& status) {
  Rows rows{{"GROUP", "PRIMARY", "TERM", "PHASE", "STATE", "LAG", "SUSPICION",
             "LAST CHANGE"}};
  for (const json::value& item : ArrayOf(status, "groups")) {
    if (const json::object* group = item.if_object())
      rows.push_back({TextOf(*group, "name"), TextOf(*group, "primary"),
                      TextOf(*group, "term"), TextOf(*group, "phase"),
                      TextOf(*group, "state"), LargestLag(*group),
                      PrimarySuspicion(*group), LastChange(*group)});
  }
  WriteTable(std::cout, rows);
}

void WriteInstances(const json::object& status) {
  Rows rows{{"GROUP", "INSTANCE", "POSITION", "LAG", "SUSPICION", "READABLE"}};
  for (const json::value& item : ArrayOf(status, "groups")) {
    const json::object* group = item.if_object();
    if (group == nullptr)
      continue;
    for (const json::value& member : ArrayOf(*group, "instances")) {
      if (const json::object* instance = member.if_object())
        rows.push_back({TextOf(*group, "name"), TextOf(*instance, "name"),
                        TextOf(ObjectOf(*instance, "report"), "position"),
                        TextOf(*instance, "lag_entries"),
                        TextOf(*instance, "suspicion"),
                        TextOf(*instance, "readable")});
    }
  }
  WriteTable(std::cout, rows);
}

void WriteMembers(const json::object& status) {
  Rows rows{{"MEMBER", "ZONE", "SUSPECT", "LEAVING"}};
  for (const json::value& item : ArrayOf(status, "members")) {
    if (const json::object* member = item.if_object())
      rows.push_back({TextOf(*member, "vm"), TextOf(*member, "zone"),
                      TextOf(*member, "suspect"), TextOf(*member, "leaving")});
  }
  WriteTable(std::cout, rows);
}

void WriteStatus(const json::object& status) {
  for (const char* name : {"vm", "zone", "joined", "leaving", "cut_off",
                           "targets_version", "targets_age_ms"})
    std::cout << name << '=' << TextOf(status, name) << ' ';
  std::cout << "replica_reads=" << TextOf(status, "replica_reads")
            << " primary_reads=" << TextOf(status, "primary_reads") << "\n\n";
  WriteGroups(status);
  std::cout << '\n';
  WriteInstances(status);
  std::cout << '\n';
  WriteMembers(status);
}

Result<int> Status(const OperatorLine& line) {
  return PrintAnswer(line, "/v1/status", WriteStatus);
}

}  // namespace

void AddStatusCommand(CLI::App& app, RunCommand& run) {
  auto line = std::make_shared<OperatorLine>();
  auto* command = app.add_subcommand(
      "status", "Show the groups, instances and members as a proxy sees them.");
  AddOperatorOptions(*command, *line);
  command->callback([&run, line] { run = [line] { return Status(*line); }; });
}

}  // namespace jackdawturn
