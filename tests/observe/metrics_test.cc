#include <algorithm>
#include <cmath>
#include <random>
#include <thread>
#include <vector>

#include "observe/observe.h"

#include "support/table_test.h"

namespace jackdawturn {

struct LatencyCase {
  const char* name;
  size_t samples;
  // Draws a latency in microseconds from a number in [0, 1).
  double (*draw)(double);
  // Largest relative error of each quantile.
  double tolerance;
};

static const LatencyCase kLatencyCases[] = {
    {"one", 1, [](double) { return 300.0; }, 0},
    {"few", 10, [](double u) { return 100 + 900 * u; }, 0.002},
    {"exact", 64, [](double u) { return 100 + 900 * u; }, 0.002},
    {"constant", 5'000, [](double) { return 300.0; }, 0},
    {"uniform", 5'000, [](double u) { return 100 + 900 * u; }, 0.05},
    {"exponential", 5'000, [](double u) { return -5'000 * std::log(1 - u); },
     0.15},
};

// Guards against quantiles that are far from the true ones, in particular for
// few samples, where P-square has no estimate.
TABLE_TEST(latency_quantiles, are_close_to_the_true_ones, kLatencyCases) {
  const LatencyCase& row = kLatencyCases[*row_index];
  std::mt19937_64 random(7);
  LatencyQuantiles latency;
  std::vector<double> samples;
  for (size_t index = 0; index < row.samples; ++index) {
    const double uniform = static_cast<double>(random() >> 11) * 0x1p-53;
    samples.push_back(std::floor(row.draw(uniform)));
    latency.Record(Duration(static_cast<int64_t>(samples.back())));
  }
  std::sort(samples.begin(), samples.end());
  const LatencyQuantiles::Summary summary = latency.Summarize();
  cr_assert_eq(summary.count, row.samples);
  for (size_t index = 0; index < summary.quantiles.size(); ++index) {
    const double rank = std::ceil(LatencyQuantiles::kProbabilities[index] *
                                  static_cast<double>(row.samples));
    const double expected = samples[static_cast<size_t>(rank) - 1];
    const auto actual = static_cast<double>(summary.quantiles[index].count());
    cr_assert_leq(std::abs(actual - expected), row.tolerance * expected,
                  "%s quantile %zu: %f instead of %f", row.name, index, actual,
                  expected);
  }
}

// Guards against old latencies that hide a change for good.
Test(latency_quantiles, old_samples_are_forgotten) {
  LatencyQuantiles latency;
  for (size_t index = 0; index < 10 * LatencyQuantiles::kWindow; ++index)
    latency.Record(Duration(100));
  for (size_t index = 0; index < 2 * LatencyQuantiles::kWindow; ++index)
    latency.Record(Duration(900));
  cr_assert(latency.Summarize().quantiles[0] == Duration(900));
}

// Guards against a text that Prometheus cannot read.
Test(metrics, text_format) {
  MetricRegistry registry;
  registry
      .FindCounter("b_total", "Help with \\ and\nbreak.",
                   {{"label", "a\"b\\c\nd"}, {"other", ""}})
      .Add(3);
  registry.FindCounter("b_total", "ignored", {{"label", "x"}}).Add();
  registry.FindGauge("a", "A gauge.").Set(0.5);
  registry.AddGaugeFunction("f", "A function.", {},
                            [] { return std::nan(""); });
  LatencyQuantiles& latency =
      registry.FindLatency("c_seconds", "Latency.", {{"class", "x"}});
  latency.Record(Duration(1'500));
  latency.Record(Duration(2'500));
  registry.FindLatency("d_seconds", "No sample.");
  const std::string expected =
      "# HELP a A gauge.\n# TYPE a gauge\na 0.5\n"
      "# HELP b_total Help with \\\\ and\\nbreak.\n# TYPE b_total counter\n"
      "b_total{label=\"a\\\"b\\\\c\\nd\",other=\"\"} 3\n"
      "b_total{label=\"x\"} 1\n"
      "# HELP c_seconds Latency.\n# TYPE c_seconds summary\n"
      "c_seconds{class=\"x\",quantile=\"0.5\"} 0.0015\n"
      "c_seconds{class=\"x\",quantile=\"0.9\"} 0.0025\n"
      "c_seconds{class=\"x\",quantile=\"0.95\"} 0.0025\n"
      "c_seconds{class=\"x\",quantile=\"0.99\"} 0.0025\n"
      "c_seconds_sum{class=\"x\"} 0.004\n"
      "c_seconds_count{class=\"x\"} 2\n"
      "# HELP d_seconds No sample.\n# TYPE d_seconds summary\n"
      "d_seconds{quantile=\"0.5\"} NaN\n"
      "d_seconds{quantile=\"0.9\"} NaN\n"
      "d_seconds{quantile=\"0.95\"} NaN\n"
      "d_seconds{quantile=\"0.99\"} NaN\n"
      "d_seconds_sum 0\nd_seconds_count 0\n"
      "# HELP f A function.\n# TYPE f gauge\nf NaN\n";
  const std::string text = registry.Render();
  cr_assert_str_eq(text.c_str(), expected.c_str());
}

// Guards against label values that fill the memory.
Test(metrics, series_are_bounded) {
  MetricRegistry registry;
  const size_t lookups = MetricRegistry::kMaxSeries + 10;
  for (size_t index = 0; index < lookups; ++index)
    registry.FindCounter("a", "", {{"x", std::to_string(index)}}).Add();
  const MetricCounter& shared =
      registry.FindCounter("a", "", {{"x", "never seen"}});
  cr_assert_eq(shared.value(), 10U);
  cr_assert_eq(registry.FindCounter("a", "", {{"x", "5"}}).value(), 1U);
}

// Guards against counts that are lost when threads count at the same time.
Test(metrics, threads_lose_no_count) {
  constexpr size_t kThreads = 4;
  constexpr size_t kRounds = 2'000;
  MetricRegistry registry;
  ProxyMetrics metrics(registry);
  std::vector<std::thread> threads;
  for (size_t index = 0; index < kThreads; ++index) {
    threads.emplace_back([&] {
      for (size_t round = 0; round < kRounds; ++round) {
        metrics.ForClass(ClassName("x"))
            .CountRequest(CountedOutcome::kDone, Duration(1));
        if (round % 100 == 0)
          registry.Render();
      }
    });
  }
  for (std::thread& thread : threads)
    thread.join();
  const std::string text = registry.Render();
  cr_assert(text.find("jackdawturn_requests_total{class=\"x\","
                      "outcome=\"done\"} 8000\n") != std::string::npos);
  cr_assert(
      text.find("jackdawturn_request_seconds_count{class=\"x\"} 8000\n") !=
      std::string::npos);
}

static const char* const kProxyLines[] = {
    "jackdawturn_requests_total{class=\"x\",outcome=\"done\"} 1\n",
    "jackdawturn_requests_total{class=\"x\",outcome=\"not_run\"} 2\n",
    "jackdawturn_requests_total{class=\"x\",outcome=\"unknown\"} 0\n",
    "jackdawturn_request_seconds{class=\"x\",quantile=\"0.5\"} 0.002\n",
    "jackdawturn_reads_total{class=\"x\",role=\"replica\"} 2\n",
    "jackdawturn_reads_total{class=\"y\",role=\"replica\"} 1\n",
    "jackdawturn_served_reads_total{role=\"replica\"} 3\n",
    "jackdawturn_replica_read_share 0.75\n",
    "jackdawturn_queue_depth{backend_instance=\"i1\"} 4\n",
    "jackdawturn_connections{backend_instance=\"i1\"} 5\n",
    "jackdawturn_caller_connections 6\n",
    "jackdawturn_ring_depth{ring=\"peers\"} 7\n",
    "jackdawturn_ring_refused{ring=\"peers\"} 8\n",
    "jackdawturn_control_bytes_total{direction=\"sent\"} 300\n",
    "jackdawturn_control_bytes_total{direction=\"received\"} 50\n",
    "jackdawturn_control_messages_total{direction=\"sent\"} 2\n",
    "jackdawturn_platform_calls_total{operation=\"watch\"} 2\n",
    "jackdawturn_timeline_overwritten 9\n",
};

// Guards against a count that is missing or that goes to another series.
TABLE_TEST(metrics, proxy_metrics, kProxyLines) {
  MetricRegistry registry;
  ProxyMetrics metrics(registry);
  ClassMetrics& x = metrics.ForClass(ClassName("x"));
  ClassMetrics& y = metrics.ForClass(ClassName("y"));
  x.CountRequest(CountedOutcome::kDone, Duration(1'000));
  x.CountRequest(CountedOutcome::kNotRun, Duration(2'000));
  x.CountRequest(CountedOutcome::kNotRun, Duration(3'000));
  x.CountRead(ReadRole::kReplica);
  x.CountRead(ReadRole::kReplica);
  y.CountRead(ReadRole::kReplica);
  y.CountRead(ReadRole::kPrimary);
  metrics.SetQueueDepth(InstanceName("i1"), 4);
  metrics.SetConnections(InstanceName("i1"), 5);
  metrics.SetCallerConnections(6);
  metrics.AddRing(
      "peers", [] { return 7; }, [] { return 8; });
  metrics.CountControlMessage(ControlDirection::kSent, 100);
  metrics.CountControlMessage(ControlDirection::kSent, 200);
  metrics.CountControlMessage(ControlDirection::kReceived, 50);
  metrics.CountPlatformCall("watch");
  metrics.CountPlatformCall("watch");
  metrics.AddTimeline([] { return 9; });
  const std::string text = registry.Render();
  cr_assert(text.find(std::string("\n") + kProxyLines[*row_index]) !=
                std::string::npos,
            "%s", text.c_str());
}

// Guards against classes without bound, and outcomes lost in "other".
Test(metrics, classes_are_bounded) {
  MetricRegistry registry;
  ProxyMetrics metrics(registry);
  for (size_t index = 0; index < ProxyMetrics::kMaxClasses + 5; ++index)
    metrics.ForClass(ClassName("c" + std::to_string(index)))
        .CountRequest(CountedOutcome::kNotRun, Duration(1));
  cr_assert(registry.Render().find("jackdawturn_requests_total{class=\"other\","
                                   "outcome=\"not_run\"} 5\n") !=
            std::string::npos);
}

}  // namespace jackdawturn
