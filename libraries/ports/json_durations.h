#pragma once

#include <chrono>
#include <string>
#include <string_view>

#include "core/core.h"

namespace jackdawturn {

// Longer times in a message would overflow when they are added to a clock.
inline constexpr Duration kLongestMessageDuration = std::chrono::hours(24);

// Reads a time in microseconds of at most kLongestMessageDuration; 0 when the
// member is absent. Errors: kInvalidArgument. Thread-safe.
inline Result<Duration> MicrosecondsOrZero(const JsonFields& fields,
                                           std::string_view name,
                                           const std::string& step) {
  TRY(const uint64_t number, fields.NumberOr(name, 0));
  if (number > static_cast<uint64_t>(kLongestMessageDuration.count()))
    return Failure(ErrorCode::kInvalidArgument, step, "",
                   "/" + std::string(name) + ": expected at most a day");
  return Duration(number);
}

}  // namespace jackdawturn
