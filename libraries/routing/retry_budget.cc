#include "routing/retry_budget.h"

#include <algorithm>

namespace jackdawturn::routing {

namespace {

constexpr uint32_t kMaxDoublings = 20;

}  // namespace

RetryBudget::RetryBudget(BudgetOptions options)
    : m_options(options), m_tokens(options.max_tokens) {}

void RetryBudget::Succeeded() {
  m_tokens = std::min(m_options.max_tokens, m_tokens + m_options.share);
}

bool RetryBudget::TryTake() {
  if (m_tokens < 1)
    return false;
  m_tokens -= 1;
  return true;
}

Duration BackOffDelay(const BackOffOptions& options,
                      uint32_t attempt,
                      std::mt19937_64& random) {
  const uint32_t doublings =
      std::min(attempt == 0 ? 0 : attempt - 1, kMaxDoublings);
  const Duration whole =
      std::min(options.longest, options.first * (int64_t{1} << doublings));
  std::uniform_int_distribution<int64_t> between(whole.count() / 2,
                                                 whole.count());
  return Duration(between(random));
}

}  // namespace jackdawturn::routing
