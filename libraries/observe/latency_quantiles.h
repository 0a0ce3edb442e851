#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <mutex>

#include "core/core.h"

namespace jackdawturn {

// Estimates quantiles of the newest latencies in constant memory, with the
// extended P-square algorithm of Boost.Accumulators. They describe the last
// kWindow / 2 to kWindow samples, or all of them while there are fewer, so old
// samples do not hide a change. Thread safety: every method can be called from
// any thread.
class LatencyQuantiles {
 public:
  // Largest number of samples that an estimate describes.
  static constexpr size_t kWindow = 8'192;
  static constexpr std::array<double, 4> kProbabilities = {0.5, 0.9, 0.95,
                                                           0.99};

  struct Summary {
    // For each of kProbabilities; meaningless while `count` is 0.
    std::array<Duration, kProbabilities.size()> quantiles{};
    // Of all samples since creation.
    uint64_t count = 0;
    Duration sum{0};
  };

  LatencyQuantiles();
  ~LatencyQuantiles();

  // Precondition: `latency` is not negative.
  void Record(Duration latency);

  Summary Summarize() const;

 private:
  class Estimator;

  mutable std::mutex m_mutex;
  // Both take every sample; the younger one replaces the older one when that
  // has seen kWindow samples.
  std::unique_ptr<Estimator> m_older;
  std::unique_ptr<Estimator> m_younger;
  uint64_t m_count = 0;
  Duration m_sum{0};
};

}  // namespace jackdawturn
