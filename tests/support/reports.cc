#include "support/reports.h"

#include <algorithm>
#include <cstdlib>
#include <iostream>

#include "core/core.h"

namespace jackdawturn {

int PrintPromises(const std::vector<PromiseResult>& results) {
  int exit_code = results.empty() ? 1 : 0;
  for (const PromiseResult& result : results) {
    std::cout << "promise=" << result.name << " cases=" << result.cases
              << " broken=" << result.broken
              << " mutants_caught=" << result.mutants_caught << '/'
              << result.mutants << '\n';
    if (result.cases == 0 || result.broken != 0 || result.mutants == 0 ||
        result.mutants_caught != result.mutants)
      exit_code = 1;
  }
  return exit_code;
}

void BenchmarkReport::Add(const std::string& name,
                          double value,
                          BoundKind kind,
                          double bound,
                          const std::string& unit) {
  const bool at_most = kind == BoundKind::kAtMost;
  const bool within = at_most ? value <= bound : value >= bound;
  std::cout << "name=" << name << " value=" << value
            << " bound=" << (at_most ? "<=" : ">=") << bound << " unit=" << unit
            << (within ? "" : " exceeded=true") << '\n';
  if (!within)
    m_exit_code = 1;
}

void BenchmarkReport::AddUnbounded(const std::string& name,
                                   double value,
                                   const std::string& unit) {
  std::cout << "name=" << name << " value=" << value
            << " bound=none unit=" << unit << '\n';
}

double Quantile(std::vector<double> samples, double share) {
  if (samples.empty())
    return 0;
  std::sort(samples.begin(), samples.end());
  const auto index =
      static_cast<size_t>(share * static_cast<double>(samples.size() - 1));
  return samples[index];
}

double Median(std::vector<double> samples) {
  VERIFY(!samples.empty());
  std::sort(samples.begin(), samples.end());
  return samples[samples.size() / 2];
}

uint64_t SeedFromEnvironment() {
  constexpr int kDecimal = 10;
  const char* text = std::getenv("SEED");
  return text == nullptr ? 1 : std::strtoull(text, nullptr, kDecimal);
}

}  // namespace jackdawturn
