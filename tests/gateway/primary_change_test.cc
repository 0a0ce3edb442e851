#include <optional>
#include <string>

#include "gateway/fake_group.h"

#include "support/table_test.h"

namespace jackdawturn::gateway {

namespace {

using namespace std::chrono_literals;  // NOLINT(google-build-using-namespace)
using Kind = PrimaryChange::Kind;

// Runs changes of the primary "p" that share one GatewayContext.
struct ChangeRig : GatewayRig {
  // The proxy has observed a position of the primary.
  ChangeRig() {
    context.positions[GroupName("loans")].Observe(timers.now(), {1, 9});
  }

  std::shared_ptr<PrimaryChange> Begin(Kind kind,
                                       const std::string& claimant,
                                       const std::string& reason = "silent") {
    return PrimaryChange::Create(
        context,
        {store, group.Promoter(), group.Opener(), FakeStatus, refresh,
         announce},
        {.group = GroupName("loans"),
         .kind = kind,
         .reason = reason,
         .old_primary = InstanceName("p"),
         .claimant = VmName(claimant),
         .attempt = claimant},
        [this](PrimaryChange::Outcome result) { results.push_back(result); });
  }

  std::vector<PrimaryChange::Outcome> results;
  std::function<void(std::function<void(Result<void>)>)> refresh;
  AnnounceToPeer announce;
};

}  // namespace

// Only the instance with the highest received position is certain to have every
// acknowledged commit.
struct ChoiceCase {
  uint64_t received_a;
  uint64_t received_b;
  bool a_drains;
  const char* promoted;
};

static const ChoiceCase kChoices[] = {
    {12, 11, false, "a"},
    {11, 12, false, "b"},
    {12, 11, true, "a"},
    // With equal positions, the instance that is not draining.
    {12, 12, true, "b"},
};

TABLE_TEST(gateway_primary_change, promotes_the_newest_log, kChoices) {
  const ChoiceCase& row = kChoices[*row_index];
  ChangeRig rig;
  rig.group.At("p").silent = true;
  rig.group.At("a").received.number = row.received_a;
  rig.group.At("b").received.number = row.received_b;
  rig.group.At("a").server.draining = row.a_drains;
  rig.directory.Update(rig.group.At("a").server);
  const auto change = rig.Begin(Kind::kFailure, "one");
  change->Start();
  rig.timers.Advance(2s);
  cr_assert_eq(rig.results.size(), 1U);
  cr_assert_eq(rig.results.front(), PrimaryChange::Outcome::kPromoted);
  cr_assert_eq(rig.group.promotions.size(), 1U);
  cr_assert_str_eq(rig.group.promotions.front().first.value().c_str(),
                   row.promoted);
}

// Without the replica that does not respond, a commit that only it has received
// would be lost.
Test(gateway_primary_change, waits_for_a_replica_that_does_not_answer) {
  ChangeRig rig;
  rig.group.At("p").silent = true;
  rig.group.At("b").silent = true;
  const auto change = rig.Begin(Kind::kFailure, "one");
  change->Start();
  rig.timers.Advance(2s);
  cr_assert_eq(rig.results.front(), PrimaryChange::Outcome::kNotPossible);
  cr_assert(rig.group.promotions.empty());
  cr_assert_eq(rig.group.At("a").paused_term, 0U);
}

// The old primary must not have a commit acknowledged by a replica while the
// new one is being promoted.
Test(gateway_primary_change, no_replica_receives_when_one_is_promoted) {
  ChangeRig rig;
  rig.group.At("p").silent = true;
  bool all_paused = false;
  rig.group.before_promotion = [&] {
    all_paused =
        rig.group.At("a").paused_term > 0 && rig.group.At("b").paused_term > 0;
  };
  const auto change = rig.Begin(Kind::kFailure, "one");
  change->Start();
  rig.timers.Advance(2s);
  cr_assert(all_paused);
}

// In a switchover the old primary serves until the new one is promoted, so the
// new one must continue to receive and all other replicas must be paused.
Test(gateway_primary_change, switchover_pauses_all_but_the_new_primary) {
  ChangeRig rig;
  std::vector<bool> paused;
  rig.group.before_promotion = [&] {
    paused = {rig.group.At("a").paused_term > 0,
              rig.group.At("b").paused_term > 0};
  };
  const auto change = rig.Begin(Kind::kPlanned, "one");
  change->Start();
  rig.timers.Advance(2s);
  cr_assert_eq(rig.results.front(), PrimaryChange::Outcome::kPromoted);
  cr_assert_eq(paused.size(), 2U);
  cr_assert(!paused[0] && paused[1]);
}

// When two proxies suspect the primary, at any interval, there must be one
// promotion, and no replica may stay paused (seen as LOST in users' day runs:
// the second proxy had probed the instances before the first change and claimed
// after it).
Test(gateway_primary_change, second_proxy_finds_the_new_primary) {
  for (Duration interval = 0ms; interval < 600ms; interval += 5ms) {
    ChangeRig rig;
    rig.group.At("p").silent = true;
    const auto first = rig.Begin(Kind::kFailure, "one");
    const auto second = rig.Begin(Kind::kFailure, "two");
    first->Start();
    rig.timers.Advance(interval);
    second->Start();
    rig.timers.Advance(3s);
    cr_expect_eq(rig.results.size(), 2U);
    cr_expect_eq(rig.group.promotions.size(), 1U);
    cr_expect_eq(rig.group.At("a").paused_term, 0U);
    cr_expect_eq(rig.group.At("b").paused_term, 0U);
  }
}

// A commit may have been acknowledged by a replica that has left with its log,
// and not received by the others; then only the primary has it (seen as LOST in
// users' day runs).
struct DepartureCase {
  bool position_seen_since;
  uint64_t position;
  bool promoted;
};

static const DepartureCase kDepartures[] = {
    {true, 9, true},
    {true, 11, false},
    {false, 9, false},
};

TABLE_TEST(gateway_primary_change,
           commits_of_a_replica_that_left,
           kDepartures) {
  const DepartureCase& row = kDepartures[*row_index];
  ChangeRig rig;
  rig.group.At("p").silent = true;
  rig.timers.Advance(1s);
  rig.context.last_member_loss[GroupName("loans")] = rig.timers.now();
  if (row.position_seen_since)
    rig.context.positions[GroupName("loans")].Observe(rig.timers.now(),
                                                      {1, row.position});
  const auto change = rig.Begin(Kind::kFailure, "one");
  change->Start();
  rig.timers.Advance(2s);
  cr_assert_eq(rig.group.promotions.size(), row.promoted ? 1U : 0U);
  cr_assert_eq(rig.group.At("a").paused_term, 0U);
}

// A proxy that has just started has not observed which instances left before.
// Without the record of the members, a group whose primary has failed could not
// be served after a restart of all proxies (seen in a user's day run: nothing
// was served for 4 s). With a wrong record, commits would be lost.
struct RestartCase {
  const char* pattern;
  std::optional<GroupMembers> recorded;
  bool primary_unlisted;
  bool promoted;
};

static GroupMembers Members(std::map<InstanceName, uint64_t> incarnations,
                            uint64_t term) {
  return {std::move(incarnations), InstanceName("p"), term};
}

static const std::map<InstanceName, uint64_t> kAll = {{InstanceName("p"), 0},
                                                      {InstanceName("a"), 0},
                                                      {InstanceName("b"), 0}};

static const RestartCase kRestarts[] = {
    {"no record", std::nullopt, false, false},
    {"nobody has left", Members(kAll, 1), false, true},
    {"only the primary has left", Members(kAll, 1), true, true},
    {"the primary of an earlier term has left", Members(kAll, 0), true, false},
    {"a replica started again",
     Members({{InstanceName("a"), 7}, {InstanceName("b"), 0}}, 1), false,
     false},
    {"a replica has left",
     Members({{InstanceName("a"), 0}, {InstanceName("x"), 0}}, 1), false,
     false},
    {"a replica has joined", Members({{InstanceName("a"), 0}}, 1), false, true},
};

TABLE_TEST(gateway_primary_change, proxy_that_has_just_started, kRestarts) {
  const RestartCase& row = kRestarts[*row_index];
  ChangeRig rig;
  rig.context.positions.clear();
  if (row.recorded)
    rig.store.Update(RecordCollection::kGroupMembers, "loans", 0,
                     EncodeMembers(*row.recorded), 1s, [](const auto&) {});
  rig.group.At("p").silent = true;
  if (row.primary_unlisted) {
    rig.group.At("p").server.draining = true;
    rig.directory.Update(rig.group.At("p").server);
    rig.directory.Remove(InstanceName("p"), rig.timers.now());
  }
  const auto change = rig.Begin(Kind::kFailure, "one");
  change->Start();
  rig.timers.Advance(2s);
  cr_assert_eq(rig.results.size(), 1U);
  cr_expect_eq(rig.group.promotions.size(), row.promoted ? 1U : 0U, "%s",
               row.pattern);
  cr_expect_eq(rig.group.At("a").paused_term, 0U);
}

// When the answer to the claim is lost, the claim is read back and the change
// continues.
Test(gateway_primary_change, claim_with_a_lost_answer_is_recognised) {
  ChangeRig rig;
  rig.group.At("p").silent = true;
  rig.store.lose_next_answer = true;
  const auto change = rig.Begin(Kind::kFailure, "one");
  change->Start();
  rig.timers.Advance(2s);
  cr_assert_eq(rig.results.front(), PrimaryChange::Outcome::kPromoted);
}

// A primary with a full queue replies kBusy. A lag switchover retries its
// commands then, and does not replace a primary that does not respond.
struct LagSwitchoverCase {
  unsigned busy_answers;
  bool silent;
  bool promoted;
};

static const LagSwitchoverCase kLagSwitchovers[] = {
    {0, false, true},
    {5, false, true},
    {1'000, false, false},
    {0, true, false},
};

TABLE_TEST(gateway_primary_change,
           lag_switchover_of_a_full_primary,
           kLagSwitchovers) {
  const LagSwitchoverCase& row = kLagSwitchovers[*row_index];
  ChangeRig rig;
  rig.group.At("p").busy_answers = row.busy_answers;
  rig.group.At("p").silent = row.silent;
  const auto change = rig.Begin(Kind::kLagSwitchover, "one");
  change->Start();
  rig.timers.Advance(2s);
  cr_assert_eq(rig.results.size(), 1U);
  cr_expect_eq(rig.group.promotions.size(), row.promoted ? 1U : 0U);
  cr_expect_eq(rig.group.At("a").paused_term, 0U);
  cr_expect_eq(rig.group.At("b").paused_term, 0U);
}

// A change that ends after its claim releases the claim; otherwise another
// proxy would wait for KnownPrimaryChanges::kClaimTime.
struct AbandonedCase {
  Kind kind;
  // Both replicas are leaving; otherwise an instance joins during the claim.
  bool all_leave;
};

static const AbandonedCase kAbandoned[] = {
    {Kind::kPlanned, true},
    {Kind::kFailure, false},
};

TABLE_TEST(gateway_primary_change,
           claim_of_an_abandoned_change_is_released,
           kAbandoned) {
  const AbandonedCase& row = kAbandoned[*row_index];
  ChangeRig rig;
  rig.group.At("p").silent = row.kind == Kind::kFailure;
  const auto leave = [&](bool draining) {
    for (const char* id : {"a", "b"}) {
      rig.group.At(id).server.draining = draining;
      rig.directory.Update(rig.group.At(id).server);
    }
  };
  if (row.all_leave)
    leave(true);
  else
    rig.store.before_update = [&] {
      rig.directory.Update(
          rig.group.Add("c", ReplicationRole::kReplica, 9).server);
    };
  const auto first = rig.Begin(row.kind, "one");
  first->Start();
  rig.timers.Advance(1s);
  cr_assert_eq(rig.results.size(), 1U);
  cr_assert_neq(rig.results.front(), PrimaryChange::Outcome::kPromoted);
  leave(false);
  rig.store.before_update = nullptr;
  const auto second = rig.Begin(row.kind, "two");
  second->Start();
  rig.timers.Advance(2s);
  cr_assert_eq(rig.results.size(), 2U);
  cr_assert_eq(rig.results.back(), PrimaryChange::Outcome::kPromoted);
}

// An instance at its connection limit must not block the change when this proxy
// has a pooled connection to it (seen as crashed processes).
Test(gateway_primary_change, full_replica_lends_a_pooled_connection) {
  ChangeRig rig;
  rig.ObservePrimary();
  const auto session = rig.Open("aged");
  session->Handle(StatementOf(ClientStatement::Kind::kRead, "READ 1"));
  rig.timers.Advance(20ms);
  rig.group.At("p").silent = true;
  rig.group.At("a").full = true;
  const auto change = rig.Begin(Kind::kFailure, "one");
  change->Start();
  rig.timers.Advance(2s);
  cr_assert_eq(rig.results.front(), PrimaryChange::Outcome::kPromoted);
}

// A reachable primary is not replaced, even at its connection limit (seen as
// healthy primaries that were replaced in users' day runs).
static const bool kFull[] = {false, true};

TABLE_TEST(gateway_primary_change, reachable_primary_needs_no_change, kFull) {
  ChangeRig rig;
  rig.group.At("p").full = kFull[*row_index];
  const auto change = rig.Begin(Kind::kFailure, "one");
  change->Start();
  rig.timers.Advance(2s);
  cr_assert_eq(rig.results.front(), PrimaryChange::Outcome::kNotNeeded);
  cr_assert(rig.group.promotions.empty());
}

// Before another instance is promoted, a primary that responds is deposed: no
// read of it may miss a commit of its successor (seen as STALE in users' day
// runs), and no replica that returns may acknowledge its commits (LOST).
struct DeposeCase {
  const char* pattern;
  Kind kind;
  const char* reason;
  bool promotion_deposes;
  bool primary_silent;
  bool deposed;
  // The time that passes between the pause and the promotion at least.
  Duration delay;
};

static const DeposeCase kDeposed[] = {
    {"planned", Kind::kPlanned, "draining", false, false, true, 0ms},
    {"planned, promotion deposes", Kind::kPlanned, "draining", true, false,
     false, 0ms},
    {"stalled", Kind::kFailure, "stalled", false, false, true, 0ms},
    {"stalled, promotion deposes", Kind::kFailure, "stalled", true, false, true,
     0ms},
    {"silent", Kind::kFailure, "silent", false, true, false,
     PrimaryLease::kPromotionDelay},
    {"silent, promotion deposes", Kind::kFailure, "silent", true, true, false,
     0ms},
};

TABLE_TEST(gateway_primary_change, old_primary_is_deposed_first, kDeposed) {
  const DeposeCase& row = kDeposed[*row_index];
  ChangeRig rig;
  if (!row.promotion_deposes)
    rig.UseLeases();
  rig.group.At("p").silent = row.primary_silent;
  std::optional<TimePoint> promoted_at;
  std::optional<TimePoint> paused_at;
  ReplicationRole role = ReplicationRole::kPrimary;
  rig.group.before_promotion = [&] {
    promoted_at = rig.timers.now();
    paused_at = paused_at.value_or(rig.timers.now());
    role = rig.group.At("p").role;
  };
  const auto change = rig.Begin(row.kind, "one", row.reason);
  change->Start();
  for (Duration passed = 0ms; passed < 3s; passed += 1ms) {
    rig.timers.Advance(1ms);
    if (!paused_at && rig.group.At("b").paused_term > 0)
      paused_at = rig.timers.now();
  }
  cr_assert(promoted_at && paused_at, "%s", row.pattern);
  cr_expect_eq(role == ReplicationRole::kReplica, row.deposed, "%s",
               row.pattern);
  cr_expect_geq((*promoted_at - *paused_at).count(),
                Duration(row.delay).count(), "%s", row.pattern);
  if (row.delay == 0ms)
    cr_expect_lt((*promoted_at - *paused_at).count(), Duration(50ms).count(),
                 "%s", row.pattern);
}

// A replica that restarts is no longer paused, and could acknowledge commits of
// the old primary while the promoter waits.
Test(gateway_primary_change, replica_that_restarts_during_the_wait) {
  ChangeRig rig;
  rig.UseLeases();
  rig.group.At("p").silent = true;
  const auto change = rig.Begin(Kind::kFailure, "one");
  change->Start();
  rig.timers.Advance(PrimaryLease::kPromotionDelay);
  rig.group.At("a").paused_term = 0;
  rig.timers.Advance(2s);
  cr_assert(rig.group.promotions.empty());
  cr_expect_eq(rig.results.back(), PrimaryChange::Outcome::kFailed);
  cr_expect_eq(rig.group.At("b").paused_term, 0U);
}

// A claimant that was suspended must not promote: the next one may have
// promoted another instance, and not every platform checks the token.
Test(gateway_primary_change, suspended_claimant_does_not_promote) {
  for (Duration until = 2ms; until < 600ms; until += 7ms) {
    ChangeRig rig;
    rig.UseLeases();
    rig.group.At("p").silent = true;
    const auto change = rig.Begin(Kind::kFailure, "one");
    change->Start();
    rig.timers.Advance(400ms + until);
    if (!rig.group.promotions.empty())
      continue;
    const bool claimed =
        rig.store.Find(RecordCollection::kPrimaryChanges, "loans").has_value();
    rig.timers.Suspend(KnownPrimaryChanges::kClaimTime);
    rig.timers.Advance(2s);
    if (claimed)
      cr_expect(rig.group.promotions.empty());
  }
}

// An instance that still believes to be primary, but whose term is older than
// that of a replica, is not taken for the group's primary.
Test(gateway_primary_change, primary_of_an_older_term_is_not_followed) {
  ChangeRig rig;
  rig.UseLeases();
  rig.group.At("p").silent = true;
  rig.group.At("a").role = ReplicationRole::kPrimary;
  rig.group.At("b").term = 2;
  rig.group.At("b").received = {2, 11};
  const auto change = rig.Begin(Kind::kFailure, "one");
  change->Start();
  rig.timers.Advance(3s);
  cr_assert_eq(rig.group.promotions.size(), 1U);
  cr_expect_str_eq(rig.group.promotions.front().first.value().c_str(), "b");
  cr_expect_eq(rig.group.At("a").role, ReplicationRole::kReplica);
}

// Another proxy's claim that was abandoned, while the old primary serves on.
static PrimaryChangeRecord AbandonedClaim() {
  return {.claimant = VmName("gone"), .attempt = "gone", .term = 1};
}

// A promotion that was requested under an abandoned claim can be carried out
// seconds later, so the change that replaces it must use its newer token, or
// say that nothing is resolved (LOST in users' day runs).
struct TakeoverCase {
  const char* pattern;
  bool replica_silent;
  // The abandoned promotion has taken effect.
  bool promoted;
  size_t promotions;
  bool unresolved;
};

static const TakeoverCase kTakeovers[] = {
    {"the promotion may still be carried out", false, false, 1, false},
    {"a replica does not answer after the claim", true, false, 0, true},
    {"the promotion was carried out", false, true, 1, false},
};

TABLE_TEST(gateway_primary_change, claimant_that_is_gone, kTakeovers) {
  const TakeoverCase& row = kTakeovers[*row_index];
  ChangeRig rig;
  rig.store.Update(RecordCollection::kPrimaryChanges, "loans", 0,
                   EncodePrimaryChange(AbandonedClaim()), 1s, [](auto) {});
  rig.timers.Advance(10ms);
  rig.context.changes.Observe(GroupName("loans"), 1, AbandonedClaim(),
                              rig.timers.now());
  rig.timers.Advance(KnownPrimaryChanges::kClaimTime);
  cr_assert(
      rig.context.changes.Abandoned(GroupName("loans"), rig.timers.now()));
  rig.context.positions[GroupName("loans")].Observe(rig.timers.now(), {1, 9});
  if (row.promoted)
    rig.group.At("p").term = 2;
  rig.store.before_update = [&] {
    if (row.replica_silent)
      rig.group.At("b").silent = true;
  };
  const auto change = rig.Begin(Kind::kPlanned, "one", "abandoned_change");
  change->Start();
  rig.timers.Advance(3s);
  cr_assert_eq(rig.results.size(), 1U, "%s", row.pattern);
  cr_assert_eq(rig.group.promotions.size(), row.promotions, "%s", row.pattern);
  const auto record = DecodePrimaryChange(
      rig.store.Find(RecordCollection::kPrimaryChanges, "loans")->body);
  cr_assert(record.value().ended, "%s", row.pattern);
  cr_assert_eq(record.value().unresolved, row.unresolved, "%s", row.pattern);
}

// A claim that replaces an unresolved one and requests nothing must not keep
// commits waiting for longer than the first one.
Test(gateway_primary_change, failed_claims_do_not_prolong_an_unresolved_one) {
  KnownPrimaryChanges changes;
  const GroupName group("loans");
  const TimePoint start{1h};
  PrimaryChangeRecord record = AbandonedClaim();
  changes.Observe(group, 1, record, start);
  for (uint64_t attempt = 1; attempt < 37; ++attempt) {
    const TimePoint now = start + attempt * 400ms;
    record.ended = false;
    changes.Observe(group, 2 * attempt, record, now);
    record.ended = true;
    record.unresolved = true;
    changes.Observe(group, 2 * attempt + 1, record, now + 100ms);
  }
  cr_assert_null(
      changes.Pending(group, start + KnownPrimaryChanges::kUnresolvedTime));
}

// An instance that started while the store was down has not registered when the
// store returns, and may have the only copy of acknowledged commits (LOST in
// review/1). In a switchover the old primary tells what it has acknowledged.
struct ReturnCase {
  const char* pattern;
  Kind kind;
  // Since when the store answers again.
  Duration since;
  bool promoted;
};

static const ReturnCase kReturns[] = {
    {"at once", Kind::kFailure, 0ms, false},
    {"within the time to register", Kind::kFailure, 2'000ms, false},
    {"after it", Kind::kFailure, 2'800ms, true},
    {"a switchover", Kind::kPlanned, 0ms, true},
};

TABLE_TEST(gateway_primary_change, change_after_an_outage, kReturns) {
  const ReturnCase& row = kReturns[*row_index];
  ChangeRig rig;
  rig.in_touch = false;
  rig.timers.Advance(5s);
  rig.in_touch = true;
  rig.timers.Advance(row.since + 100ms);
  rig.context.positions[GroupName("loans")].Observe(rig.timers.now(), {1, 9});
  rig.group.At("p").silent = row.kind == Kind::kFailure;
  const auto change = rig.Begin(row.kind, "one");
  change->Start();
  rig.timers.Advance(500ms);
  cr_assert_eq(rig.results.size(), 1U);
  cr_expect_eq(rig.group.promotions.size(), row.promoted ? 1U : 0U, "%s",
               row.pattern);
  cr_expect_eq(rig.group.At("a").paused_term, 0U);
}

// The watch of the instances may be silent, so they are received again after
// the claim.
struct RefreshCase {
  const char* pattern;
  bool joined;
  bool fails;
  bool promoted;
};

static const RefreshCase kRefreshes[] = {
    {"no change", false, false, true},
    {"an instance has joined", true, false, false},
    {"the store does not answer", false, true, false},
};

TABLE_TEST(gateway_primary_change,
           unseen_instance_ends_the_change,
           kRefreshes) {
  const RefreshCase& row = kRefreshes[*row_index];
  ChangeRig rig;
  rig.group.At("p").silent = true;
  rig.refresh = [&](const std::function<void(Result<void>)>& on_refreshed) {
    rig.timers.After(100ms, [&rig, &row, on_refreshed] {
      if (row.joined)
        rig.directory.Update(
            rig.group.Add("c", ReplicationRole::kReplica, 12).server);
      const Error lost{ErrorCode::kTimeout, "fake", "", ""};
      on_refreshed(row.fails ? Result<void>(lost) : Success());
    });
  };
  const auto change = rig.Begin(Kind::kFailure, "one");
  change->Start();
  rig.timers.Advance(2s);
  cr_assert_eq(rig.results.size(), 1U, "%s", row.pattern);
  cr_expect_eq(rig.group.promotions.size(), row.promoted ? 1U : 0U, "%s",
               row.pattern);
  cr_expect_eq(rig.group.At("a").paused_term, 0U);
}

// What was passed on to clients as acknowledged is evidence against a candidate
// that lacks it.
struct EvidenceCase {
  const char* pattern;
  std::optional<CommitPosition> own;
  std::optional<CommitPosition> of_peer;
  bool promoted;
};

static const EvidenceCase kEvidence[] = {
    {"none", std::nullopt, std::nullopt, true},
    {"the candidate has all", CommitPosition{1, 10}, CommitPosition{1, 9},
     true},
    {"own commit", CommitPosition{1, 11}, std::nullopt, false},
    {"commit of another proxy", CommitPosition{1, 9}, CommitPosition{1, 11},
     false},
    {"commits of an earlier term", CommitPosition{0, 50}, std::nullopt, true},
};

TABLE_TEST(gateway_primary_change, candidate_must_have_all, kEvidence) {
  const EvidenceCase& row = kEvidence[*row_index];
  ChangeRig rig;
  rig.group.At("p").silent = true;
  if (row.own)
    rig.context.acknowledged.PassedOn(GroupName("loans"), *row.own);
  Peer peer;
  peer.name = VmName("other");
  peer.zone = ZoneName("z");
  peer.records_address = "other";
  rig.peers.Replace({peer});
  rig.announce = [&](const Peer&, const ChangeAnnouncement&, Duration,
                     const auto& on_answer) {
    on_answer(AnnouncementAnswer{row.of_peer});
  };
  const auto change = rig.Begin(Kind::kFailure, "one");
  change->Start();
  rig.timers.Advance(2s);
  cr_assert_eq(rig.results.size(), 1U, "%s", row.pattern);
  cr_expect_eq(rig.group.promotions.size(), row.promoted ? 1U : 0U, "%s",
               row.pattern);
  cr_expect_eq(rig.group.At("a").paused_term, 0U);
}

// A proxy that is cut off from the store must hear of a claim before it takes
// effect, and the change must not wait for one that does not run (LOST in
// review/2).
struct AnnounceCase {
  const char* pattern;
  // Its first answers; then it answers that it has heard.
  std::vector<ErrorCode> errors;
  size_t told;
};

static const AnnounceCase kAnnouncements[] = {
    {"heard", {}, 1},
    {"answer lost once", {ErrorCode::kTimeout}, 2},
    {"does not run", {ErrorCode::kUnavailable}, 1},
    {"older version", {ErrorCode::kNotFound}, 1},
};

TABLE_TEST(gateway_primary_change, claims_are_announced, kAnnouncements) {
  const AnnounceCase& row = kAnnouncements[*row_index];
  ChangeRig rig;
  rig.group.At("p").silent = true;
  Peer peer;
  peer.name = VmName("other");
  peer.zone = ZoneName("z");
  peer.records_address = "other";
  rig.peers.Replace({peer});
  std::vector<ChangeAnnouncement> told;
  size_t told_before_promotion = 0;
  rig.announce = [&](const Peer&, const ChangeAnnouncement& announcement,
                     Duration, const auto& on_answer) {
    told.push_back(announcement);
    if (told.size() > row.errors.size())
      return on_answer(AnnouncementAnswer{});
    const Error error{row.errors[told.size() - 1], "fake", "", ""};
    on_answer(error);
  };
  rig.group.before_promotion = [&] { told_before_promotion = told.size(); };
  const auto change = rig.Begin(Kind::kFailure, "one");
  change->Start();
  rig.timers.Advance(2s);
  cr_assert_eq(rig.group.promotions.size(), 1U, "%s", row.pattern);
  cr_expect_eq(told_before_promotion, row.told, "%s", row.pattern);
  cr_expect(!told.front().record.ended);
  cr_expect_eq(told.front().record.term, 1U);
  // The end is announced as well.
  cr_expect(told.back().record.ended, "%s", row.pattern);
}

// A proxy that does not answer delays the promotion for a limited time.
Test(gateway_primary_change, silent_proxy_delays_a_change_little) {
  ChangeRig rig;
  rig.group.At("p").silent = true;
  Peer peer;
  peer.name = VmName("other");
  peer.zone = ZoneName("z");
  peer.records_address = "other";
  rig.peers.Replace({peer});
  rig.announce = [&](const Peer&, const ChangeAnnouncement&, Duration timeout,
                     const auto& on_answer) {
    rig.timers.After(timeout, [on_answer] {
      const Error error{ErrorCode::kTimeout, "fake", "", ""};
      on_answer(error);
    });
  };
  const auto change = rig.Begin(Kind::kFailure, "one");
  change->Start();
  rig.timers.Advance(400ms + AnnouncementRound::kTimeLimit);
  cr_assert_eq(rig.group.promotions.size(), 1U);
}

// In a switchover the old primary may have commits acknowledged by an instance
// that the claimant does not know.
Test(gateway_primary_change, successor_must_reach_the_old_primary) {
  ChangeRig rig;
  rig.group.At("p").received = {1, 12};
  const auto change = rig.Begin(Kind::kPlanned, "one");
  change->Start();
  rig.timers.Advance(2s);
  cr_assert_eq(rig.results.size(), 1U);
  cr_expect(rig.group.promotions.empty());
  rig.group.At("a").received = {1, 12};
  rig.Begin(Kind::kPlanned, "two")->Start();
  rig.timers.Advance(2s);
  cr_expect_eq(rig.group.promotions.size(), 1U);
}

}  // namespace jackdawturn::gateway
