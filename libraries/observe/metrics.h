#pragma once

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <utility>
#include <vector>

#include "observe/latency_quantiles.h"

namespace jackdawturn {

// A number that only grows. Thread-safe.
class MetricCounter {
 public:
  void Add(uint64_t count = 1) {
    m_value.fetch_add(count, std::memory_order_relaxed);
  }
  uint64_t value() const { return m_value.load(std::memory_order_relaxed); }

 private:
  std::atomic<uint64_t> m_value{0};
};

// A number that goes up and down. Thread-safe.
class MetricGauge {
 public:
  void Set(double value) { m_value.store(value, std::memory_order_relaxed); }
  double value() const { return m_value.load(std::memory_order_relaxed); }

 private:
  std::atomic<double> m_value{0};
};

// Names and values that tell the series of one metric apart.
using MetricLabels = std::vector<std::pair<std::string, std::string>>;

// The metrics of one process. A series is looked up once and its reference
// kept; changing it then takes no lock of the registry. References stay valid
// as long as the registry. Thread safety: every method can be called from any
// thread.
//
// Preconditions of the lookups: names match [a-zA-Z_][a-zA-Z0-9_]*, and a
// metric always has the same type.
class MetricRegistry {
 public:
  // The most series of one metric. Further label values share one series, in
  // which each value is "other", so that one caller cannot fill the memory.
  static constexpr size_t kMaxSeries = 1'024;

  MetricCounter& FindCounter(const std::string& name,
                             const std::string& help,
                             const MetricLabels& labels = {});

  MetricGauge& FindGauge(const std::string& name,
                         const std::string& help,
                         const MetricLabels& labels = {});

  // Rendered in seconds, with the quantiles of LatencyQuantiles.
  LatencyQuantiles& FindLatency(const std::string& name,
                                const std::string& help,
                                const MetricLabels& labels = {});

  // Adds a gauge whose value is `read()` at the time of rendering. `read` runs
  // on the thread that renders and must not call the registry.
  void AddGaugeFunction(const std::string& name,
                        const std::string& help,
                        const MetricLabels& labels,
                        std::function<double()> read);

  // Returns all metrics in the Prometheus text format, version 0.0.4.
  std::string Render() const;

 private:
  enum class Type { kCounter, kGauge, kLatency };

  struct Series {
    MetricCounter counter;
    MetricGauge gauge;
    std::unique_ptr<LatencyQuantiles> latency;
    std::function<double()> read;
  };

  struct Family {
    Type type = Type::kCounter;
    std::string help;
    // By the labels in the text format.
    std::map<std::string, std::unique_ptr<Series>> series;
  };

  // Precondition: m_mutex is locked.
  Series& FindSeries(const std::string& name,
                     const std::string& help,
                     Type type,
                     const MetricLabels& labels);
  static void RenderSeries(const std::string& name,
                           Type type,
                           const std::string& labels,
                           const Series& series,
                           std::string& text);

  mutable std::mutex m_mutex;
  std::map<std::string, Family> m_families;
};

}  // namespace jackdawturn
