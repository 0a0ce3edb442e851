#pragma once

#include <random>

#include "core/core.h"

namespace jackdawturn::gateway {

// Returns a uniformly distributed delay between `shortest` and `longest`, so
// that proxies that observe the same event do not act simultaneously.
// Thread safety: not thread-safe.
inline Duration RandomDelay(std::mt19937_64& random,
                            Duration shortest,
                            Duration longest) {
  return Duration(std::uniform_int_distribution<int64_t>(
      shortest.count(), longest.count())(random));
}

}  // namespace jackdawturn::gateway
