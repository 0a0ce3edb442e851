// What a write costs in the request machine, from submission to the confirmed
// answer, what a caller that waits for a primary costs in memory, and what the
// ledger reader costs per entry. Each is the slope between two sizes, so that
// fixed costs do not count. There is no stated bound; docs/CAPACITY.md uses the
// figures.

#include <malloc.h>

#include <algorithm>
#include <ctime>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "requests/requests.h"
#include "support/reports.h"
#include "support/retention_world.h"

namespace jackdawturn::requests {
namespace {

constexpr double kMicroseconds = 1e6;
constexpr size_t kRounds = 9;
const TimePoint kNow{std::chrono::seconds(1'000)};
const WallTime kWallTime{std::chrono::milliseconds(1'796'083'199'000)};

// Processor time of this process.
double ProcessorSeconds() {
  return static_cast<double>(std::clock()) / CLOCKS_PER_SEC;
}

double UsedBytes() {
  return static_cast<double>(mallinfo2().uordblks);
}

GroupView View(bool with_primary) {
  GroupView view;
  view.record.group = GroupName("group");
  view.record.term = Term{1};
  if (with_primary)
    view.record.primary = InstanceName("i0");
  else
    view.record.phase = GroupPhase::kChanging;
  for (const char* name : {"i0", "i1", "i2"})
    view.record.instances.emplace_back(name);
  view.record.history = {{Term{1}, LogPosition{1}}};
  return view;
}

SubmitRequest Submit(uint64_t number, bool with_primary) {
  SubmitRequest submit{{}, View(with_primary)};
  submit.request.group = GroupName("group");
  submit.request.request = MakeRequestId(kWallTime, number);
  submit.request.class_name = ClassName("counts");
  submit.request.digest = number;
  submit.request.statement = "add key 1";
  submit.request.deadline = kNow + std::chrono::seconds(2);
  return submit;
}

// Brings one write to its answer; returns whether it was `done`.
bool RunWrite(uint64_t number) {
  RequestMachine machine{RequestOptions()};
  std::vector<RequestEffect> effects =
      machine.Handle(Submit(number, true), kNow);
  const LogPosition position{number + 2};
  while (!effects.empty()) {
    std::vector<RequestEffect> next;
    for (const RequestEffect& effect : effects) {
      std::vector<RequestEffect> more;
      if (const auto* send = std::get_if<SendWrite>(&effect)) {
        LedgerResult result;
        result.entry = {send->command.request, send->command.class_name,
                        send->command.digest, LedgerOutcome::kDone,
                        TermPosition{Term{1}, position}};
        result.value = "1";
        more = machine.Handle(LedgerAnswered{send->call, result}, kNow);
      } else if (const auto* ask = std::get_if<AskReport>(&effect)) {
        more = machine.Handle(
            InstanceReported{ask->call, ask->instance,
                             InstanceReport{Term{1}, Term{1}, position, false}},
            kNow);
      } else if (const auto* reply = std::get_if<ReplyAnswer>(&effect)) {
        return reply->answer.outcome == Outcome::kDone;
      }
      next.insert(next.end(), more.begin(), more.end());
    }
    effects = std::move(next);
  }
  return false;
}

// Returns the processor time of `writes` writes; counts those that are done.
double WriteSeconds(size_t writes, uint64_t& done) {
  const double begin = ProcessorSeconds();
  for (size_t number = 0; number < writes; ++number)
    done += RunWrite(number) ? 1 : 0;
  return ProcessorSeconds() - begin;
}

// Returns the memory of `callers` machines that wait for a primary.
double WaitingBytes(size_t callers, uint64_t& waiting) {
  std::vector<RequestMachine> machines;
  machines.reserve(callers);
  const double begin = UsedBytes();
  for (size_t number = 0; number < callers; ++number) {
    machines.emplace_back(RequestOptions());
    machines.back().Handle(Submit(number, false), kNow);
    waiting += machines.back().ended() ? 0 : 1;
  }
  return UsedBytes() - begin +
         static_cast<double>(callers) *
             static_cast<double>(sizeof(RequestMachine));
}

// Returns the processor time of reading `entries` entries, with that of making
// up the pages.
double LedgerSeconds(size_t entries, uint64_t& read) {
  LedgerReaderOptions options;
  options.instances = {InstanceName("i0")};
  options.history = TermHistory::Create({{Term{1}, LogPosition{1}}}).value();
  options.bound = TermPosition{Term{1}, LogPosition{entries}};
  options.fetch = [entries](const InstanceName&, LogPosition after,
                            size_t limit) -> Result<LedgerPage> {
    LedgerPage page;
    page.report = InstanceReport{Term{1}, Term{1}, LogPosition{entries}, true};
    for (uint64_t at = after.value + 1;
         at <= entries && page.entries.size() < limit; ++at)
      page.entries.push_back({MakeRequestId(kWallTime, at), ClassName("counts"),
                              at, LedgerOutcome::kDone,
                              TermPosition{Term{1}, LogPosition{at}}});
    return page;
  };
  LedgerReader reader(std::move(options));
  const double begin = ProcessorSeconds();
  while (true) {
    const auto next = reader.Next();
    if (!next || !next.value())
      break;
    ++read;
  }
  return ProcessorSeconds() - begin;
}

// Purges a ledger over 80 virtual days, with more writes in an hour than one
// call removes.
void AddRetentionFigures(BenchmarkReport& report) {
  // An interval between two rounds, one for the age of the newest entry that a
  // round knows, and the hour of writes that the world adds at once.
  constexpr double kSlackHours = 3;
  RetentionWorldOptions options;
  options.days = 80;
  options.retention.limit = 100;
  options.writes_per_hour = 120;
  RetentionWorld world(options);
  world.Run();
  const double retained =
      static_cast<double>(options.writes_per_hour) *
      static_cast<double>(options.retention.ledger / std::chrono::hours(1));
  report.AddUnbounded("ledger_purge_calls_per_hour",
                      static_cast<double>(world.calls) / (24.0 * options.days),
                      "calls");
  report.AddUnbounded("ledger_purge_writes", static_cast<double>(world.writes),
                      "entries");
  report.AddUnbounded("ledger_purge_entries_removed",
                      static_cast<double>(world.removed), "entries");
  report.Add("ledger_purge_largest_call",
             static_cast<double>(world.largest_removed), BoundKind::kAtMost,
             static_cast<double>(options.retention.limit), "entries");
  report.Add("ledger_largest_over_retained",
             static_cast<double>(world.largest_ledger) / retained,
             BoundKind::kAtMost,
             1 + kSlackHours / static_cast<double>(options.retention.ledger /
                                                   std::chrono::hours(1)),
             "ratio");
}

// The median slope of `cost` between `small` and `large` items.
template <typename Cost>
double Slope(Cost cost, size_t small, size_t large, uint64_t& counted) {
  std::vector<double> slopes;
  for (size_t round = 0; round < kRounds; ++round) {
    const double less = cost(small, counted);
    const double more = cost(large, counted);
    slopes.push_back((more - less) / static_cast<double>(large - small));
  }
  return Median(std::move(slopes));
}

int Run() {
  BenchmarkReport report;
  constexpr size_t kSmall = 10'000;
  constexpr size_t kLarge = 100'000;
  constexpr double kItems = static_cast<double>(kRounds * (kSmall + kLarge));
  uint64_t done = 0;
  uint64_t waiting = 0;
  uint64_t read = 0;
  report.AddUnbounded("request_machine_processor_per_write",
                      kMicroseconds * Slope(WriteSeconds, kSmall, kLarge, done),
                      "us");
  report.AddUnbounded("request_machine_memory_per_waiting_caller",
                      Slope(WaitingBytes, kSmall, kLarge, waiting), "bytes");
  report.AddUnbounded(
      "ledger_reader_processor_per_entry",
      kMicroseconds * Slope(LedgerSeconds, kSmall, kLarge, read), "us");
  report.Add("request_machine_writes_done", static_cast<double>(done),
             BoundKind::kAtLeast, kItems, "writes");
  report.Add("request_machine_callers_waiting", static_cast<double>(waiting),
             BoundKind::kAtLeast, kItems, "callers");
  report.Add("ledger_reader_entries_read", static_cast<double>(read),
             BoundKind::kAtLeast, kItems, "entries");
  AddRetentionFigures(report);
  return report.exit_code();
}

}  // namespace
}  // namespace jackdawturn::requests

int main() {
  return jackdawturn::requests::Run();
}
