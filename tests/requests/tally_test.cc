#include <algorithm>
#include <random>
#include <sstream>
#include <string>
#include <vector>

#include "requests/requests.h"
#include "standins/standins.h"

#include "support/table_test.h"

namespace jackdawturn::requests {

// 2026-11-30T23:59:59.999Z and the millisecond after it.
static const WallTime kLastOfNovember{std::chrono::milliseconds(1796083199999)};

static LedgerEntry Entry(WallTime time,
                         uint64_t number,
                         LedgerOutcome outcome = LedgerOutcome::kDone) {
  return LedgerEntry{
      MakeRequestId(time, number), ClassName("counts"), 1, outcome, {}};
}

// Guards against a request that is counted in a different month than in the
// caller's own records.
Test(tally, counts_by_class_and_month) {
  Tally tally(TallyPeriod::kMonth);
  cr_assert(tally.Add(Entry(kLastOfNovember, 1)).has_value());
  cr_assert(tally.Add(Entry(kLastOfNovember + std::chrono::milliseconds(1), 2))
                .has_value());
  cr_assert(tally.Add(Entry(kLastOfNovember, 3, LedgerOutcome::kRefused))
                .has_value());
  std::ostringstream csv;
  tally.WriteCsv(csv);
  const std::string csv_text = csv.str();
  cr_assert_str_eq(csv_text.c_str(),
                   "period,class,done,refused\n2026-11,counts,1,1\n"
                   "2026-12,counts,1,0\n");
  std::ostringstream json;
  tally.WriteJson(json);
  const std::string json_text = json.str();
  cr_assert_str_eq(json_text.c_str(),
                   "[{\"period\":\"2026-11\",\"class\":\"counts\",\"done\":1,"
                   "\"refused\":1},{\"period\":\"2026-12\",\"class\":"
                   "\"counts\",\"done\":1,\"refused\":0}]\n");
}

struct BoundCase {
  const char* guards_against;
  std::vector<InstanceReport> reports;
  uint64_t bound;
};

static InstanceReport At(uint64_t accepted, uint64_t term, uint64_t position) {
  return InstanceReport{Term{accepted}, Term{term}, LogPosition{position}};
}

static const BoundCase kBoundCases[] = {
    {"entries of one instance only",
     {At(1, 1, 9), At(1, 1, 7), At(1, 1, 5)},
     7},
    {"an instance that is down", {At(1, 1, 7), At(1, 1, 5)}, 5},
    {"an old branch", {At(2, 2, 9), At(2, 1, 50), At(2, 2, 8)}, 8},
    {"a fenced instance", {At(2, 1, 9), At(1, 1, 9), At(1, 1, 9)}, 0},
    {"a single copy", {At(1, 1, 7)}, 0},
};

// Guards against a tally of entries that may still be lost.
TABLE_TEST(tally, highest_confirmed_position, kBoundCases) {
  const BoundCase& row = kBoundCases[*row_index];
  const auto bound = HighestConfirmedPosition(row.reports);
  cr_assert_eq(bound.has_value() ? bound.value().position.value : 0, row.bound,
               "%s", row.guards_against);
}

// A group of three instances with a ledger of `count` entries that are not in
// the order of their ids.
struct LedgerGroup {
  std::vector<DatabaseInstance> instances;
  std::vector<RequestId> ids;
  size_t fetches = 0;
  size_t fails_after = ~size_t{0};

  explicit LedgerGroup(size_t count) {
    for (const char* name : {"i0", "i1", "i2"})
      instances.emplace_back(InstanceOptions{InstanceName(name), 2});
    cr_assert(instances[0].Fence(Term{1}).has_value());
    cr_assert(instances[0].Promote(Term{1}).has_value());
    std::mt19937_64 random(3);
    for (size_t number = 0; number < count; ++number) {
      const WallTime time =
          kLastOfNovember - std::chrono::milliseconds(random() % 100'000);
      ids.push_back(MakeRequestId(time, random()));
      cr_assert(instances[0]
                    .Write(WriteCommand{Term{1}, ids.back(),
                                        ClassName("counts"), 1, "add k 1"})
                    .has_value());
    }
    for (size_t replica : {1, 2}) {
      cr_assert(
          instances[replica].Follow(Term{1}, InstanceName("i0")).has_value());
      instances[replica].ReplicateFrom(instances[0], LogPosition{count + 1});
    }
    std::sort(ids.begin(), ids.end());
  }

  // The first instance fails after `fails_after` calls.
  LedgerReader Reader(size_t page_size) {
    return LedgerReader(Options(page_size));
  }
  LedgerReaderOptions Options(size_t page_size) {
    LedgerReaderOptions options;
    options.instances = {InstanceName("i0"), InstanceName("i1")};
    options.history = TermHistory::Create({{Term{1}, LogPosition{1}}}).value();
    options.bound = TermPosition{Term{1}, instances[0].Report().position};
    options.page_size = page_size;
    options.fetch = [this](const InstanceName& name, LogPosition after,
                           size_t limit) -> Result<LedgerPage> {
      const size_t index = name == InstanceName("i0") ? 0 : 1;
      if (index == 0 && fetches++ >= fails_after)
        return Failure(ErrorCode::kUnavailable, "ledger", "i0", "down");
      return LedgerPage{instances[index].Report(),
                        instances[index].Ledger(after, limit)};
    };
    return options;
  }
};

struct OrderCase {
  size_t capacity;
  size_t fails_after;
};

static const OrderCase kOrderCases[] = {
    {1'000, ~size_t{0}},
    {100, ~size_t{0}},
    {7, ~size_t{0}},
    {100, 0},
    {100, 3},
    {7, 40},
};

// Guards against entries that are lost or duplicated when the ledger exceeds
// the capacity, or when an instance fails while the ledger is read.
TABLE_TEST(tally, ledger_in_order_of_ids, kOrderCases) {
  const OrderCase& row = kOrderCases[*row_index];
  LedgerGroup group(100);
  group.fails_after = row.fails_after;
  LedgerReader reader = group.Reader(9);
  SortedLedgerReader ordered(reader, row.capacity);
  for (const RequestId& id : group.ids)
    cr_assert(ordered.Next().value()->request == id);
  cr_assert_not(ordered.Next().value().has_value());
}

// Guards against a tally that ends early without an error.
Test(tally, no_instance_is_an_error) {
  LedgerGroup group(20);
  group.instances[1] = DatabaseInstance(InstanceOptions{InstanceName("i1"), 2});
  group.fails_after = 1;
  LedgerReader reader = group.Reader(5);
  size_t count = 0;
  auto next = reader.Next();
  for (; next.has_value(); next = reader.Next())
    ++count;
  cr_assert_eq(count, 5U);
  cr_assert(next.error().code == ErrorCode::kUnavailable);
}

struct BranchCase {
  const char* guards_against;
  TermPosition bound;
  bool first_is_down;
  bool reads_history_again;
  // Expected number of entries; nullopt when no instance can be read.
  std::optional<size_t> entries;
};

// The first instance continued to position 26 in term 1. The second one was
// promoted in term 2 at position 22 and has an entry of that term.
static const BranchCase kBranchCases[] = {
    {"entries of a lost branch that are counted",
     {Term{2}, LogPosition{23}},
     false,
     true,
     21},
    {"a change of primary that ends a tally in progress",
     {Term{1}, LogPosition{21}},
     true,
     true,
     20},
    {"a log of a later term that is read without its history",
     {Term{1}, LogPosition{21}},
     true,
     false,
     std::nullopt},
    {"a bound on the lost branch that is read from the other one",
     {Term{1}, LogPosition{22}},
     true,
     true,
     std::nullopt},
};

TABLE_TEST(tally, logs_of_other_branches, kBranchCases) {
  const BranchCase& row = kBranchCases[*row_index];
  LedgerGroup group(20);
  const auto write = [&](size_t instance, Term term, uint64_t number) {
    cr_assert(group.instances[instance]
                  .Write({term, MakeRequestId(kLastOfNovember, number),
                          ClassName("counts"), 1, "add k 1"})
                  .has_value());
  };
  for (uint64_t number = 1'001; number <= 1'005; ++number)
    write(0, Term{1}, number);
  cr_assert(group.instances[1].Fence(Term{2}).has_value());
  cr_assert(group.instances[1].Promote(Term{2}).has_value());
  write(1, Term{2}, 2'000);
  group.fails_after = row.first_is_down ? 0 : ~size_t{0};
  LedgerReaderOptions options = group.Options(9);
  options.bound = row.bound;
  if (row.reads_history_again)
    options.read_history = [] {
      return TermHistory::Create(
          {{Term{1}, LogPosition{1}}, {Term{2}, LogPosition{22}}});
    };
  LedgerReader reader(std::move(options));
  size_t entries = 0;
  auto next = reader.Next();
  for (; next && next.value(); next = reader.Next())
    ++entries;
  cr_assert_eq(next.has_value(), row.entries.has_value(), "%s",
               row.guards_against);
  cr_assert_eq(entries, row.entries.value_or(0), "%s", row.guards_against);
}

// Returns an id that ends in `number`, from 1 to 9, so that ids sort by number.
static std::string Id(int number) {
  return "0198f000-0000-7000-8000-00000000000" + std::to_string(number);
}

struct CompareCase {
  const char* guards_against;
  std::vector<LedgerEntry> ledger;
  std::string partner;
  // The counts "missing extra different unresolved", or the error message.
  std::string result;
};

static LedgerEntry Row(int number, LedgerOutcome outcome) {
  return LedgerEntry{RequestId(Id(number)), ClassName("c"), 1, outcome, {}};
}

static const LedgerOutcome kDone = LedgerOutcome::kDone;
static const LedgerOutcome kRefused = LedgerOutcome::kRefused;

static const CompareCase kCompareCases[] = {
    {"a false difference",
     {Row(1, kDone), Row(2, kRefused)},
     "request_id,outcome\r\n" + Id(1) + ",done\r\n" + Id(2) + ",not_run\r\n",
     "0 0 0 0"},
    {"a refusal without an entry that counts",
     {},
     Id(1) + ",not_run\n",
     "0 0 0 0"},
    {"a row that the partner lacks",
     {Row(1, kDone), Row(2, kDone)},
     Id(2) + ",done\n",
     "1 0 0 0"},
    {"a row that the ledger lacks",
     {Row(1, kDone)},
     Id(1) + ",done\n" + Id(2) + ",done",
     "0 1 0 0"},
    {"different outcomes",
     {Row(1, kDone), Row(2, kRefused)},
     Id(1) + ",not_run\n" + Id(2) + ",done\n",
     "0 0 2 0"},
    {"an outcome that was never queried",
     {Row(1, kDone)},
     Id(1) + ",unknown\n" + Id(2) + ",unknown\n",
     "0 0 0 2"},
    {"a file in another order",
     {},
     Id(2) + ",done\n" + Id(1) + ",done\n",
     "line 2: request ids are not in ascending order"},
    {"a row that is counted twice",
     {},
     Id(1) + ",done\n" + Id(1) + ",done\n",
     "line 2: request ids are not in ascending order"},
    {"a wrong outcome",
     {},
     Id(1) + ",ok\n",
     "line 1: outcome is not done, not_run or unknown"},
    {"a wrong id",
     {},
     "7,done\n",
     "line 1: request id is not a UUID version 7"},
    {"a file without line breaks",
     {},
     std::string(10'000, 'x'),
     "line 1: row is too long"},
    {"a ledger in another order",
     {Row(2, kDone), Row(1, kDone)},
     "",
     "the ledger is not in ascending order of request ids"},
};

// Guards against a comparison that misses differences or reports false ones.
TABLE_TEST(tally, compare_with_a_partner, kCompareCases) {
  const CompareCase& row = kCompareCases[*row_index];
  size_t next = 0;
  std::istringstream partner(row.partner);
  size_t reported = 0;
  const auto summary = CompareLedger(
      [&]() -> Result<std::optional<LedgerEntry>> {
        return next < row.ledger.size() ? std::optional(row.ledger[next++])
                                        : std::nullopt;
      },
      partner, ComparePeriod(), [&reported](const Difference&) { ++reported; });
  std::ostringstream result;
  if (summary.has_value()) {
    const CompareSummary& counts = summary.value();
    result << counts.missing << ' ' << counts.extra << ' ' << counts.different
           << ' ' << counts.unresolved;
    cr_assert_eq(reported, counts.missing + counts.extra + counts.different +
                               counts.unresolved);
    cr_assert_eq(counts.agrees(), reported == 0);
  } else {
    result << summary.error().message;
  }
  const std::string text = result.str();
  cr_assert_str_eq(text.c_str(), row.result.c_str(), "%s", row.guards_against);
}

// Guards against rows of another period that count as differences.
Test(tally, comparison_is_limited_to_a_period) {
  const LedgerEntry before = Entry(kLastOfNovember, 1);
  std::vector<LedgerEntry> ledger = {before};
  std::istringstream partner(
      MakeRequestId(kLastOfNovember + std::chrono::hours(2), 2).value() +
      ",done\n");
  const ComparePeriod period{kLastOfNovember + std::chrono::hours(1),
                             kLastOfNovember + std::chrono::hours(3)};
  const auto summary = CompareLedger(
      [&]() -> Result<std::optional<LedgerEntry>> {
        if (ledger.empty())
          return std::optional<LedgerEntry>();
        const LedgerEntry entry = ledger.back();
        ledger.pop_back();
        return std::optional(entry);
      },
      partner, period, nullptr);
  cr_assert_eq(summary.value().missing, 0U);
  cr_assert_eq(summary.value().extra, 1U);
}

}  // namespace jackdawturn::requests
