#include <string>
#include <vector>

#include "gateway/gateway.h"

#include "support/table_test.h"

namespace jackdawturn::gateway {

namespace {

using namespace std::chrono_literals;  // NOLINT(google-build-using-namespace)

const TimePoint kStart{std::chrono::hours(1)};

BackendServer ServerOf(const std::string& id,
                       ReplicationRole role,
                       uint64_t revision) {
  BackendServer server;
  server.id = InstanceName(id);
  server.group = GroupName("loans");
  server.role = role;
  server.revision = revision;
  return server;
}

}  // namespace

// A replica may only be asked for a position that covers the allowed age.
Test(gateway_positions, oldest_position_that_covers_the_age) {
  PositionHistory history;
  history.Observe(kStart, {1, 10});
  history.Observe(kStart + 100ms, {1, 12});
  history.Observe(kStart + 200ms, {1, 15});
  cr_expect_eq(history.PositionCovering(kStart - 50ms)->number, 10U);
  cr_expect_eq(history.PositionCovering(kStart + 50ms)->number, 12U);
  cr_expect_eq(history.PositionCovering(kStart + 200ms)->number, 15U);
  cr_expect(!history.PositionCovering(kStart + 201ms));
}

// Positions of an old term may have been rolled back and are never reached.
Test(gateway_positions, new_term_drops_positions_of_the_old_one) {
  PositionHistory history;
  history.Observe(kStart, {1, 99});
  history.Observe(kStart + 100ms, {2, 50});
  cr_expect_eq(history.PositionCovering(kStart), (CommitPosition{2, 50}));
}

// Load patterns of reads, each with the instance that should serve the next.
struct ReadSelectionCase {
  const char* pattern;
  ReadCandidate first;
  ReadCandidate second;
  bool recently_written;
  const char* chosen;
};

static const CommitPosition kRequired{1, 10};

static const ReadSelectionCase kReadSelections[] = {
    {"one slow replica: its requests pile up",
     {.id = InstanceName("a"), .outstanding = 4},
     {.id = InstanceName("b"), .outstanding = 1},
     false,
     "b"},
    {"one silent replica",
     {.id = InstanceName("a"), .unreachable = true},
     {.id = InstanceName("b"), .outstanding = 3},
     false,
     "b"},
    {"one replica far behind",
     {.id = InstanceName("a"), .lagging = true},
     {.id = InstanceName("b"), .outstanding = 3},
     false,
     "b"},
    {"reads in a burst leave the primary to writes",
     {.id = InstanceName("a"), .primary = true, .outstanding = 0},
     {.id = InstanceName("b"), .outstanding = 1},
     false,
     "b"},
    {"a long queue at the replica spills over to the primary",
     {.id = InstanceName("a"), .primary = true, .outstanding = 0},
     {.id = InstanceName("b"), .outstanding = 3},
     false,
     "a"},
    {"equal load: the near one",
     {.id = InstanceName("a")},
     {.id = InstanceName("b"), .same_zone = true},
     false,
     "b"},
    {"a session's own fresh commit",
     {.id = InstanceName("a"), .primary = true, .outstanding = 3},
     {.id = InstanceName("b")},
     true,
     "a"},
    {"a session's own commit that the replica showed",
     {.id = InstanceName("a"), .primary = true},
     {.id = InstanceName("b"), .applied = CommitPosition{1, 10}},
     true,
     "b"},
};

TABLE_TEST(gateway_read_selection, reads_by_load_pattern, kReadSelections) {
  const ReadSelectionCase& row = kReadSelections[*row_index];
  const auto chosen = ChooseReadInstance({row.first, row.second}, kRequired,
                                         row.recently_written, {});
  cr_assert(chosen);
  cr_assert_str_eq(chosen->value().c_str(), row.chosen, "%s", row.pattern);
}

// Session state that stays on a shared connection would reach another client.
struct PrepareCase {
  SessionState session;
  AppliedSessionState connection;
  std::vector<BackendCommand::Kind> commands;
};

static const PrepareCase kPrepares[] = {
    {{}, {}, {}},
    {{.values = {{"a", "1"}}}, {}, {BackendCommand::Kind::kSetValue}},
    {{.values = {{"a", "1"}}}, {.values = {{"a", "1"}}}, {}},
    {{.values = {{"a", "2"}}},
     {.values = {{"a", "1"}}},
     {BackendCommand::Kind::kSetValue}},
    // Another client's value can only be cleared with all others.
    {{.values = {{"a", "1"}}},
     {.values = {{"a", "1"}, {"b", "1"}}},
     {BackendCommand::Kind::kDiscard, BackendCommand::Kind::kSetValue}},
    {{}, {.values = {{"b", "1"}}}, {BackendCommand::Kind::kDiscard}},
};

TABLE_TEST(gateway_session_state, connection_gets_the_session, kPrepares) {
  const PrepareCase& row = kPrepares[*row_index];
  AppliedSessionState connection = row.connection;
  const auto commands = PrepareConnection(row.session, nullptr, connection);
  cr_assert_eq(commands.size(), row.commands.size());
  for (size_t index = 0; index < commands.size(); ++index)
    cr_expect_eq(commands[index].kind, row.commands[index]);
  cr_expect(connection.values == row.session.values);
}

// Two clients with the same name for different statements, and the other way.
Test(gateway_session_state, prepared_statements_are_shared_by_shape) {
  AppliedSessionState connection;
  const PreparedStatement read{false, "q1"};
  const PreparedStatement write{true, "q1"};
  cr_expect_eq(PrepareConnection({}, &read, connection).size(), 1U);
  cr_expect_eq(PrepareConnection({}, &read, connection).size(), 0U);
  cr_expect_eq(PrepareConnection({}, &write, connection).size(), 1U);
}

// Entries that lapse while the store is away come back within about two
// seconds; what is missing after that is gone, and what was leaving is gone at
// once.
Test(gateway_directory, lapsed_entries_are_kept_for_the_grace_period) {
  ServerDirectory directory;
  BackendServer leaving = ServerOf("b", ReplicationRole::kReplica, 2);
  leaving.draining = true;
  directory.Update(ServerOf("a", ReplicationRole::kReplica, 1));
  directory.Update(leaving);
  directory.Remove(InstanceName("a"), kStart);
  directory.Remove(InstanceName("b"), kStart);
  cr_expect_null(directory.Find(InstanceName("b")));
  cr_expect(directory.Expire(kStart + 2s).empty());
  cr_expect_not_null(directory.Find(InstanceName("a")));
  cr_expect_eq(directory.Expire(kStart + 3s).size(), 1U);
  cr_expect_null(directory.Find(InstanceName("a")));
}

// An old primary that cannot reach the store still claims its role there.
Test(gateway_directory, newest_claim_of_the_role_leads) {
  ServerDirectory directory;
  directory.Update(ServerOf("a", ReplicationRole::kPrimary, 1));
  directory.Update(ServerOf("b", ReplicationRole::kReplica, 2));
  directory.Update(ServerOf("b", ReplicationRole::kPrimary, 3));
  // Another member of the old primary's entry changes.
  directory.Update(ServerOf("a", ReplicationRole::kPrimary, 4));
  cr_expect_str_eq(directory.Primary(GroupName("loans"))->id.value().c_str(),
                   "b");
}

// A cut zone, told apart from instances that have crashed.
struct ReachabilityCase {
  const char* pattern;
  // r: reached, then f: failed, F: failed only, -: not tried.
  const char* remote;
  OtherZoneReachability::Verdict verdict;
};

static const ReachabilityCase kReachabilities[] = {
    {"all is well", "rrrrrr", OtherZoneReachability::Verdict::kReached},
    {"nothing was tried yet", "------", OtherZoneReachability::Verdict::kNone},
    {"one instance has crashed", "rrrFrr",
     OtherZoneReachability::Verdict::kReached},
    {"the only one tried has crashed", "--F---",
     OtherZoneReachability::Verdict::kNone},
    {"a whole group has crashed", "FF-rr-",
     OtherZoneReachability::Verdict::kReached},
    {"the zone is cut off", "ffff--",
     OtherZoneReachability::Verdict::kIsolated},
    {"the zone is cut off and few were tried", "ff----",
     OtherZoneReachability::Verdict::kFailing},
};

TABLE_TEST(gateway_other_zone_reachability,
           cut_zone_by_pattern,
           kReachabilities) {
  const ReachabilityCase& row = kReachabilities[*row_index];
  OtherZoneReachability reachability;
  std::vector<InstanceName> remote;
  for (const char* state = row.remote; *state; ++state) {
    const InstanceName id("i-" + std::to_string(remote.size()));
    remote.push_back(id);
    if (*state == 'r' || *state == 'f')
      reachability.Reached(id, kStart);
    if (*state == 'f' || *state == 'F')
      reachability.Failed(id, kStart + 100ms);
  }
  cr_expect(reachability.Check(remote, kStart + 200ms) == row.verdict, "%s",
            row.pattern);
  // Old evidence counts for nothing.
  cr_expect(reachability.Check(remote, kStart + 2s) ==
            OtherZoneReachability::Verdict::kNone);
}

// Rounds of probes, each reaching somebody or nobody. A proxy that takes its
// connected zone for cut off turns clients away; one that does not notice a cut
// lets its clients wait for nothing.
struct IsolationCase {
  const char* pattern;
  bool suspected;
  // r: the round reaches somebody, n: nobody.
  const char* rounds;
  bool isolated;
};

static const IsolationCase kIsolations[] = {
    {"nothing points to a cut", false, "", false},
    {"the zone is cut off", true, "nn", true},
    {"the first proxies that were asked are down", true, "nr", false},
    {"one round is no proof", true, "n", false},
    {"the zone is connected again", true, "nnr", false},
    {"the cut lasts", true, "nnnnnn", true},
};

TABLE_TEST(gateway_zone_isolation, cut_zone_by_rounds, kIsolations) {
  const IsolationCase& row = kIsolations[*row_index];
  ZoneIsolation isolation;
  TimePoint now = kStart;
  if (row.suspected)
    isolation.Suspect(now);
  for (const char* round = row.rounds; *round; ++round) {
    while (!isolation.BeginRound(now)) {
      now += 10ms;
      cr_assert_lt((now - kStart).count(), Duration(10s).count());
    }
    now += 20ms;
    isolation.RoundEnded(*round == 'r', now);
  }
  cr_expect_eq(isolation.isolated_since().has_value(), row.isolated, "%s",
               row.pattern);
  cr_expect(row.suspected || !isolation.BeginRound(now));
}

// All replicas far behind, with more reads than the primary has room for. A
// group is changed only when that helps: not while one replica serves, nor
// because of a single late commit, nor while the primary has room.
struct LagCase {
  const char* pattern;
  // Of replica a and b: L refuses reads, s serves some in between, - is idle.
  const char* replicas;
  bool primary_full;
  Duration lasts;
  bool lag_switchover;
};

static const LagCase kLags[] = {
    {"all replicas behind, primary full", "LL", true, 1'500ms, true},
    {"all replicas behind, primary has room", "LL", false, 1'500ms, false},
    {"one replica serves", "Ls", true, 1'500ms, false},
    {"one replica was not asked", "L-", true, 1'500ms, false},
    {"behind for a moment", "LL", true, 500ms, false},
};

TABLE_TEST(gateway_replica_lag, load_beyond_the_primary, kLags) {
  const LagCase& row = kLags[*row_index];
  ReplicaLagMonitor monitor;
  const std::vector<InstanceName> replicas{InstanceName("a"),
                                           InstanceName("b")};
  const GroupName group("loans");
  TimePoint now = kStart;
  for (; now <= kStart + row.lasts; now += 250ms) {
    for (size_t index = 0; index < replicas.size(); ++index) {
      if (row.replicas[index] != '-')
        monitor.Lagging(replicas[index], now);
      if (row.replicas[index] == 's')
        monitor.Served(replicas[index]);
    }
    if (row.primary_full)
      monitor.PrimaryFull(group, now);
  }
  cr_expect_eq(monitor.LagSwitchoverNeeded(group, replicas, now),
               row.lag_switchover, "%s", row.pattern);
  // What was seen before a pause says nothing of the present.
  cr_expect(!monitor.LagSwitchoverNeeded(group, replicas, now + 2s));
  cr_expect(!monitor.LagSwitchoverNeeded(group, {}, now));
}

// Each way in which a primary fails, seen from the requests of one proxy.
struct PrimaryFailureCase {
  const char* pattern;
  std::function<void(PrimaryFailureDetector&, const InstanceName&)> events;
  std::optional<SuspicionReason> after_one_second;
};

static const PrimaryFailureCase kPrimaryFailures[] = {
    {"answers",
     [](PrimaryFailureDetector& detector, const InstanceName& id) {
       detector.Sent(id, true, kStart);
       detector.Answered(id, true, kStart + 5ms);
     },
     std::nullopt},
    {"falls silent",
     [](PrimaryFailureDetector& detector, const InstanceName& id) {
       detector.Sent(id, false, kStart);
     },
     SuspicionReason::kSilent},
    {"refuses connections",
     [](PrimaryFailureDetector& detector, const InstanceName& id) {
       detector.Refused(id, kStart);
     },
     SuspicionReason::kRefused},
    {"answers reads, but no write",
     [](PrimaryFailureDetector& detector, const InstanceName& id) {
       detector.Sent(id, true, kStart);
       for (Duration time = 0ms; time < 1s; time += 100ms) {
         detector.Sent(id, false, kStart + time);
         detector.Answered(id, false, kStart + time + 5ms);
       }
     },
     SuspicionReason::kStalled},
    {"was cut off with a write in progress, and answers again",
     [](PrimaryFailureDetector& detector, const InstanceName& id) {
       detector.Sent(id, true, kStart);
       detector.Sent(id, false, kStart + 800ms);
       detector.Answered(id, false, kStart + 805ms);
     },
     std::nullopt},
};

TABLE_TEST(gateway_primary_failure_detector,
           failures_of_a_primary,
           kPrimaryFailures) {
  const PrimaryFailureCase& row = kPrimaryFailures[*row_index];
  PrimaryFailureDetector detector;
  const InstanceName id("p");
  row.events(detector, id);
  cr_assert(detector.Check(id, kStart + 1s) == row.after_one_second, "%s",
            row.pattern);
}

}  // namespace jackdawturn::gateway
