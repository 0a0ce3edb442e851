#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "core/core.h"
#include "observe/observe.h"
#include "world_checks.h"

namespace jackdawturn {

// Quantiles of all latencies of a run, from Boost.Accumulators. They are exact
// as long as the samples above the quantile fit into its memory, which holds
// for the 99th percentile up to 26 million samples; beyond that the estimate of
// the P-square algorithm is given. Thread safety: not thread-safe.
class RunLatency {
 public:
  RunLatency();
  ~RunLatency();
  RunLatency(RunLatency&&) noexcept;
  RunLatency& operator=(RunLatency&&) noexcept;

  void Record(Duration latency);
  // Precondition: 0 < probability < 1. Returns 0 without samples.
  Duration Quantile(double probability) const;
  Duration max() const;

 private:
  struct State;
  std::unique_ptr<State> m_state;
};

struct ClassStatistics {
  // Requests that ran, with those whose outcome was found out later.
  uint64_t done = 0;
  uint64_t not_run = 0;
  // First answers `unknown`, and requests without an answer.
  uint64_t unknown = 0;
  uint64_t lost = 0;
  // Those of the last two whose outcome was asked for and became final.
  uint64_t resolved = 0;
  uint64_t invalid = 0;
  // Final answers other than `done` by their reason, for example "overloaded".
  std::map<std::string, uint64_t> reasons;
  // Until the final outcome, whatever it is.
  RunLatency latency;
};

// Requests that ended in one interval of the run.
struct IntervalStatistics {
  uint64_t ended = 0;
  Duration max{0};
  LatencyQuantiles latency;
};

// What the load counted. Thread safety: not thread-safe.
class BenchStatistics {
 public:
  static constexpr int kIntervals = 100;

  // `duration` of the load, divided into kIntervals.
  explicit BenchStatistics(Duration duration);

  void Start(TimePoint now) { m_start = now; }
  // The load ended; later answers belong to no interval.
  void Stop(TimePoint now) { m_end = now; }

  ClassStatistics& ForClass(const ClassName& name) { return m_classes[name]; }
  // A request ended.
  void RecordEnd(const ClassName& name, TimePoint now, Duration latency);
  // A write was acknowledged.
  void RecordWrite(const GroupName& group, TimePoint now);

  const std::map<ClassName, ClassStatistics>& classes() const {
    return m_classes;
  }
  const std::vector<std::unique_ptr<IntervalStatistics>>& intervals() const {
    return m_intervals;
  }
  Duration interval() const { return m_interval; }
  // Time from Start to Stop.
  Duration elapsed() const { return m_end - m_start; }
  // The longest time between two acknowledged writes of a group, as its callers
  // saw it.
  const std::map<GroupName, Duration>& write_pauses() const {
    return m_write_pauses;
  }

  CountedWrites writes;
  // Reads that did not show an acknowledged write of their own session.
  uint64_t stale_reads = 0;
  // Writes without a final outcome at the end.
  uint64_t unresolved = 0;
  // Requests that were due but found no free session until the end.
  uint64_t unsent = 0;

 private:
  Duration m_interval;
  TimePoint m_start;
  TimePoint m_end;
  std::map<ClassName, ClassStatistics> m_classes;
  std::vector<std::unique_ptr<IntervalStatistics>> m_intervals;
  std::map<GroupName, TimePoint> m_last_write;
  std::map<GroupName, Duration> m_write_pauses;
};

}  // namespace jackdawturn
