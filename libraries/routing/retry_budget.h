#pragma once

#include <cstdint>
#include <random>

#include "core/core.h"
#include "routing/routing_options.h"

namespace jackdawturn::routing {

// Permits repeated work as a share of the successes, so that retries cannot
// multiply the load of an instance in trouble. Thread safety: not thread-safe.
class RetryBudget {
 public:
  explicit RetryBudget(BudgetOptions options);

  void Succeeded();
  // Takes a token; false when there is none.
  bool TryTake();
  double tokens() const { return m_tokens; }

 private:
  BudgetOptions m_options;
  double m_tokens;
};

// Returns the delay before attempt `attempt` (counted from 1): random between
// half of and the whole of first * 2^(attempt - 1), at most `longest`.
// Thread-safe as far as `random` is.
Duration BackOffDelay(const BackOffOptions& options,
                      uint32_t attempt,
                      std::mt19937_64& random);

}  // namespace jackdawturn::routing
