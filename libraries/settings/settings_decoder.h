#pragma once

#include <boost/json/value.hpp>

#include "settings/settings.h"

namespace jackdawturn {

// Returns the settings in `document`. A value that is absent or of a wrong type
// leaves the default, and lists keep their length, so that the rules can check
// a document in which the schema has found faults. Never throws. Thread-safe.
Settings DecodeSettings(const boost::json::value& document);

}  // namespace jackdawturn
