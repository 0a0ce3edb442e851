#pragma once

#include <vector>

#include <boost/json/value.hpp>

#include "settings/settings.h"

namespace jackdawturn {

// Adds to `errors` every breach of a rule that a schema cannot express: names
// that must differ, addresses that must be valid and distinct, zones that must
// be listed, times that must be in order. Values with an error already are not
// reported again. Thread-safe.
void CheckRules(const Settings& settings,
                const boost::json::value& document,
                std::vector<SettingsError>& errors);

}  // namespace jackdawturn
