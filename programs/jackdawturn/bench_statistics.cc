#include "bench_statistics.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <cstddef>

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/extended_p_square_quantile.hpp>
#include <boost/accumulators/statistics/max.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/tail_quantile.hpp>

namespace jackdawturn {

namespace {

namespace accumulators = boost::accumulators;

// Samples that are kept for the exact quantiles of a class: 4 MB.
constexpr size_t kKeptSamples = 262'144;
constexpr std::array<double, 3> kProbabilities = {0.5, 0.95, 0.99};

using Accumulator = accumulators::accumulator_set<
    double,
    accumulators::stats<accumulators::tag::max,
                        accumulators::tag::count,
                        accumulators::tag::tail_quantile<accumulators::right>,
                        accumulators::tag::extended_p_square_quantile>>;

}  // namespace

struct RunLatency::State {
  State()
      : accumulator(accumulators::tag::tail<accumulators::right>::cache_size =
                        kKeptSamples,
                    accumulators::tag::extended_p_square::probabilities =
                        kProbabilities) {}

  Accumulator accumulator;
};

RunLatency::RunLatency() : m_state(std::make_unique<State>()) {}
RunLatency::~RunLatency() = default;
RunLatency::RunLatency(RunLatency&&) noexcept = default;
RunLatency& RunLatency::operator=(RunLatency&&) noexcept = default;

void RunLatency::Record(Duration latency) {
  m_state->accumulator(static_cast<double>(latency.count()));
}

Duration RunLatency::Quantile(double probability) const {
  const Accumulator& accumulator = m_state->accumulator;
  const auto count = static_cast<double>(accumulators::count(accumulator));
  // The tail quantile is not defined for a single sample.
  if (count < 2)
    return max();
  const bool exact =
      std::ceil(count * (1 - probability)) < static_cast<double>(kKeptSamples);
  const double value =
      exact
          ? accumulators::quantile(
                accumulator, accumulators::quantile_probability = probability)
          : accumulators::extended_p_square_quantile(
                accumulator, accumulators::quantile_probability = probability);
  return Duration(std::llround(value));
}

Duration RunLatency::max() const {
  const Accumulator& accumulator = m_state->accumulator;
  return accumulators::count(accumulator) == 0
             ? Duration(0)
             : Duration(std::llround(accumulators::max(accumulator)));
}

BenchStatistics::BenchStatistics(Duration duration)
    : m_interval(std::max(duration / kIntervals, Duration(1))) {
  for (int index = 0; index < kIntervals; ++index)
    m_intervals.push_back(std::make_unique<IntervalStatistics>());
}

void BenchStatistics::RecordEnd(const ClassName& name,
                                TimePoint now,
                                Duration latency) {
  latency = std::max(latency, Duration(0));
  ForClass(name).latency.Record(latency);
  const auto index = static_cast<size_t>((now - m_start) / m_interval);
  if (index >= m_intervals.size())
    return;
  IntervalStatistics& interval = *m_intervals[index];
  ++interval.ended;
  interval.max = std::max(interval.max, latency);
  interval.latency.Record(latency);
}

void BenchStatistics::RecordWrite(const GroupName& group, TimePoint now) {
  const auto [last, first] = m_last_write.try_emplace(group, now);
  Duration& pause = m_write_pauses[group];
  pause = std::max(pause, now - last->second);
  last->second = now;
}

}  // namespace jackdawturn
