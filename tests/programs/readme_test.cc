#include <algorithm>
#include <fstream>
#include <sstream>
#include <string>
#include <vector>

#include "programs/command_support.h"

namespace jackdawturn {

// Commands of README.md that need a running fleet or do not end.
static bool NeedsFleet(const std::vector<std::string>& words) {
  const auto names = [&](const char* word) {
    return std::find(words.begin(), words.end(), word) != words.end();
  };
  return words.empty() || words.front() == "serve" || names("--address") ||
         names("--proxy");
}

// Returns the words of each indented line of README.md that begins with the
// name of the program, and of each such command within backquotes.
static std::vector<std::vector<std::string>> ReadmeCommands() {
  constexpr std::string_view kIndented = "    jackdawturn ";
  constexpr std::string_view kQuoted = "`jackdawturn ";
  std::vector<std::string> lines;
  std::ifstream file(SourcePath("README.md"));
  for (std::string line; std::getline(file, line);) {
    if (line.starts_with(kIndented))
      lines.push_back(line.substr(kIndented.size()));
    for (size_t at = line.find(kQuoted); at != std::string::npos;
         at = line.find(kQuoted, at + 1)) {
      const size_t begin = at + kQuoted.size();
      lines.push_back(line.substr(begin, line.find('`', begin) - begin));
    }
  }
  std::vector<std::vector<std::string>> commands;
  for (const std::string& line : lines) {
    std::istringstream text(line);
    commands.emplace_back();
    for (std::string word; text >> word && word != "#";)
      commands.back().push_back(word);
  }
  return commands;
}

// Guards against a README whose commands no longer run as they are written.
Test(readme, commands_run, .timeout = 240) {
  size_t run = 0;
  for (std::vector<std::string> words : ReadmeCommands()) {
    if (NeedsFleet(words))
      continue;
    const bool loads = words.front() == "demo" || words.front() == "bench";
    if (loads &&
        std::find(words.begin(), words.end(), "--duration-ms") == words.end())
      words.insert(words.end(), {"--duration-ms", "900"});
    // A rate at which each request finds a free session on any machine.
    const auto rate = std::find(words.begin(), words.end(), "--rate");
    if (rate != words.end())
      *std::next(rate) = "20";
    if (words.front() == "bench")
      words.insert(words.end(),
                   {"--answer-time-ms", "30000", "--deadline-ms", "30000"});
    for (std::string& word : words) {
      if (word.starts_with("examples/"))
        word = SourcePath(word);
    }
    const CommandOutput output = Run(words);
    cr_assert_eq(output.exit_code, 0, "%s: exit code %d\n%s",
                 words.front().c_str(), output.exit_code, output.err.c_str());
    ++run;
  }
  // The test would pass without a word if it no longer found the commands.
  cr_assert_geq(run, 3);
}

}  // namespace jackdawturn
