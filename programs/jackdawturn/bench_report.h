#pragma once

#include <iosfwd>
#include <optional>
#include <string>
#include <vector>

#include "bench_statistics.h"
#include "observe/observe.h"

namespace jackdawturn {

// What a run of `jackdawturn bench` knows only about a world that it started
// itself.
struct BenchWorldResult {
  uint64_t reads = 0;
  uint64_t replica_reads = 0;
  std::vector<FailoverSummary> failovers;
  std::vector<CountDifference> differences;
};

struct BenchResult {
  // For example "deployment ferreira, fault primary".
  std::string title;
  BenchStatistics statistics;
  std::optional<BenchWorldResult> world;

  // True when counts agree, sessions read their writes, no outcome is open and
  // the whole load was sent and at least one request ran.
  bool right() const;
};

// Each writes the result in one form. The CSV form has a row for each class and
// nothing else.
void WriteBenchText(std::ostream& out, const BenchResult& result);
void WriteBenchJson(std::ostream& out, const BenchResult& result);
void WriteBenchCsv(std::ostream& out, const BenchResult& result);

// Draws answers per second and latency over time as SVG.
std::string RenderBenchSvg(const BenchResult& result);
// The same as an HTML page that loads nothing else.
std::string RenderBenchHtml(const BenchResult& result);

}  // namespace jackdawturn
