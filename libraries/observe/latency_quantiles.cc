#include "observe/latency_quantiles.h"

#include <algorithm>
#include <cmath>
#include <cstddef>
#include <utility>
#include <vector>

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/extended_p_square.hpp>
#include <boost/accumulators/statistics/stats.hpp>

namespace jackdawturn {

namespace accumulators = boost::accumulators;

namespace {

// The estimate of P-square means little until its markers have spread, so that
// many samples are kept and the quantiles of fewer are exact.
constexpr size_t kExactSamples = 64;

using Accumulator = accumulators::accumulator_set<
    double,
    accumulators::stats<accumulators::tag::extended_p_square>>;

}  // namespace

class LatencyQuantiles::Estimator {
 public:
  Estimator()
      : m_accumulator(accumulators::tag::extended_p_square::probabilities =
                          kProbabilities) {
    m_exact.reserve(kExactSamples);
  }

  void Record(double sample) {
    m_accumulator(sample);
    if (m_exact.size() < kExactSamples)
      m_exact.push_back(sample);
    ++m_count;
  }

  size_t count() const { return m_count; }

  // Returns the estimate for kProbabilities[index]. Precondition: count() > 0.
  double Quantile(size_t index) const {
    if (m_count > kExactSamples)
      return accumulators::extended_p_square(
          m_accumulator)[static_cast<std::ptrdiff_t>(index)];
    std::vector<double> sorted = m_exact;
    std::sort(sorted.begin(), sorted.end());
    const double rank =
        std::ceil(kProbabilities[index] * static_cast<double>(sorted.size()));
    return sorted[static_cast<size_t>(rank) - 1];
  }

 private:
  Accumulator m_accumulator;
  std::vector<double> m_exact;
  size_t m_count = 0;
};

LatencyQuantiles::LatencyQuantiles() : m_older(std::make_unique<Estimator>()) {}

LatencyQuantiles::~LatencyQuantiles() = default;

void LatencyQuantiles::Record(Duration latency) {
  VERIFY(latency >= Duration(0));
  const auto sample = static_cast<double>(latency.count());
  std::lock_guard lock(m_mutex);
  ++m_count;
  m_sum += latency;
  m_older->Record(sample);
  if (m_younger)
    m_younger->Record(sample);
  if (m_older->count() < kWindow / 2)
    return;
  if (!m_younger) {
    m_younger = std::make_unique<Estimator>();
  } else if (m_older->count() >= kWindow) {
    m_older = std::move(m_younger);
    m_younger = std::make_unique<Estimator>();
  }
}

LatencyQuantiles::Summary LatencyQuantiles::Summarize() const {
  std::lock_guard lock(m_mutex);
  Summary summary;
  summary.count = m_count;
  summary.sum = m_sum;
  if (m_count == 0)
    return summary;
  for (size_t index = 0; index < kProbabilities.size(); ++index)
    summary.quantiles[index] = Duration(std::llround(m_older->Quantile(index)));
  return summary;
}

}  // namespace jackdawturn
