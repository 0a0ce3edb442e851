#pragma once

#include <chrono>
#include <string>
#include <vector>

#include "core/core.h"

namespace jackdawturn {

// What a program left behind that ran to its end.
struct CommandOutput {
  // -1 after a signal.
  int exit_code = -1;
  // Standard output and error output.
  std::string out;
  std::string err;
};

// Starts `binary`, waits for its end and returns its output; a program that has
// not ended after `timeout` is killed. Errors: kInternal, kTimeout.
// Thread-safe.
Result<CommandOutput> RunToEnd(const std::string& binary,
                               const std::vector<std::string>& arguments,
                               std::chrono::milliseconds timeout);

}  // namespace jackdawturn
