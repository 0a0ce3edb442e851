// The share of reads that replicas serve for the szamlalo mix, with a lag of up
// to 200 ms on the virtual clock, against a baseline router that sends every
// read of a session that wrote to the primary.

#include <set>
#include <string>

#include "routing_load.h"
#include "support/reports.h"

namespace jackdawturn::routing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr double kAgedShareBound = 98;
constexpr double kAllShareBound = 90;
constexpr double kRate = 600;
constexpr Duration kTime = seconds(60);
constexpr size_t kSessions = 300;

// Counts are written, shelf and count views accept an age, contracts and end of
// day counts accept none. Each confirmed write is followed at once by a shelf
// view of the same session on any proxy.
std::vector<MixPart> SzamlaloMix() {
  return {
      Part("counts", Operation::kWrite, 0.12, std::nullopt, milliseconds(500),
           false),
      Part("shelf_view", Operation::kRead, 0.45, seconds(2), milliseconds(500),
           true),
      Part("count_view", Operation::kRead, 0.37, seconds(1), milliseconds(500),
           true),
      Part("contract", Operation::kRead, 0.03, std::nullopt, milliseconds(500),
           true),
      Part("end_of_day", Operation::kRead, 0.03, std::nullopt,
           milliseconds(500), true),
  };
}

struct Shares {
  double aged = 0;
  double answered = 0;
  double aged_after_write = 0;
  double median_ms = 0;
  double p99_ms = 0;
  double broken = 0;
};

double Percent(size_t part, size_t whole) {
  return whole == 0
             ? 0
             : 100 * static_cast<double>(part) / static_cast<double>(whole);
}

Shares Measure(uint64_t seed, bool baseline, double wait_share) {
  WorldOptions options;
  options.proxies = 6;
  options.same_zone_latency = milliseconds(0) + Duration(250);
  options.other_zone_latency = milliseconds(1);
  options.open_time = milliseconds(30);
  options.connection_share = 5;
  options.group.connection_limit = 30;
  options.group.longest_lag = milliseconds(200);
  options.routing.choice.wait_share = wait_share;
  RoutingWorld world(options, seed);
  world.scheduler().RunUntil(world.now() + milliseconds(100));
  MixedLoad load(world, SzamlaloMix(), kSessions);
  load.after_write = SzamlaloMix()[1];
  load.Run(kRate, kTime);
  size_t reads = 0;
  size_t aged = 0;
  size_t by_replica = 0;
  size_t after_write = 0;
  size_t after_write_by_replica = 0;
  size_t answered = 0;
  std::vector<double> times;
  for (const auto& [id, record] : world.records()) {
    answered += record.ending == Ending::kAnswered ? 1 : 0;
    if (record.request.operation != Operation::kRead)
      continue;
    ++reads;
    if (!record.request.target->allowed_age)
      continue;
    ++aged;
    const bool wrote = record.request.required != TermPosition();
    // The baseline serves the same reads; a session that wrote stays with the
    // primary.
    const bool replica = record.by_replica && !(baseline && wrote);
    by_replica += replica ? 1 : 0;
    after_write += wrote ? 1 : 0;
    after_write_by_replica += wrote && replica ? 1 : 0;
    if (record.ending == Ending::kAnswered)
      times.push_back(ToMilliseconds(record.ended - record.arrived));
  }
  Shares shares;
  shares.aged = Percent(by_replica, aged);
  shares.answered = Percent(answered, world.records().size());
  shares.aged_after_write = Percent(after_write_by_replica, after_write);
  shares.median_ms = Quantile(times, 0.5);
  shares.p99_ms = Quantile(times, 0.99);
  shares.broken = BrokenPromises(world);
  return shares;
}

int Run() {
  BenchmarkReport report;
  const uint64_t seed = SeedFromEnvironment();
  const Shares shares = Measure(seed, false, ChoiceOptions().wait_share);
  const Shares baseline = Measure(seed, true, ChoiceOptions().wait_share);
  const Shares without_wait = Measure(seed, false, 0);
  report.Add("replica_share_reads_that_allow_an_age", shares.aged,
             BoundKind::kAtLeast, kAgedShareBound, "percent");
  report.Add("replica_share_reads_but_those_without_age", shares.aged,
             BoundKind::kAtLeast, kAllShareBound, "percent");
  report.AddUnbounded("replica_share_of_reads_after_own_write",
                      shares.aged_after_write, "percent");
  report.AddUnbounded("replica_share_baseline", baseline.aged, "percent");
  report.AddUnbounded("replica_share_without_waiting", without_wait.aged,
                      "percent");
  report.AddUnbounded("replica_share_without_waiting_after_own_write",
                      without_wait.aged_after_write, "percent");
  report.AddUnbounded("aged_read_p99_without_waiting", without_wait.p99_ms,
                      "ms");
  report.AddUnbounded("aged_read_median", shares.median_ms, "ms");
  report.AddUnbounded("aged_read_p99", shares.p99_ms, "ms");
  report.AddUnbounded("requests_answered", shares.answered, "percent");
  report.Add("replica_share_broken_promises", shares.broken, BoundKind::kAtMost,
             0, "count");
  return report.exit_code();
}

}  // namespace
}  // namespace jackdawturn::routing

int main() {
  return jackdawturn::routing::Run();
}
