#pragma once

#include <unistd.h>

#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <string>
#include <utility>
#include <vector>

#include "core/core.h"
#include "support/command_run.h"
#include "support/source_paths.h"

// Criterion comes after the Boost headers.
#include "support/table_test.h"

namespace jackdawturn {

// Far above what any command needs; reached only by one that hangs.
inline constexpr std::chrono::milliseconds kEndOfCommand{300'000};
inline const char* const kGoodTargets =
    R"({"classes": {"counts": {"allowed_age_ms": "none", )"
    R"("answer_time_ms": 300, "repeatable": false}}})";

// A folder for the files of one test, removed at its end.
class Folder {
 public:
  Folder() {
    char name[] = "/tmp/jackdawturn_commands_XXXXXX";
    cr_assert(mkdtemp(name) != nullptr);
    m_path = name;
  }
  ~Folder() {
    for (const std::string& file : m_files)
      std::remove(file.c_str());
    rmdir(m_path.c_str());
  }
  Folder(const Folder&) = delete;
  Folder& operator=(const Folder&) = delete;

  std::string Write(const std::string& name, const std::string& text) {
    m_files.push_back(m_path + "/" + name);
    std::ofstream(m_files.back(), std::ios::binary) << text;
    return m_files.back();
  }

 private:
  std::string m_path;
  std::vector<std::string> m_files;
};

inline CommandOutput Run(const std::vector<std::string>& arguments) {
  auto output = RunToEnd(BinaryPath(), arguments, kEndOfCommand);
  cr_assert(output.has_value(), "%s", output.error().message.c_str());
  return std::move(output).value();
}

inline bool Holds(const std::string& text, const std::string& part) {
  return text.find(part) != std::string::npos;
}

inline void ExpectRun(const std::vector<std::string>& arguments,
                      int exit_code,
                      const std::vector<std::string>& out,
                      const std::vector<std::string>& err) {
  const CommandOutput output = Run(arguments);
  cr_assert_eq(output.exit_code, exit_code, "exit code %d\n%s\n%s",
               output.exit_code, output.out.c_str(), output.err.c_str());
  for (const std::string& part : out)
    cr_assert(Holds(output.out, part), "no %s in the output\n%s", part.c_str(),
              output.out.c_str());
  for (const std::string& part : err)
    cr_assert(Holds(output.err, part), "no %s in the error output\n%s",
              part.c_str(), output.err.c_str());
}

}  // namespace jackdawturn
