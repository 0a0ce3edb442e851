#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

#include "core/core.h"

namespace jackdawturn::requests {

struct RetentionOptions {
  // How long the ledger keeps an entry, counted from the time in its id.
  Duration ledger = std::chrono::days(40);
  // Time between two rounds of a group, and between two calls of a round.
  Duration interval = std::chrono::hours(1);
  Duration pause = std::chrono::seconds(1);
  // The largest number of entries that one call removes. It bounds how long
  // the transaction of a purge blocks the writes of a group.
  uint64_t limit = 1'000;
};

// Asks the primary of `term` to remove old entries; see PurgeCall of the ports.
struct SendPurge {
  GroupName group;
  InstanceName primary;
  Term term;
  WallTime low_water;
  uint64_t limit = 0;
};

// Decides when this proxy removes old entries from the request ledgers, and up
// to which time (docs/design.md, 5.1 "Retention").
//
// The low-water mark is the earlier of the wall clock and the time of the
// newest ledger entry, minus the retention. The newest entry is taken from the
// answer to the last call; the first call after a start only queries it. An
// answer that is an hour old makes the mark earlier, so that fewer entries are
// removed.
//
// Thread safety: not thread-safe; owned by the decision thread.
class RetentionMachine {
 public:
  struct Hooks {
    // The primary of the group's steady record, if this proxy is the one that
    // purges the group; empty otherwise.
    std::function<std::optional<SendPurge>(const GroupName& group)> target;
  };

  RetentionMachine(RetentionOptions options, Hooks hooks);

  // Adds a group. Its rounds begin at an offset within the interval that is
  // derived from its name, so that the groups of a fleet whose proxies start
  // together do not purge together.
  void AddGroup(const GroupName& group, TimePoint now);
  std::vector<SendPurge> OnTime(TimePoint now, WallTime wall);
  // The answer to SendPurge. Precondition: the group was added.
  std::vector<SendPurge> OnAnswer(const GroupName& group,
                                  const Result<PurgeResult>& result,
                                  TimePoint now,
                                  WallTime wall);
  // Returns when OnTime is due; nullopt when nothing is scheduled.
  std::optional<TimePoint> NextWakeup() const;

 private:
  struct Group {
    std::optional<WallTime> newest;
  };

  std::optional<SendPurge> Send(const GroupName& name,
                                Group& group,
                                WallTime wall);

  const RetentionOptions m_options;
  const Hooks m_hooks;
  std::map<GroupName, Group> m_groups;
  // The groups without a call in progress, by time of their next call.
  // NextWakeup runs for each event of a proxy, so its cost must not grow with
  // the number of groups.
  std::set<std::pair<TimePoint, GroupName>> m_due;
};

}  // namespace jackdawturn::requests
