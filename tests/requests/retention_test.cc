#include <string>
#include <variant>

#include "support/retention_world.h"

#include "support/table_test.h"

namespace jackdawturn::requests {

struct RetentionCase {
  const char* name;
  RetentionWorldOptions options;
};

static RetentionWorldOptions World(std::array<std::chrono::hours, 2> ahead,
                                   std::chrono::hours callers_ahead,
                                   bool both_purge,
                                   bool change_primary) {
  RetentionWorldOptions options;
  options.retention.ledger = std::chrono::days(4);
  options.retention.limit = 7;
  options.proxies_ahead = ahead;
  options.callers_ahead = callers_ahead;
  options.both_purge = both_purge;
  options.change_primary = change_primary;
  return options;
}

static constexpr std::chrono::hours kFar = std::chrono::days(365);

static const RetentionCase kRetentionCases[] = {
    {"one proxy purges", World({}, {}, false, false)},
    {"the clock of the purging proxy is a year ahead",
     World({kFar}, {}, false, false)},
    {"the clocks of all callers are a day ahead",
     World({}, std::chrono::hours(24), false, false)},
    {"two proxies purge concurrently", World({}, {}, true, false)},
    {"two proxies purge concurrently, one with its clock a year ahead",
     World({{std::chrono::hours(0), kFar}}, {}, true, false)},
    {"the primary changes between calls", World({}, {}, true, true)},
};

// Guards against entries that are removed before their time, against a ledger
// that grows without bound, and against a removed id that runs again.
TABLE_TEST(retention,
           keeps_young_entries_and_removes_old_ones,
           kRetentionCases) {
  const RetentionCase& row = kRetentionCases[*row_index];
  RetentionWorld world(row.options);
  world.Run();
  const uint64_t kept_hours = 4 * 24;
  // The margin covers a day for ids from clocks that are ahead, the interval
  // between rounds, and rounds whose call reached a demoted primary.
  const uint64_t bound = row.options.writes_per_hour * (kept_hours + 24 + 10);
  cr_assert_eq(world.hours_with_early_removal, 0, "%s", row.name);
  cr_assert_eq(world.ran_twice, 0, "%s", row.name);
  cr_assert_leq(world.largest_ledger, bound, "%s", row.name);
  cr_assert_geq(world.removed + bound, world.writes, "%s", row.name);
  cr_assert_leq(world.largest_removed, row.options.retention.limit, "%s",
                row.name);
  cr_assert_gt(world.late_copies_refused, 0, "%s", row.name);
  cr_assert_eq(world.refused_calls > 0, row.options.change_primary, "%s",
               row.name);
}

// Guards against calls of a proxy that is not the first holder, and against a
// low-water mark computed from data older than the takeover of the group.
Test(retention, only_the_first_holder_calls) {
  bool first = false;
  RetentionMachine machine(RetentionOptions(), {[&](const GroupName&) {
                             return first ? std::optional(SendPurge())
                                          : std::nullopt;
                           }});
  const GroupName group("g");
  machine.AddGroup(group, TimePoint());
  const WallTime wall(std::chrono::days(100));
  cr_assert(machine.OnTime(*machine.NextWakeup(), wall).empty());
  first = true;
  const TimePoint second = *machine.NextWakeup();
  const auto ask = machine.OnTime(second, wall);
  cr_assert_eq(ask.size(), 1);
  cr_assert(ask[0].low_water == WallTime() && ask[0].limit == 0);
  cr_assert_not(machine.NextWakeup());
  const PurgeResult asked{0, WallTime(), wall - std::chrono::days(1)};
  const auto purge = machine.OnAnswer(group, asked, second, wall);
  cr_assert_eq(purge.size(), 1);
  cr_assert(purge[0].low_water == WallTime(std::chrono::days(59)));
  cr_assert_eq(purge[0].limit, 1'000);
  // An error and a call that removed less than the limit end the round.
  const PurgeResult full{1'000, WallTime(), asked.newest};
  cr_assert(machine.OnAnswer(group, full, second, wall).empty());
  cr_assert(machine.NextWakeup() == second + std::chrono::seconds(1));
  cr_assert_eq(machine.OnTime(*machine.NextWakeup(), wall).size(), 1);
  cr_assert(machine
                .OnAnswer(group,
                          Result<PurgeResult>(
                              Failure(ErrorCode::kWrongTerm, "s", "p", "m")),
                          second, wall)
                .empty());
  cr_assert(machine.NextWakeup() == second + std::chrono::hours(1));
}

// Guards against a low-water mark before the epoch when the ledger is younger
// than the retention.
Test(retention, mark_is_never_negative) {
  RetentionMachine machine(RetentionOptions(), {[](const GroupName&) {
                             return std::optional(SendPurge());
                           }});
  machine.AddGroup(GroupName("g"), TimePoint());
  const WallTime wall(std::chrono::days(3));
  const TimePoint now = *machine.NextWakeup();
  cr_assert_eq(machine.OnTime(now, wall).size(), 1);
  const auto sends =
      machine.OnAnswer(GroupName("g"), PurgeResult{0, {}, wall}, now, wall);
  cr_assert_eq(sends.size(), 1);
  cr_assert(sends[0].low_water == WallTime());
}

}  // namespace jackdawturn::requests
