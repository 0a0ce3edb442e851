#pragma once

#include <string>
#include <string_view>
#include <vector>

#include <boost/json/value.hpp>

#include "settings/settings.h"

namespace jackdawturn {

// Returns every way in which `document` breaks schemas/settings.schema.json.
// Unknown keys are reported with the nearest known key. Thread-safe.
std::vector<SettingsError> CheckSchema(const boost::json::value& document);

// Returns `value` as a message may show it: never a secret, never more than a
// short line. Containers are only described. Thread-safe.
std::string ShownValue(std::string_view pointer,
                       const boost::json::value& value);

// Returns `pointer` extended by `key`, escaped as RFC 6901 requires.
std::string ChildPointer(std::string_view pointer, std::string_view key);

// Returns the word of `known` with the smallest edit distance to `word`.
// Precondition: `known` is not empty.
std::string NearestWord(std::string_view word,
                        const std::vector<std::string>& known);

}  // namespace jackdawturn
