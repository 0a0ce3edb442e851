#pragma once

#include <string_view>
#include <vector>

#include <boost/json/value.hpp>

#include "settings/settings.h"

namespace jackdawturn {

// Parses `text` into `document`. Adds an error, which quotes nothing of the
// text, for a fault of the syntax and for each key that an object has twice.
// Integers above the range of int64_t become doubles. Returns false when there
// is no document. Never throws. Thread-safe.
bool ParseJson(std::string_view text,
               boost::json::value& document,
               std::vector<SettingsError>& errors);

}  // namespace jackdawturn
