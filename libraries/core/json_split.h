#pragma once

#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "core/error.h"

namespace jackdawturn {

// Splits JSON text into the texts of its parts without reading them, so that
// one part that cannot be parsed (nested too deeply, a number out of range,
// invalid UTF-8) does not make the others unreadable. The parts refer to `text`
// and are not known to be valid JSON. Errors: kInvalidArgument with the step.
// Thread-safe; uses constant stack space for any nesting.

// Returns the texts of an array's elements.
Result<std::vector<std::string_view>> SplitJsonArray(std::string_view text,
                                                     const std::string& step);

// Returns the texts of an object's members by name. Names with escape sequences
// are left out.
Result<std::map<std::string, std::string_view, std::less<>>> SplitJsonObject(
    std::string_view text,
    const std::string& step);

}  // namespace jackdawturn
