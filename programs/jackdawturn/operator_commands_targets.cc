#include <iostream>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "operator_commands.h"
#include "ports/ports.h"
#include "targets/targets.h"

namespace jackdawturn {

namespace json = boost::json;

namespace {

struct EditLine {
  OperatorLine line;
  // Empty for a rollback.
  std::string file;
  std::optional<uint64_t> expected;
  std::optional<uint64_t> wait_ms;
  std::string change;
};

// Writes one line for each class, so that a file is easily edited and compared.
void WriteDocument(std::ostream& out, const json::object& document) {
  const json::object& classes = ObjectOf(document, "classes");
  out << "{\"classes\": {";
  const char* separator = "\n";
  for (const auto& [name, target] : classes) {
    out << separator << "  " << json::serialize(json::string(name)) << ": "
        << json::serialize(target);
    separator = ",\n";
  }
  out << "\n}}\n";
}

Result<int> Get(const OperatorLine& line) {
  // The output is a document that `targets set` accepts; the rest is for the
  // reader.
  return PrintAnswer(line, "/v1/targets", [](const json::object& object) {
    std::cerr << "version=" << TextOf(object, "version")
              << " change=" << TextOf(object, "change")
              << " age_ms=" << TextOf(object, "age_ms") << '\n';
    WriteDocument(std::cout, ObjectOf(object, "document"));
  });
}

int PrintParsed(const OperatorLine& line,
                const std::string& file,
                const targets::ParsedTargets& parsed) {
  if (line.json())
    std::cout << json::serialize(
                     json::object{{"valid", parsed.valid()},
                                  {"faults", FaultsToJson(parsed.faults)}})
              << '\n';
  else
    PrintFaults(std::cout, file, parsed.faults);
  return parsed.valid() ? kExitDone : kExitUsage;
}

Result<int> CheckFile(const OperatorLine& line, const std::string& file) {
  TRY(const std::string text, ReadTextFile(file));
  const targets::ParsedTargets parsed = targets::ParseTargets(text);
  const int exit_code = PrintParsed(line, file, parsed);
  if (parsed.valid() && !line.json())
    std::cout << "valid: " << parsed.classes.size() << " classes\n";
  return exit_code;
}

int PrintUnknown(const EditLine& edit, const std::string& change) {
  std::vector<std::string> words{"targets"};
  if (edit.file.empty())
    words.emplace_back("rollback");
  else
    words.insert(words.end(), {"set", edit.file});
  const auto add = [&words](const char* name, const auto& value) {
    if (value)
      words.insert(words.end(), {name, std::to_string(*value)});
  };
  add("--expect", edit.expected);
  add("--wait", edit.wait_ms);
  if (edit.line.json())
    std::cout << json::serialize(
                     json::object{{"outcome", "unknown"}, {"change", change}})
              << '\n';
  PrintHowToRepeat(edit.line, std::move(words), change);
  return kExitFailure;
}

// Prints what is known of the proxies that do not run the version yet.
int PrintSpread(const EditLine& edit, const json::object& answer) {
  const json::value* everywhere = answer.if_contains("in_force_everywhere");
  if (everywhere == nullptr || *everywhere == json::value(true))
    return kExitDone;
  if (edit.line.json())
    return kExitFailure;
  std::cout << "not in force everywhere; proxies asked: "
            << TextOf(answer, "proxies") << '\n';
  for (const json::value& name : ArrayOf(answer, "behind"))
    if (name.is_string())
      std::cout << "behind " << std::string_view(name.get_string()) << '\n';
  for (const json::value& zone : ArrayOf(answer, "silent_zones"))
    if (zone.is_string())
      std::cout << "no answer from zone " << std::string_view(zone.get_string())
                << '\n';
  return kExitFailure;
}

int PrintAccepted(const EditLine& edit,
                  const json::object& answer,
                  const std::string& change) {
  if (!edit.line.json())
    std::cout << TextOf(answer, "outcome")
              << " version=" << TextOf(answer, "version")
              << " change=" << change << '\n';
  return PrintSpread(edit, answer);
}

Result<int> PrintEdited(const EditLine& edit,
                        const HttpResponse& response,
                        const std::string& change) {
  const auto parsed = ParseAnswer(response);
  const json::object none;
  const json::object& answer = parsed ? parsed.value().get_object() : none;
  const std::string outcome = TextOf(answer, "outcome");
  if (response.status == kHttpTimeout || outcome == "unknown" || !parsed)
    return PrintUnknown(edit, change);
  // An answer without an outcome is an error of the operator interface.
  if (outcome == "-")
    return DecodeError(response, edit.line.address);
  if (edit.line.json())
    std::cout << response.body << '\n';
  if (outcome == "conflict") {
    std::cerr << "refused: another change came first; the targets are now at "
                 "version "
              << TextOf(answer, "version") << '\n';
    if (!edit.line.json())
      std::cout << "from the file to what is stored:\n"
                << TextOf(answer, "difference");
    return kExitRefused;
  }
  if (outcome == "invalid") {
    for (const json::value& fault : ArrayOf(answer, "faults"))
      if (const json::object* object = fault.if_object())
        std::cerr << TextOf(*object, "pointer") << ": "
                  << TextOf(*object, "message") << '\n';
    return kExitUsage;
  }
  if (outcome != "accepted" && outcome != "unchanged") {
    std::cerr << "the targets were not changed: " << outcome << '\n';
    return kExitFailure;
  }
  return PrintAccepted(edit, answer, change);
}

Result<int> Edit(const EditLine& edit) {
  const std::string change = edit.change.empty() ? NewChangeId() : edit.change;
  json::object body{{"change", change}};
  if (edit.expected)
    body["expected_version"] = *edit.expected;
  if (edit.wait_ms)
    body["wait_ms"] = *edit.wait_ms;
  if (!edit.file.empty()) {
    TRY(const std::string text, ReadTextFile(edit.file));
    const targets::ParsedTargets parsed = targets::ParseTargets(text);
    if (!parsed.valid())
      return PrintParsed(edit.line, edit.file, parsed);
    body["document"] = targets::ToJson(parsed.classes);
  }
  const auto response =
      CallOperator(edit.line, "POST",
                   edit.file.empty() ? "/v1/targets/rollback" : "/v1/targets",
                   json::serialize(body),
                   std::chrono::milliseconds(edit.wait_ms.value_or(0)));
  if (!response && IsUnknown(response.error()))
    return PrintUnknown(edit, change);
  if (!response)
    return response.error();
  return PrintEdited(edit, response.value(), change);
}

void AddEditOptions(CLI::App& command, EditLine& edit) {
  constexpr uint64_t kMaxWaitMs = 60'000;
  command.add_option("--expect", edit.expected,
                     "Refuse the change unless the targets have this version");
  command
      .add_option("--wait", edit.wait_ms,
                  "Wait this long, in milliseconds, until all proxies run the "
                  "version; exits with 1 if some do not")
      ->check(CLI::Range(uint64_t{1}, kMaxWaitMs));
  command.add_option("--change", edit.change,
                     "Id of the change; repeating an id changes only once "
                     "(default: a new random id)");
  AddOperatorOptions(command, edit.line);
}

}  // namespace

void PrintFaults(std::ostream& out,
                 const std::string& file,
                 const std::vector<targets::DocumentFault>& faults) {
  for (const targets::DocumentFault& fault : faults)
    out << file << ": pointer=\"" << fault.pointer << "\" " << fault.message
        << '\n';
}

json::array FaultsToJson(const std::vector<targets::DocumentFault>& faults) {
  json::array array;
  for (const targets::DocumentFault& fault : faults)
    array.push_back(
        json::object{{"pointer", fault.pointer}, {"message", fault.message}});
  return array;
}

void AddTargetsCommands(CLI::App& app, RunCommand& run) {
  auto* targets =
      app.add_subcommand("targets", "Read, check and change the targets.");
  targets->require_subcommand(1);

  auto line = std::make_shared<OperatorLine>();
  auto* get = targets->add_subcommand(
      "get", "Print the targets in force as a document for `targets set`.");
  AddOperatorOptions(*get, *line);
  get->callback([&run, line] { run = [line] { return Get(*line); }; });

  auto edit = std::make_shared<EditLine>();
  auto* set = targets->add_subcommand(
      "set",
      "Replace the targets. Exits with 2 when the document is wrong and with 3 "
      "when another change came first.");
  set->add_option("file", edit->file, "Targets file in JSON")->required();
  AddEditOptions(*set, *edit);
  set->callback([&run, edit] { run = [edit] { return Edit(*edit); }; });

  auto rollback_edit = std::make_shared<EditLine>();
  auto* rollback = targets->add_subcommand(
      "rollback", "Make the targets before the last change a new version.");
  AddEditOptions(*rollback, *rollback_edit);
  rollback->callback([&run, rollback_edit] {
    run = [rollback_edit] { return Edit(*rollback_edit); };
  });

  auto file = std::make_shared<std::string>();
  auto check_line = std::make_shared<OperatorLine>();
  auto* check = targets->add_subcommand(
      "check", "Check a targets file and print every fault.");
  check->add_option("file", *file, "Targets file in JSON")->required();
  AddOutputOption(*check, *check_line, {"text", "json"});
  check->callback([&run, file, check_line] {
    run = [file, check_line] { return CheckFile(*check_line, *file); };
  });
}

}  // namespace jackdawturn
