#include "support/source_paths.h"

namespace jackdawturn {

// The only file that is compiled with paths of this checkout, so that builds in
// different folders share the rest of the compiler cache.
std::string BinaryPath() {
  return JACKDAWTURN_BINARY;
}

std::string SourcePath(const std::string& file) {
  return std::string(JACKDAWTURN_SOURCE_FOLDER) + "/" + file;
}

}  // namespace jackdawturn
