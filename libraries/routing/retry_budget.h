#pragma once

#include <cstdint>
#include <random>

#include "core/core.h"
#include "routing/routing_options.h"

namespace jackdawturn::routing {

// Limits repeated requests to a share of the successful ones, so that retries
// cannot multiply the load of a failing instance. Thread safety: not
// thread-safe.
class RetryBudget {
 public:
  explicit RetryBudget(BudgetOptions options);

  void Succeeded();
  // Takes a token. Returns false when none is left.
  bool TryTake();
  double tokens() const { return m_tokens; }

 private:
  BudgetOptions m_options;
  double m_tokens;
};

// Returns the delay before attempt `attempt` (counted from 1): a random time
// between half and all of first * 2^(attempt - 1), limited to `longest`.
// Thread-safe if `random` is.
Duration BackOffDelay(const BackOffOptions& options,
                      uint32_t attempt,
                      std::mt19937_64& random);

}  // namespace jackdawturn::routing
