#include <string>
#include <vector>

#include "gateway/gateway.h"

#include "support/table_test.h"

namespace jackdawturn::gateway {

namespace {

using namespace std::chrono_literals;  // NOLINT(google-build-using-namespace)

const TimePoint kStart{std::chrono::hours(1)};

BackendServer MakeServer(const std::string& id,
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

// A bounded-staleness read must require a position that includes every commit
// older than the allowed age.
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

// Positions of an old term may have been rolled back; a replica that waits for
// one would never reach it.
Test(gateway_positions, new_term_drops_positions_of_the_old_one) {
  PositionHistory history;
  history.Observe(kStart, {1, 99});
  history.Observe(kStart + 100ms, {2, 50});
  cr_expect_eq(history.PositionCovering(kStart), (CommitPosition{2, 50}));
}

// Load patterns of reads, each with the instance that should serve the next
// read.
struct ReadSelectionCase {
  const char* pattern;
  ReadCandidate first;
  ReadCandidate second;
  bool recently_written;
  const char* chosen;
};

static const CommitPosition kRequired{1, 10};

static const ReadSelectionCase kReadSelections[] = {
    {"one slow replica with a growing queue",
     {.id = InstanceName("a"), .outstanding = 4},
     {.id = InstanceName("b"), .outstanding = 1},
     false,
     "b"},
    {"one unresponsive replica",
     {.id = InstanceName("a"), .unreachable = true},
     {.id = InstanceName("b"), .outstanding = 3},
     false,
     "b"},
    {"one lagging replica",
     {.id = InstanceName("a"), .lagging = true},
     {.id = InstanceName("b"), .outstanding = 3},
     false,
     "b"},
    {"a burst of reads goes to the replica, to keep the primary for writes",
     {.id = InstanceName("a"), .primary = true, .outstanding = 0},
     {.id = InstanceName("b"), .outstanding = 1},
     false,
     "b"},
    {"a long queue at the replica spills over to the primary",
     {.id = InstanceName("a"), .primary = true, .outstanding = 0},
     {.id = InstanceName("b"), .outstanding = 3},
     false,
     "a"},
    {"a replica that has just started and has no room yet",
     {.id = InstanceName("a"), .outstanding = 1, .held_back = true},
     {.id = InstanceName("b"), .outstanding = 5},
     false,
     "b"},
    {"the other replica is fuller than the one that has just started",
     {.id = InstanceName("a"), .outstanding = 1, .held_back = true},
     {.id = InstanceName("b"), .outstanding = 20},
     false,
     "a"},
    {"equal load: the instance in the proxy's zone",
     {.id = InstanceName("a")},
     {.id = InstanceName("b"), .same_zone = true},
     false,
     "b"},
    {"the session has just committed: the primary",
     {.id = InstanceName("a"), .primary = true, .outstanding = 3},
     {.id = InstanceName("b")},
     true,
     "a"},
    {"the session has just committed, and the replica has applied it",
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

// Guards against session state of one client that remains on a pooled
// connection and is applied to the statements of another.
struct PrepareCase {
  SessionState session;
  // What another session has left on the connection.
  SessionState before;
  std::vector<BackendCommand::Kind> commands;
};

static std::vector<BackendReply> DoneReplies(size_t count) {
  BackendReply done;
  done.code = ReplyCode::kDone;
  return std::vector<BackendReply>(count, done);
}

static AppliedSessionState ConnectionOf(const SessionState& session) {
  AppliedSessionState connection;
  connection.Replied(DoneReplies(connection.Prepare(session, nullptr).size()));
  return connection;
}

static const PrepareCase kPrepares[] = {
    {{}, {}, {}},
    {{.values = {{"a", "1"}}}, {}, {BackendCommand::Kind::kSetValue}},
    {{.values = {{"a", "1"}}}, {.values = {{"a", "1"}}}, {}},
    {{.values = {{"a", "2"}}},
     {.values = {{"a", "1"}}},
     {BackendCommand::Kind::kSetValue}},
    // A value of another client can only be cleared by discarding all values.
    {{.values = {{"a", "1"}}},
     {.values = {{"a", "1"}, {"b", "1"}}},
     {BackendCommand::Kind::kDiscard, BackendCommand::Kind::kSetValue}},
    {{}, {.values = {{"b", "1"}}}, {BackendCommand::Kind::kDiscard}},
};

TABLE_TEST(gateway_session_state,
           connection_gets_the_session_state,
           kPrepares) {
  const PrepareCase& row = kPrepares[*row_index];
  AppliedSessionState connection = ConnectionOf(row.before);
  const auto commands = connection.Prepare(row.session, nullptr);
  cr_assert_eq(commands.size(), row.commands.size());
  for (size_t index = 0; index < commands.size(); ++index)
    cr_expect_eq(commands[index].kind, row.commands[index]);
  connection.Replied(DoneReplies(commands.size()));
  cr_expect(connection.values() == row.session.values);
}

// A value whose SET was refused was taken as applied, so that later statements
// of the client ran with its old value (PINNED in review/3).
struct RefusalCase {
  const char* pattern;
  // The replies to a SET and a PARSE; none if they were not passed on.
  std::vector<ReplyCode> replies;
  // How many commands the next statement needs.
  size_t commands;
};

static const RefusalCase kRefusals[] = {
    {"both were done", {ReplyCode::kDone, ReplyCode::kDone}, 0},
    {"SET was refused", {ReplyCode::kReadOnly, ReplyCode::kDone}, 3},
    {"PARSE was refused", {ReplyCode::kDone, ReplyCode::kMalformed}, 3},
    {"both were refused", {ReplyCode::kReadOnly, ReplyCode::kMalformed}, 3},
    {"only SET was answered", {ReplyCode::kDone}, 3},
    {"the batch was not answered", {}, 3},
};

TABLE_TEST(gateway_session_state, refused_command_is_not_applied, kRefusals) {
  const RefusalCase& row = kRefusals[*row_index];
  AppliedSessionState connection = ConnectionOf({.values = {{"a", "1"}}});
  const SessionState session{.values = {{"a", "2"}}};
  const PreparedStatement needed{false, "q1"};
  cr_assert_eq(connection.Prepare(session, &needed).size(), 2U);
  std::vector<BackendReply> replies(row.replies.size());
  for (size_t index = 0; index < replies.size(); ++index)
    replies[index].code = row.replies[index];
  if (!replies.empty())
    connection.Replied(replies);
  const auto commands = connection.Prepare(session, &needed);
  cr_assert_eq(commands.size(), row.commands, "%s", row.pattern);
  if (commands.empty())
    return;
  cr_expect_eq(commands.front().kind, BackendCommand::Kind::kDiscard);
  connection.Replied(DoneReplies(commands.size()));
  cr_expect_eq(connection.Prepare(session, &needed).size(), 0U);
}

// The shape of a statement may hold blanks, which end a name on the wire.
Test(gateway_session_state, shared_names_are_words) {
  const PreparedStatement blank{false, "q 1"};
  const PreparedStatement escaped{false, "q%201"};
  cr_expect_eq(blank.SharedName().find(' '), std::string::npos);
  cr_expect(blank.SharedName() != escaped.SharedName());
}

// Clients may prepare different statements under the same name, or the same
// statement under different names; a pooled connection shares equal statements
// only.
Test(gateway_session_state, prepared_statements_are_shared_by_shape) {
  AppliedSessionState connection;
  const PreparedStatement read{false, "q1"};
  const PreparedStatement write{true, "q1"};
  cr_expect_eq(connection.Prepare({}, &read).size(), 1U);
  connection.Replied(DoneReplies(1));
  cr_expect_eq(connection.Prepare({}, &read).size(), 0U);
  connection.Replied({});
  cr_expect_eq(connection.Prepare({}, &write).size(), 1U);
}

// Entries that expire during an outage of the store are listed again within
// about two seconds after it. An instance that is unlisted for longer serves
// nothing, but remains a member of its group until it was found not to run; one
// that was leaving is removed immediately.
Test(gateway_directory, lapsed_entries_are_kept_for_the_grace_period) {
  ServerDirectory directory;
  BackendServer leaving = MakeServer("b", ReplicationRole::kReplica, 2);
  leaving.draining = true;
  directory.Update(MakeServer("a", ReplicationRole::kReplica, 1));
  directory.Update(leaving);
  directory.Remove(InstanceName("a"), kStart);
  directory.Remove(InstanceName("b"), kStart);
  cr_expect_null(directory.Find(InstanceName("b")));
  cr_expect(directory.TakeOverdue(kStart + 2s).empty());
  cr_expect_eq(directory.NonDraining(GroupName("loans")).size(), 1U);
  const auto overdue = directory.TakeOverdue(kStart + 3s);
  cr_assert_eq(overdue.size(), 1U);
  cr_expect(directory.NonDraining(GroupName("loans")).empty());
  cr_expect_eq(directory.All(GroupName("loans")).size(), 1U);
  // It is checked at intervals.
  cr_expect(directory.TakeOverdue(kStart + 3'500ms).empty());
  cr_expect_eq(directory.TakeOverdue(kStart + 4s).size(), 1U);
  cr_expect(directory.Forget(overdue.front()));
  cr_expect_null(directory.Find(InstanceName("a")));
}

// An instance that is listed again during the check whether it runs is kept.
Test(gateway_directory, instance_that_is_listed_again_is_kept) {
  ServerDirectory directory;
  BackendServer server = MakeServer("a", ReplicationRole::kReplica, 1);
  directory.Update(server);
  directory.Remove(InstanceName("a"), kStart);
  const auto overdue = directory.TakeOverdue(kStart + 3s);
  cr_assert_eq(overdue.size(), 1U);
  server.revision = 2;
  directory.Update(server);
  cr_expect(!directory.Forget(overdue.front()));
  cr_expect_eq(directory.NonDraining(GroupName("loans")).size(), 1U);
}

// The entry of an old primary that cannot reach the store still has the role of
// primary; the instance that took the role last must be chosen.
Test(gateway_directory, latest_instance_to_become_primary_is_chosen) {
  ServerDirectory directory;
  directory.Update(MakeServer("a", ReplicationRole::kPrimary, 1));
  directory.Update(MakeServer("b", ReplicationRole::kReplica, 2));
  directory.Update(MakeServer("b", ReplicationRole::kPrimary, 3));
  // Another field of the old primary's entry changes.
  directory.Update(MakeServer("a", ReplicationRole::kPrimary, 4));
  cr_expect_str_eq(directory.Primary(GroupName("loans"))->id.value().c_str(),
                   "b");
}

// Guards against taking crashed instances for a partition of the zone, and the
// reverse.
struct ReachabilityCase {
  const char* pattern;
  // One letter for each instance. r: reached, f: reached and then failed, F:
  // failed only, -: no request.
  const char* remote;
  OtherZoneReachability::Verdict verdict;
};

static const ReachabilityCase kReachabilities[] = {
    {"all instances are reachable", "rrrrrr",
     OtherZoneReachability::Verdict::kReached},
    {"no requests yet", "------", OtherZoneReachability::Verdict::kNone},
    {"one instance has crashed", "rrrFrr",
     OtherZoneReachability::Verdict::kReached},
    {"the only instance with requests has crashed", "--F---",
     OtherZoneReachability::Verdict::kNone},
    {"a whole group has crashed", "FF-rr-",
     OtherZoneReachability::Verdict::kReached},
    {"the zone is partitioned", "ffff--",
     OtherZoneReachability::Verdict::kIsolated},
    {"the zone is partitioned, requests to few instances", "ff----",
     OtherZoneReachability::Verdict::kFailing},
};

TABLE_TEST(gateway_other_zone_reachability,
           partition_by_request_pattern,
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
  // Old evidence is ignored.
  cr_expect(reachability.Check(remote, kStart + 2s) ==
            OtherZoneReachability::Verdict::kNone);
}

// A proxy that wrongly considers its zone partitioned rejects clients; one that
// does not detect a partition lets its clients wait for requests that cannot
// succeed.
struct IsolationCase {
  const char* pattern;
  bool suspected;
  // One letter for each round of probes. r: reaches a proxy, n: reaches none.
  const char* rounds;
  bool isolated;
};

static const IsolationCase kIsolations[] = {
    {"no sign of a partition", false, "", false},
    {"the zone is partitioned", true, "nn", true},
    {"the proxies probed in the first round are down", true, "nr", false},
    {"a single failed round is not sufficient", true, "n", false},
    {"the zone is connected again", true, "nnr", false},
    {"the partition persists", true, "nnnnnn", true},
};

TABLE_TEST(gateway_zone_isolation, partition_by_probe_rounds, kIsolations) {
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

// All replicas lag, with more reads than the primary has capacity for. A
// switchover must happen only when it helps: not while a replica serves reads,
// not after a single late commit, and not while the primary has capacity.
struct LagCase {
  const char* pattern;
  // One letter each for replica a and b. L: refuses reads, s: refuses some and
  // serves others, -: receives none.
  const char* replicas;
  bool primary_full;
  Duration duration;
  bool lag_switchover;
};

static const LagCase kLags[] = {
    {"all replicas lag, primary at capacity", "LL", true, 1'500ms, true},
    {"all replicas lag, primary below capacity", "LL", false, 1'500ms, false},
    {"one replica serves", "Ls", true, 1'500ms, false},
    {"one replica received no reads", "L-", true, 1'500ms, false},
    {"replicas lag briefly", "LL", true, 500ms, false},
};

TABLE_TEST(gateway_replica_lag, load_beyond_the_primary, kLags) {
  const LagCase& row = kLags[*row_index];
  ReplicaLagMonitor monitor;
  const std::vector<InstanceName> replicas{InstanceName("a"),
                                           InstanceName("b")};
  const GroupName group("loans");
  TimePoint now = kStart;
  for (; now <= kStart + row.duration; now += 250ms) {
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
  // Evidence from before a pause is outdated.
  cr_expect(!monitor.LagSwitchoverNeeded(group, replicas, now + 2s));
  cr_expect(!monitor.LagSwitchoverNeeded(group, {}, now));
}

// Each way in which a primary fails, as observed from the requests of one
// proxy.
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
    {"becomes unresponsive",
     [](PrimaryFailureDetector& detector, const InstanceName& id) {
       detector.Sent(id, false, kStart);
     },
     SuspicionReason::kSilent},
    {"refuses connections",
     [](PrimaryFailureDetector& detector, const InstanceName& id) {
       detector.Refused(id, kStart);
     },
     SuspicionReason::kRefused},
    {"answers reads, but no writes",
     [](PrimaryFailureDetector& detector, const InstanceName& id) {
       detector.Sent(id, true, kStart);
       for (Duration time = 0ms; time < 1s; time += 100ms) {
         detector.Sent(id, false, kStart + time);
         detector.Answered(id, false, kStart + time + 5ms);
       }
     },
     SuspicionReason::kStalled},
    {"was partitioned with a write in flight, and answers again",
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
