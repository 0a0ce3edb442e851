#pragma once

#include <string>

namespace jackdawturn {

// Path of the program under test. Thread-safe.
std::string BinaryPath();

// Path of a file of the source tree, for example "docs/charts.md". Thread-safe.
std::string SourcePath(const std::string& file);

}  // namespace jackdawturn
