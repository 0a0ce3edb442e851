#pragma once

#include <random>

#include "core/core.h"

namespace jackdawturn::gateway {

// Returns a time between `shortest` and `longest`, each as likely as the
// others, so that proxies that see the same event act one after the other.
// Thread safety: not thread-safe.
inline Duration RandomDelay(std::mt19937_64& random,
                            Duration shortest,
                            Duration longest) {
  return Duration(std::uniform_int_distribution<int64_t>(
      shortest.count(), longest.count())(random));
}

}  // namespace jackdawturn::gateway
