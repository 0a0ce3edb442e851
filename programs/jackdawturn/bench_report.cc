#include "bench_report.h"

#include <algorithm>
#include <iomanip>
#include <ostream>
#include <sstream>

#include <boost/json.hpp>

#include "operator_commands.h"
#include "requests/requests.h"

namespace jackdawturn {

namespace json = boost::json;

namespace {

constexpr double kP50 = 0.5;
constexpr double kP95 = 0.95;
constexpr double kP99 = 0.99;

std::string Number(double value, int digits = 1) {
  std::ostringstream text;
  text << std::fixed << std::setprecision(digits) << value;
  return text.str();
}

double Seconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

double PerSecond(uint64_t count, const BenchStatistics& statistics) {
  const double seconds = Seconds(statistics.elapsed());
  return seconds > 0 ? static_cast<double>(count) / seconds : 0;
}

uint64_t DoneOf(const BenchStatistics& statistics) {
  uint64_t done = 0;
  for (const auto& [name, counts] : statistics.classes())
    done += counts.done;
  return done;
}

const char* const kColumns[] = {"class",  "done",     "not_run", "unknown",
                                "lost",   "resolved", "invalid", "per_s",
                                "p50_ms", "p95_ms",   "p99_ms",  "max_ms"};

std::vector<std::vector<std::string>> RowsOf(const BenchResult& result) {
  std::vector<std::vector<std::string>> rows = {
      {std::begin(kColumns), std::end(kColumns)}};
  constexpr int kLatencyDigits = 3;
  for (const auto& [name, counts] : result.statistics.classes()) {
    std::vector<std::string> row = {name.value()};
    for (const uint64_t count : {counts.done, counts.not_run, counts.unknown,
                                 counts.lost, counts.resolved, counts.invalid})
      row.push_back(std::to_string(count));
    row.push_back(Number(PerSecond(counts.done, result.statistics)));
    for (const double probability : {kP50, kP95, kP99})
      row.push_back(Number(ToMilliseconds(counts.latency.Quantile(probability)),
                           kLatencyDigits));
    row.push_back(Number(ToMilliseconds(counts.latency.max()), kLatencyDigits));
    rows.push_back(std::move(row));
  }
  return rows;
}

void WriteWorldText(std::ostream& out, const BenchWorldResult& world) {
  constexpr double kPercent = 100;
  if (world.reads > 0)
    out << "reads served by replicas: "
        << Number(kPercent * static_cast<double>(world.replica_reads) /
                  static_cast<double>(world.reads))
        << "%\n";
  for (const FailoverSummary& failover : world.failovers) {
    out << "failover of " << failover.group << " to " << failover.promoted
        << " in term " << failover.term << ": gap ";
    if (const auto gap = failover.gap())
      out << Number(ToMilliseconds(*gap)) << " ms\n";
    else
      out << "unknown\n";
  }
  out << "counts that differ from the database: " << world.differences.size()
      << '\n';
  for (const CountDifference& difference : world.differences)
    out << "  " << difference.key << " in " << difference.group
        << ": its caller counted " << difference.counted
        << ", the database holds " << difference.stored << '\n';
}

json::object WorldToJson(const BenchWorldResult& world) {
  json::array failovers;
  for (const FailoverSummary& failover : world.failovers) {
    json::object object{{"group", failover.group.value()},
                        {"term", failover.term.value},
                        {"promoted", failover.promoted.value()}};
    if (const auto gap = failover.gap())
      object["gap_ms"] = ToMilliseconds(*gap);
    failovers.push_back(std::move(object));
  }
  json::array differences;
  for (const CountDifference& difference : world.differences)
    differences.push_back(json::object{{"group", difference.group.value()},
                                       {"key", difference.key},
                                       {"counted", difference.counted},
                                       {"stored", difference.stored}});
  return {{"reads", world.reads},
          {"replica_reads", world.replica_reads},
          {"failovers", std::move(failovers)},
          {"wrong_counts", std::move(differences)}};
}

}  // namespace

bool BenchResult::right() const {
  return statistics.stale_reads == 0 && statistics.unresolved == 0 &&
         statistics.unsent == 0 && DoneOf(statistics) > 0 &&
         (!world || world->differences.empty());
}

void WriteBenchText(std::ostream& out, const BenchResult& result) {
  const BenchStatistics& statistics = result.statistics;
  out << result.title << '\n';
  WriteTable(out, RowsOf(result));
  for (const auto& [name, counts] : statistics.classes()) {
    for (const auto& [reason, count] : counts.reasons)
      out << name << " was refused because of " << reason << ": " << count
          << '\n';
  }
  const uint64_t done = DoneOf(statistics);
  out << "answered as done: " << done << " in "
      << Number(Seconds(statistics.elapsed())) << " s, "
      << Number(PerSecond(done, statistics)) << "/s\n";
  for (const auto& [group, pause] : statistics.write_pauses())
    out << "longest time without an acknowledged write in " << group << ": "
        << Number(ToMilliseconds(pause)) << " ms\n";
  out << "reads behind their session: " << statistics.stale_reads
      << "\nwrites without a final outcome: " << statistics.unresolved
      << "\nrequests that were due but not sent: " << statistics.unsent << '\n';
  if (result.world)
    WriteWorldText(out, *result.world);
}

void WriteBenchJson(std::ostream& out, const BenchResult& result) {
  const BenchStatistics& statistics = result.statistics;
  json::object classes;
  for (const auto& [name, counts] : statistics.classes()) {
    json::object reasons;
    for (const auto& [reason, count] : counts.reasons)
      reasons[reason] = count;
    classes[name.value()] =
        json::object{{"done", counts.done},
                     {"not_run", counts.not_run},
                     {"unknown", counts.unknown},
                     {"lost", counts.lost},
                     {"resolved", counts.resolved},
                     {"invalid", counts.invalid},
                     {"reasons", std::move(reasons)},
                     {"per_second", PerSecond(counts.done, statistics)},
                     {"p50_ms", ToMilliseconds(counts.latency.Quantile(kP50))},
                     {"p95_ms", ToMilliseconds(counts.latency.Quantile(kP95))},
                     {"p99_ms", ToMilliseconds(counts.latency.Quantile(kP99))},
                     {"max_ms", ToMilliseconds(counts.latency.max())}};
  }
  json::object pauses;
  for (const auto& [group, pause] : statistics.write_pauses())
    pauses[group.value()] = ToMilliseconds(pause);
  json::object document{{"title", result.title},
                        {"elapsed_s", Seconds(statistics.elapsed())},
                        {"classes", std::move(classes)},
                        {"longest_write_pause_ms", std::move(pauses)},
                        {"stale_reads", statistics.stale_reads},
                        {"unresolved", statistics.unresolved},
                        {"unsent", statistics.unsent},
                        {"world", nullptr}};
  if (result.world)
    document["world"] = WorldToJson(*result.world);
  out << json::serialize(document) << '\n';
}

void WriteBenchCsv(std::ostream& out, const BenchResult& result) {
  for (const auto& row : RowsOf(result)) {
    for (size_t column = 0; column < row.size(); ++column)
      out << (column == 0 ? "" : ",") << requests::CsvField(row[column]);
    out << '\n';
  }
}

}  // namespace jackdawturn
