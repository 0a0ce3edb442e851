#pragma once

#include <string>
#include <vector>

#include <boost/json/fwd.hpp>

#include "targets/class_targets.h"

namespace jackdawturn::targets {

// Reads an object with a key for each class and appends all faults to `faults`,
// with JSON pointers that begin with `pointer`. Unknown keys of a class are
// faults unless `allow_unknown` is true. Thread-safe.
ClassTargets ReadClasses(const boost::json::value& value,
                         const std::string& pointer,
                         bool allow_unknown,
                         std::vector<DocumentFault>& faults);

}  // namespace jackdawturn::targets
