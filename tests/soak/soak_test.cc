#include <algorithm>
#include <chrono>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "soak/soak.h"

// Criterion comes after the Boost headers.
#include "support/table_test.h"

namespace jackdawturn::soak {

static const GroupName kGroup("loans");

static TimePoint At(int64_t ms) {
  return TimePoint(std::chrono::milliseconds(ms));
}

struct CheckRow {
  const char* name;
  void (*run)(Checker& checker);
  std::optional<Rule> broken;
};

static void Append(Checker& checker, const std::string& attempt) {
  checker.Appended(kGroup, attempt, 1, {"k"});
}

static void Read(Checker& checker, int64_t covered, const std::string& data) {
  checker.ReadAnswered(checker.ReadBegan(kGroup, "k", At(covered)), data);
}

static const CheckRow kCheckRows[] = {
    {"a commit that is acknowledged and read",
     [](Checker& checker) {
       Append(checker, "a");
       checker.Acknowledged("a", At(1));
       Read(checker, 1, "a");
     },
     std::nullopt},
    {"a commit that nobody acknowledged is rolled back",
     [](Checker& checker) {
       Append(checker, "a");
       Append(checker, "b");
       checker.Acknowledged("a", At(1));
       checker.Promoted(kGroup, {"a"});
       checker.Refused("b", "ABORTED");
     },
     std::nullopt},
    {"an acknowledged commit is rolled back",
     [](Checker& checker) {
       Append(checker, "a");
       checker.Acknowledged("a", At(1));
       checker.Promoted(kGroup, {});
     },
     Rule::kLostCommit},
    {"an acknowledged commit is missing in the middle",
     [](Checker& checker) {
       Append(checker, "a");
       Append(checker, "b");
       checker.Acknowledged("a", At(1));
       checker.Promoted(kGroup, {"b"});
     },
     Rule::kLostCommit},
    {"a commit is acknowledged after it was rolled back",
     [](Checker& checker) {
       Append(checker, "a");
       checker.Promoted(kGroup, {});
       checker.Acknowledged("a", At(1));
     },
     Rule::kLostCommit},
    {"a commit is acknowledged that never ran",
     [](Checker& checker) { checker.Acknowledged("a", At(1)); },
     Rule::kInventedAnswer},
    {"a read returns nothing after a commit",
     [](Checker& checker) {
       Append(checker, "a");
       checker.Acknowledged("a", At(1));
       Read(checker, 1, "");
     },
     Rule::kStaleRead},
    {"a read returns the commit before the last",
     [](Checker& checker) {
       Append(checker, "a");
       Append(checker, "b");
       checker.Acknowledged("a", At(1));
       checker.Acknowledged("b", At(2));
       Read(checker, 2, "a");
     },
     Rule::kStaleRead},
    {"a read returns what a replaced primary has alone",
     [](Checker& checker) {
       Append(checker, "a");
       checker.Acknowledged("a", At(1));
       Append(checker, "lost");
       Append(checker, "lost-too");
       checker.Promoted(kGroup, {"a"});
       checker.Appended(kGroup, "b", 2, {"k"});
       checker.Acknowledged("b", At(2));
       Read(checker, 2, "lost-too");
     },
     Rule::kStaleRead},
    {"a read began before the acknowledgement",
     [](Checker& checker) {
       Append(checker, "a");
       const uint64_t read = checker.ReadBegan(kGroup, "k", At(1));
       checker.Acknowledged("a", At(1));
       checker.ReadAnswered(read, "");
     },
     std::nullopt},
    {"a read may miss what is younger than its limit",
     [](Checker& checker) {
       Append(checker, "a");
       Append(checker, "b");
       checker.Acknowledged("a", At(1'000));
       checker.Acknowledged("b", At(2'000));
       Read(checker, 1'999, "a");
     },
     std::nullopt},
    {"a read misses what is older than its limit",
     [](Checker& checker) {
       Append(checker, "a");
       checker.Acknowledged("a", At(1'000));
       Read(checker, 1'000, "");
     },
     Rule::kStaleRead},
    {"a read returns data that nobody wrote",
     [](Checker& checker) { Read(checker, 1, "x"); }, Rule::kInventedAnswer},
    {"a write takes effect twice",
     [](Checker& checker) {
       Append(checker, "a");
       Append(checker, "a");
     },
     Rule::kDoubleWrite},
    {"a promoted log holds a write twice",
     [](Checker& checker) {
       Append(checker, "a");
       checker.Promoted(kGroup, {"a", "a"});
     },
     Rule::kDoubleWrite},
    {"a write runs again after it was rolled back",
     [](Checker& checker) {
       Append(checker, "a");
       checker.Promoted(kGroup, {});
       checker.Appended(kGroup, "a", 2, {"k"});
     },
     std::nullopt},
    {"a refused write is in the log",
     [](Checker& checker) {
       Append(checker, "a");
       checker.Refused("a", "BUSY");
     },
     Rule::kFalseRefusal},
    {"a refused write runs later",
     [](Checker& checker) {
       checker.Refused("a", "BUSY");
       Append(checker, "a");
     },
     Rule::kFalseRefusal},
    {"a refused write comes back with the promoted instance",
     [](Checker& checker) {
       Append(checker, "a");
       checker.Promoted(kGroup, {});
       checker.Refused("a", "ABORTED");
       checker.Promoted(kGroup, {"a"});
     },
     Rule::kFalseRefusal},
};

// Guards against a checker that misses a lost commit, a stale read, a double
// write or a refusal that is not true, or that reports what is allowed.
TABLE_TEST(checker, rules, kCheckRows) {
  const CheckRow& row = kCheckRows[*row_index];
  Checker checker;
  row.run(checker);
  const auto& violation = checker.violation();
  cr_assert_eq(violation.has_value(), row.broken.has_value(), "%s", row.name);
  if (violation)
    cr_assert_eq(violation->rule, *row.broken, "%s: %s", row.name,
                 violation->detail.c_str());
}

struct ScheduleRow {
  size_t gateways;
  size_t groups;
};
static const ScheduleRow kScheduleRows[] = {{1, 1}, {3, 2}, {8, 2}};

// Guards against faults that differ between runs of one seed, last beyond the
// end, take two instances of a group at a time, never overlap or leave a kind
// out.
TABLE_TEST(schedule, seeds, kScheduleRows) {
  constexpr uint64_t kSeeds = 200;
  const ScheduleRow& row = kScheduleRows[*row_index];
  std::set<FaultKind> kinds;
  size_t overlaps = 0;
  size_t series = 0;
  for (uint64_t seed = 0; seed < kSeeds; ++seed) {
    const ScheduleOptions options{seed, std::chrono::seconds(20), row.gateways,
                                  row.groups};
    const std::vector<Fault> faults = MakeSchedule(options);
    cr_assert(faults == MakeSchedule(options));
    cr_assert(!faults.empty());
    cr_assert(faults != MakeSchedule({seed + 1, options.total, row.gateways,
                                      row.groups}));
    std::vector<Duration> taken_until(row.groups, Duration(0));
    Duration begin(0);
    Duration end(0);
    for (const Fault& fault : faults) {
      kinds.insert(fault.kind);
      cr_assert_leq(fault.begin.count(),
                    (options.total - fault.length).count());
      cr_assert_geq(fault.begin.count(), begin.count());
      ++(fault.begin < end ? overlaps : series);
      begin = fault.begin;
      end = std::max(end, fault.begin + fault.length);
      if (!TargetsGroup(fault.kind)) {
        cr_assert_lt(fault.target,
                     TargetsGateway(fault.kind) ? row.gateways : 1);
        continue;
      }
      cr_assert_lt(fault.target, row.groups);
      if (fault.kind != FaultKind::kPrimaryCrash &&
          fault.kind != FaultKind::kReplicaRestart &&
          fault.kind != FaultKind::kPrimarySilent &&
          fault.kind != FaultKind::kReplicaSilent &&
          fault.kind != FaultKind::kPrimaryCut)
        continue;
      cr_assert_geq(fault.begin.count(), taken_until[fault.target].count());
      taken_until[fault.target] = fault.begin + fault.length;
    }
  }
  cr_assert_eq(kinds.size(), kFaultKinds);
  cr_assert_gt(overlaps, 0);
  cr_assert_gt(series, 0);
}

// A group whose replicas receive everything, and one statement's answer.
struct GroupRig {
  void Settle() {
    for (int times = 0; times < 100; ++times)
      group.Replicate(now += std::chrono::milliseconds(2));
  }
  // Repeats a statement that found no place to run in.
  std::string Ask(size_t instance, const std::string& text) {
    GroupModel::Answer answer;
    do {
      answer = group.Execute(instance, session, text);
    } while (answer.lines.starts_with("ERROR BUSY"));
    commit = answer.commit;
    return answer.lines.substr(0, answer.lines.find('\r'));
  }

  Checker checker;
  GroupModel group{kGroup, 7, checker};
  GroupModel::Session session;
  std::optional<gateway::CommitPosition> commit;
  TimePoint now = At(1'000);
};

struct GroupRow {
  const char* name;
  void (*prepare)(GroupRig& rig);
  size_t instance;
  const char* text;
  const char* answer;
};

static const GroupRow kGroupRows[] = {
    {"a replica refuses writes", nullptr, 1, "WRITE k a",
     "ERROR READONLY i-loans1"},
    {"a replica refuses plain transactions", nullptr, 1, "BEGIN",
     "ERROR READONLY i-loans1"},
    {"a replica has what the primary has",
     [](GroupRig& rig) {
       rig.Ask(0, "WRITE k a");
       rig.Settle();
     },
     1, "AFTER 1.1 READ k", "DATAROW a"},
    {"a paused replica receives nothing",
     [](GroupRig& rig) {
       rig.Ask(1, "PAUSE 2");
       rig.Ask(0, "WRITE k a");
       rig.Settle();
     },
     1, "AFTER 1.1 READ k", "ERROR LAGGING i-loans1"},
    {"a resumed replica receives",
     [](GroupRig& rig) {
       rig.Ask(1, "PAUSE 2");
       rig.Ask(0, "WRITE k a");
       rig.Ask(1, "RESUME");
       rig.Settle();
     },
     1, "AFTER 1.1 READ k", "DATAROW a"},
    {"a restart ends the pause",
     [](GroupRig& rig) {
       rig.Ask(1, "PAUSE 2");
       rig.group.Crash(1);
       rig.group.Restart(1, 2);
     },
     1, "STATUS", "DATAROW replica 1 1.0 0 0 0 1"},
    {"the term of a pause must be new",
     [](GroupRig& rig) { rig.Ask(1, "PAUSE 1"); }, 1, "STATUS",
     "DATAROW replica 1 1.0 0 0 0 1"},
    {"a primary steps down for a newer term",
     [](GroupRig& rig) { rig.Ask(0, "STEPDOWN 2"); }, 0, "WRITE k a",
     "ERROR READONLY i-loans0"},
    {"a promotion deposes the old primary",
     [](GroupRig& rig) { rig.group.Promote(2); }, 0, "WRITE k a",
     "ERROR READONLY i-loans0"},
    {"a primary that comes back leads",
     [](GroupRig& rig) {
       rig.group.Crash(0);
       rig.group.Restart(0, 2);
     },
     0, "WRITE k a", "COMPLETE w-a"},
    {"a primary that was replaced comes back as a replica",
     [](GroupRig& rig) {
       rig.group.Crash(0);
       rig.group.Promote(1);
       rig.group.Restart(0, 2);
     },
     0, "WRITE k a", "ERROR READONLY i-loans0"},
    {"what only the old primary had is gone",
     [](GroupRig& rig) {
       rig.Ask(0, "WRITE k a");
       rig.group.Promote(1);
       rig.Settle();
     },
     0, "READ k", "DATAROW none"},
    {"a transaction ends with the lead",
     [](GroupRig& rig) {
       rig.Ask(0, "BEGIN");
       rig.Ask(0, "WRITE k a");
       rig.group.Promote(1);
     },
     0, "COMMIT", "ERROR READONLY i-loans0"},
    {"a transaction sees its writes",
     [](GroupRig& rig) {
       rig.Ask(0, "BEGIN");
       rig.Ask(0, "WRITE k a");
     },
     0, "READ k", "DATAROW a"},
    {"a rollback keeps nothing",
     [](GroupRig& rig) {
       rig.Ask(0, "BEGIN");
       rig.Ask(0, "WRITE k a");
       rig.Ask(0, "ROLLBACK");
     },
     0, "READ k", "DATAROW none"},
    {"a prepared statement runs",
     [](GroupRig& rig) { rig.Ask(0, "PARSE s WRITE q"); }, 0, "EXECUTE s k a",
     "COMPLETE w-a"},
    {"a prepared statement is not known", nullptr, 0, "EXECUTE s k a",
     "ERROR NOSTMT i-loans0"},
};

// Guards against stand-ins that keep other promises than the platform's.
TABLE_TEST(group_model, statements, kGroupRows) {
  const GroupRow& row = kGroupRows[*row_index];
  GroupRig rig;
  rig.Settle();
  if (row.prepare)
    row.prepare(rig);
  const std::string answer = rig.Ask(row.instance, row.text);
  cr_assert_str_eq(answer.c_str(), row.answer, "%s: %s", row.name,
                   answer.c_str());
  cr_assert(!rig.checker.violation());
}

struct CommitRow {
  const char* name;
  void (*meanwhile)(GroupRig& rig);
  GroupModel::CommitState state;
};

static const CommitRow kCommitRows[] = {
    {"no time has passed", [](GroupRig&) {}, GroupModel::CommitState::kWaiting},
    {"the replicas have received it", [](GroupRig& rig) { rig.Settle(); },
     GroupModel::CommitState::kReceived},
    {"one replica has received it",
     [](GroupRig& rig) {
       rig.group.Crash(1);
       rig.Settle();
     },
     GroupModel::CommitState::kReceived},
    {"no replica runs",
     [](GroupRig& rig) {
       rig.group.Crash(1);
       rig.group.SetSilent(2, true);
       rig.Settle();
     },
     GroupModel::CommitState::kWaiting},
    {"another instance leads", [](GroupRig& rig) { rig.group.Promote(1); },
     GroupModel::CommitState::kAbandoned},
};

// Guards against commits that are acknowledged before a replica has them.
TABLE_TEST(group_model, commits, kCommitRows) {
  const CommitRow& row = kCommitRows[*row_index];
  GroupRig rig;
  rig.Settle();
  rig.Ask(0, "WRITE k a");
  cr_assert(rig.commit.has_value());
  const auto commit = *rig.commit;
  row.meanwhile(rig);
  cr_assert_eq(rig.group.StateOf(0, commit), row.state, "%s", row.name);
}

}  // namespace jackdawturn::soak
