#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace jackdawturn {

// The result of a fault table for one promise.
struct PromiseResult {
  std::string name;
  uint64_t cases = 0;
  uint64_t broken = 0;
  uint64_t mutants = 0;
  uint64_t mutants_caught = 0;
};

// Prints a line for each promise. Returns the exit code: 1 when a promise was
// broken, a mutant was missed, or a promise has no case or no mutant.
int PrintPromises(const std::vector<PromiseResult>& results);

enum class BoundKind { kAtMost, kAtLeast };

// Prints the lines of a benchmark and remembers whether a bound was passed.
// Thread safety: not thread-safe.
class BenchmarkReport {
 public:
  // `bound` comes from a stated target of docs/design.md.
  void Add(const std::string& name,
           double value,
           BoundKind kind,
           double bound,
           const std::string& unit);
  // A figure without a target, for comparison.
  void AddUnbounded(const std::string& name,
                    double value,
                    const std::string& unit);
  // 0 when every value was within its bound, else 1.
  int exit_code() const { return m_exit_code; }

 private:
  int m_exit_code = 0;
};

// The value at a share (0 to 1) of samples; 0 without samples.
double Quantile(std::vector<double> samples, double share);
// The middle one of the samples, the upper one of an even number.
// Precondition: there is a sample.
double Median(std::vector<double> samples);

// Returns the environment variable SEED as a number, or 1 when it is not set.
uint64_t SeedFromEnvironment();

}  // namespace jackdawturn
