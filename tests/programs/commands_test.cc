#include <fstream>
#include <sstream>
#include <string>
#include <vector>

#include "programs/command_support.h"

namespace jackdawturn {

static const std::string kExampleSettings =
    SourcePath("examples/ferreira/entry-a1.json");

static std::string ReadText(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

struct CheckRow {
  // Replaces `from` in the example settings; nothing if empty.
  const char* from;
  const char* to;
  const char* targets;
  int exit_code;
  std::vector<std::string> out;
};

static const CheckRow kCheckRows[] = {
    {"", "", kGoodTargets, 0, {"valid"}},
    {R"("port": 8080)",
     R"("port": 70000)",
     kGoodTargets,
     2,
     {"/listen/callers/port", "70000", "65535"}},
    {R"("vm": "entry-a1")",
     R"("vmm": "entry-a1")",
     kGoodTargets,
     2,
     {"/vmm", R"("vm")"}},
    {R"("zone": "uy-sur-a")", R"("zone": 7)", kGoodTargets, 2, {"/zone"}},
    {"{", "[", kGoodTargets, 2, {"pointer="}},
    // Faults of both files are named in one run.
    {R"("port": 8080)",
     R"("port": 0)",
     R"({"classes": {"a": {"allowed_age_ms": -1, "answer_time_ms": 0,)"
     R"( "repeatable": false}}})",
     2,
     {"/listen/callers/port", "/classes/a/allowed_age_ms",
      "/classes/a/answer_time_ms"}},
    {"", "", R"({"classes": {"a": {"weight": 1}}})", 2, {"/classes/a/weight"}},
    {"", "", "{", 2, {"pointer="}},
};

// Guards against a check that accepts a wrong file, names another place than
// the faulty one, or ends at the first fault.
TABLE_TEST(commands, check, kCheckRows) {
  const CheckRow& row = kCheckRows[*row_index];
  std::string settings = ReadText(kExampleSettings);
  const std::string from = row.from;
  const size_t place = settings.find(from);
  cr_assert_neq(place, std::string::npos);
  settings.replace(place, from.size(), row.to);
  Folder folder;
  ExpectRun({"check", "--settings", folder.Write("settings.json", settings),
             "--targets", folder.Write("targets.json", row.targets)},
            row.exit_code, row.out, {});
}

struct TargetsCheckRow {
  const char* document;
  int exit_code;
  std::vector<std::string> out;
};

static const TargetsCheckRow kTargetsCheckRows[] = {
    {kGoodTargets, 0, {"valid: 1 classes"}},
    {R"({"classes": {"a": {"allowed_age_ms": "none", "answer_time_ms": 1,)"
     R"( "repeatable": 1}, "b": 2}})",
     2,
     {"/classes/a/repeatable", "/classes/b"}},
    {R"({"classes": {"a": {"allowed_age_ms": 5, "answer_time_ms": 1,)"
     R"( "repeatable": true, "repeatabel": true}}})",
     2,
     {"/classes/a/repeatabel", "repeatable"}},
    {"", 2, {"pointer="}},
};

// Guards against a targets file that is accepted here and refused by a proxy.
TABLE_TEST(commands, targets_check, kTargetsCheckRows) {
  const TargetsCheckRow& row = kTargetsCheckRows[*row_index];
  Folder folder;
  ExpectRun({"targets", "check", folder.Write("targets.json", row.document)},
            row.exit_code, row.out, {});
}

struct WrongLine {
  std::vector<std::string> arguments;
};

static const WrongLine kWrongLines[] = {
    {{"status"}},
    {{"status", "--address", "host:1", "--key-file", "KEY"}},
    {{"status", "--address", "127.0.0.1:1", "--key-file", "EMPTY"}},
    {{"status", "--address", "127.0.0.1:1", "--key-file", "/absent"}},
    {{"status", "--address", "127.0.0.1:1", "--key-file", "KEY", "--timeout",
      "0"}},
    {{"status", "--address", "127.0.0.1:1", "--key-file", "KEY", "--output",
      "yaml"}},
    {{"check", "--settings", "/absent"}},
    {{"targets"}},
    {{"targets", "set", "EMPTY", "--address", "127.0.0.1:1", "--key-file",
      "KEY"}},
    {{"timeline", "--address", "127.0.0.1:1", "--key-file", "KEY", "--kind",
      "nothing"}},
    {{"tally", "--instance", "i1"}},
    {{"tally", "--instance", "i1=127.0.0.1:1", "--instance", "i2=127.0.0.1:1"}},
    {{"tally", "--instance", "i1=127.0.0.1:1", "--from", "2026-02-30"}},
};

// Guards against a wrong command line that is sent, or that gets the exit code
// of a proxy that did not answer.
TABLE_TEST(commands, wrong_line, kWrongLines) {
  Folder folder;
  std::vector<std::string> arguments = kWrongLines[*row_index].arguments;
  for (std::string& argument : arguments) {
    if (argument == "KEY")
      argument = folder.Write("key", "the key\n");
    else if (argument == "EMPTY")
      argument = folder.Write("empty", "\n");
  }
  ExpectRun(arguments, 2, {}, {});
}

}  // namespace jackdawturn
