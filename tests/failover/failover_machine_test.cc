#include <string>

#include "failover/failover.h"

#include "failover/failover_rig.h"
#include "support/table_test.h"

namespace jackdawturn::failover {

using std::chrono::milliseconds;
using std::chrono::seconds;

static InstanceReport Fenced(uint64_t term, uint64_t log_term, uint64_t end) {
  return {Term{term}, Term{log_term}, LogPosition{end}};
}

// Answers the fences of i2 and i3 and returns the promotion that follows.
static std::optional<failover_effect::PromoteInstance> AnswerFences(
    FailoverRig& rig,
    const InstanceReport& second,
    const InstanceReport& third) {
  for (int index = 0; index < 3; ++index) {
    const auto fence =
        rig.Await<failover_effect::FenceInstance>(milliseconds(1));
    if (!fence || fence->instance.value() == "i1")
      continue;
    const bool is_second = fence->instance.value() == "i2";
    rig.Send(failover_event::InstanceAnswered{
        fence->call, is_second ? second : third, {}});
  }
  return rig.Await<failover_effect::PromoteInstance>(milliseconds(100));
}

struct ChoiceCase {
  InstanceReport second;
  InstanceReport third;
  const char* chosen;
};

static const ChoiceCase kChoiceCases[] = {
    {Fenced(2, 1, 10), Fenced(2, 1, 9), "i2"},
    {Fenced(2, 1, 9), Fenced(2, 1, 10), "i3"},
    // A higher log term takes precedence over a longer log.
    {Fenced(5, 3, 5), Fenced(5, 1, 90), "i2"},
};

// Guards against a promotion that loses acknowledged writes.
TABLE_TEST(failover_machine, highest_log_is_chosen, kChoiceCases) {
  const ChoiceCase& row = kChoiceCases[*row_index];
  FailoverRig rig;
  rig.Settle();
  rig.platform_record = FailoverRig::Record(1, 1);
  rig.reports["i2"].accepted_term = Term{row.second.accepted_term.value - 1};
  rig.Run(milliseconds(2'000));
  const auto claim = rig.AwaitClaim();
  cr_assert(claim.has_value());
  cr_assert_eq(claim->record.term, row.second.accepted_term);
  cr_assert(claim->record.phase == GroupPhase::kChanging);
  rig.Store(*claim);
  const auto promotion = AnswerFences(rig, row.second, row.third);
  cr_assert(promotion.has_value());
  cr_assert_str_eq(promotion->instance.value().c_str(), row.chosen);
}

// Guards against a second primary in one term when a promotion is not answered.
Test(failover_machine, failed_promotion_claims_a_higher_term) {
  FailoverRig rig;
  rig.Settle();
  rig.Store(*rig.AwaitClaim());
  const auto first = AnswerFences(rig, Fenced(2, 1, 10), Fenced(2, 1, 9));
  cr_assert_str_eq(first->instance.value().c_str(), "i2");
  const auto claim = rig.Await<failover_effect::UpdateRecord>(seconds(1));
  cr_assert(claim.has_value());
  cr_assert_eq(claim->record.term.value, 3U);
  while (const auto again =
             rig.Await<failover_effect::PromoteInstance>(milliseconds(0)))
    cr_assert_str_eq(again->instance.value().c_str(), "i2");
}

// Guards against a claim that is repeated or abandoned when only its answer was
// lost.
Test(failover_machine, lost_claim_answer_is_read_back) {
  FailoverRig rig;
  rig.Settle();
  const auto claim = rig.AwaitClaim();
  const auto read = rig.Await<failover_effect::ReadRecord>(seconds(1));
  cr_assert(read.has_value());
  rig.Send(failover_event::PlatformAnswered{
      read->call, failover_event::PlatformOutcome::kDone,
      VersionedRecord{claim->expected.Next(), claim->record}});
  cr_assert_str_eq(rig.machine().state().c_str(), "fencing");
  cr_assert_not(
      rig.Await<failover_effect::UpdateRecord>(milliseconds(200)).has_value());
}

// Guards against a proxy that treats another proxy's claim as its own because
// both act on the same operator request.
Test(failover_machine, claim_of_another_proxy_is_not_its_own) {
  FailoverRig rig;
  rig.Settle();
  const auto claim = rig.AwaitClaim();
  VersionedRecord other{claim->expected.Next(), claim->record};
  other.record.attempt = AttemptId("p2/1");
  other.record.changed_by = VmName("p2");
  rig.Send(failover_event::PlatformAnswered{
      claim->call, failover_event::PlatformOutcome::kConflict, other});
  cr_assert_str_eq(rig.machine().state().c_str(), "suspecting");
  cr_assert_not(
      rig.Await<failover_effect::FenceInstance>(milliseconds(100)).has_value());
}

// Guards against a group without a primary after the claimer crashes.
Test(failover_machine, stalled_change_is_taken_over_with_a_higher_term) {
  FailoverRig rig;
  rig.Settle();
  VersionedRecord other = FailoverRig::Record(2, 2);
  other.record.phase = GroupPhase::kChanging;
  other.record.primary = InstanceName();
  other.record.changed_by = VmName("p2");
  rig.reports.erase("i1");
  rig.Send(failover_event::RecordSeen{other});
  cr_assert_not(
      rig.Await<failover_effect::UpdateRecord>(milliseconds(240)).has_value());
  if (const auto read = rig.Await<failover_effect::ReadRecord>(seconds(1)))
    rig.Send(failover_event::PlatformAnswered{
        read->call, failover_event::PlatformOutcome::kDone, other});
  const auto claim = rig.Await<failover_effect::UpdateRecord>(seconds(1));
  cr_assert(claim.has_value());
  cr_assert_eq(claim->record.term.value, 3U);
  cr_assert_eq(claim->expected.value, 2U);
}

// Guards against a change that is reported as failed although it was published.
Test(failover_machine, lost_publish_answer_is_read_back) {
  FailoverRig rig;
  rig.Settle();
  rig.Store(*rig.AwaitClaim());
  const auto promotion = AnswerFences(rig, Fenced(2, 1, 10), Fenced(2, 1, 9));
  InstanceReport promoted = Fenced(2, 2, 11);
  promoted.primary = true;
  rig.Send(failover_event::InstanceAnswered{promotion->call, promoted, {}});
  const auto publish =
      rig.Await<failover_effect::UpdateRecord>(milliseconds(1));
  cr_assert(publish.has_value());
  cr_assert_eq(publish->record.history.back().start.value, 11U);
  const auto read = rig.Await<failover_effect::ReadRecord>(seconds(1));
  rig.Send(failover_event::PlatformAnswered{
      read->call, failover_event::PlatformOutcome::kDone,
      VersionedRecord{publish->expected.Next(), publish->record}});
  const FailoverStatus status = rig.machine().Status(rig.now());
  cr_assert_str_eq(status.primary.value().c_str(), "i2");
  cr_assert_str_eq(status.state.c_str(), "following");
  cr_assert(rig.Await<failover_effect::FollowInstance>(milliseconds(1)));
}

struct RecordCase {
  uint64_t version;
  uint64_t term;
  bool accepted;
};

static const RecordCase kRecordCases[] = {{4, 5, false},
                                          {5, 6, false},
                                          {6, 4, false},
                                          {6, 5, true},
                                          {7, 6, true}};

// Guards against an outdated peer or a stale read that restores an older
// record.
TABLE_TEST(failover_machine, only_newer_records_are_accepted, kRecordCases) {
  const RecordCase& row = kRecordCases[*row_index];
  FailoverRig rig;
  rig.Send(failover_event::RecordSeen{FailoverRig::Record(5, 5)});
  rig.kept.clear();
  rig.Send(
      failover_event::RecordSeen{FailoverRig::Record(row.version, row.term)});
  cr_assert_eq(
      rig.Await<failover_effect::RecordAccepted>(Duration(0)).has_value(),
      row.accepted);
  cr_assert_eq(rig.machine().Status(rig.now()).primary_term.value,
               row.accepted ? row.term : 5U);
}

struct RefusalCase {
  const char* name;
  void (*prepare)(FailoverRig& rig);
  uint64_t expected_term;
  const char* message;
};

static const RefusalCase kRefusalCases[] = {
    {"another term", [](FailoverRig&) {}, 7, "the term is 1"},
    {"change under way",
     [](FailoverRig& rig) {
       VersionedRecord other = FailoverRig::Record(2, 2);
       other.record.phase = GroupPhase::kChanging;
       other.record.changed_by = VmName("p2");
       rig.Send(failover_event::RecordSeen{other});
     },
     0, "a change is under way, by p2"},
    {"primary suspected",
     [](FailoverRig& rig) {
       rig.reports.erase("i1");
       rig.Run(milliseconds(260));
     },
     0, "primary i1 is suspected"},
    {"paused", [](FailoverRig& rig) { rig.Pause(milliseconds(1'500)); }, 0,
     "this proxy was paused"},
    {"no level replica",
     [](FailoverRig& rig) {
       rig.reports["i2"].position = LogPosition{3};
       rig.reports["i3"].position = LogPosition{4};
     },
     0, "no replica is level with the primary"},
};

// Guards against a planned change that holds writes without need, and against a
// refusal without its reason.
TABLE_TEST(failover_machine, unsafe_planned_change_is_refused, kRefusalCases) {
  const RefusalCase& row = kRefusalCases[*row_index];
  FailoverRig rig;
  rig.Settle();
  row.prepare(rig);
  rig.kept.clear();
  rig.Send(failover_event::ChangeRequested{AttemptId("change"),
                                           Term{row.expected_term}, "test"});
  if (const auto read = rig.Await<failover_effect::ReadRecord>(Duration(0)))
    rig.Send(failover_event::PlatformAnswered{
        read->call, failover_event::PlatformOutcome::kDone,
        FailoverRig::Record(1, 1)});
  const auto ended = rig.Await<failover_effect::ChangeEnded>(seconds(2));
  cr_assert(ended && ended->error, "%s", row.name);
  cr_assert_str_eq(ended->error->message.c_str(), row.message);
  cr_assert_not(rig.Await<failover_effect::HoldWrites>(Duration(0)));
}

// Guards against a repeated request that changes the primary twice.
Test(failover_machine, planned_change_is_idempotent) {
  FailoverRig rig;
  rig.Settle();
  const failover_event::ChangeRequested request{AttemptId("change"), Term{1},
                                                "test"};
  rig.Send(request);
  const auto read = rig.Await<failover_effect::ReadRecord>(Duration(0));
  rig.Send(failover_event::PlatformAnswered{
      read->call, failover_event::PlatformOutcome::kDone,
      FailoverRig::Record(1, 1)});
  cr_assert(rig.Await<failover_effect::HoldWrites>(milliseconds(100)));
  rig.Send(request);
  const auto claim =
      rig.Await<failover_effect::UpdateRecord>(milliseconds(100));
  cr_assert(claim.has_value());
  rig.Store(*claim);
  const auto promotion = AnswerFences(rig, Fenced(2, 1, 10), Fenced(2, 1, 10));
  InstanceReport promoted = Fenced(2, 2, 11);
  promoted.primary = true;
  rig.Send(failover_event::InstanceAnswered{promotion->call, promoted, {}});
  rig.Store(*rig.Await<failover_effect::UpdateRecord>(milliseconds(1)));
  const auto ended = rig.Await<failover_effect::ChangeEnded>(milliseconds(1));
  cr_assert(ended && !ended->error);
  cr_assert(rig.Await<failover_effect::ReleaseWrites>(milliseconds(1)));
  rig.kept.clear();
  rig.Send(request);
  const auto again = rig.Await<failover_effect::ChangeEnded>(Duration(0));
  cr_assert(again && !again->error);
  cr_assert_not(rig.Await<failover_effect::UpdateRecord>(milliseconds(500)));
}

// Guards against a drained backend server whose primary is terminated without
// being replaced.
Test(failover_machine, leaving_primary_is_replaced_while_it_serves) {
  FailoverRig rig;
  rig.Settle();
  rig.platform_record = FailoverRig::Record(1, 1);
  rig.Send(failover_event::InstanceLeaving{InstanceName("i1")});
  const auto hold = rig.Await<failover_effect::HoldWrites>(seconds(2));
  cr_assert(hold && hold->announce);
  const auto claim = rig.Await<failover_effect::UpdateRecord>(seconds(1));
  cr_assert(claim.has_value());
  cr_assert(claim->record.reason == "primary i1 is leaving");
}

// Guards against writes that stay held after a planned change was abandoned.
Test(failover_machine, writes_are_released_when_a_planned_change_ends) {
  FailoverRig rig;
  rig.Settle();
  rig.platform_record = FailoverRig::Record(1, 1);
  rig.Send(
      failover_event::ChangeRequested{AttemptId("change"), Term{1}, "test"});
  cr_assert(rig.Await<failover_effect::HoldWrites>(seconds(1)));
  rig.reports["i2"].position = LogPosition{1};
  rig.reports["i3"].position = LogPosition{1};
  rig.reports["i1"].position = LogPosition{12};
  const auto release = rig.Await<failover_effect::ReleaseWrites>(seconds(1));
  cr_assert(release && release->announce);
  const auto ended = rig.Await<failover_effect::ChangeEnded>(Duration(0));
  cr_assert(ended && ended->error);
}

// Guards against writes that stay held after the holding proxy crashed.
Test(failover_machine, hold_of_a_dead_peer_ends_by_itself) {
  FailoverRig rig;
  rig.Settle();
  rig.Send(failover_event::PeerHoldsWrites{VmName("p2"), Term{1},
                                           milliseconds(300)});
  cr_assert(rig.Await<failover_effect::HoldWrites>(Duration(0)));
  cr_assert_not(rig.Await<failover_effect::ReleaseWrites>(milliseconds(290)));
  cr_assert(rig.Await<failover_effect::ReleaseWrites>(milliseconds(20)));
}

// Guards against a status that hides a lagging replica or a dead primary.
Test(failover_machine, view_shows_lag_and_suspicion) {
  FailoverRig rig;
  rig.Settle();
  rig.reports["i3"].position = LogPosition{4};
  rig.reports.erase("i1");
  rig.Run(milliseconds(1'500));
  const FailoverStatus status = rig.machine().Status(rig.now());
  cr_assert_eq(status.primary_term.value, 1U);
  cr_assert_eq(status.instances.size(), 3U);
  cr_assert_geq(status.instances[0].suspicion, 1.0);
  cr_assert_eq(status.instances[1].suspicion, 0.0);
  cr_assert_eq(status.instances[2].lag, 6U);
}

// Guards against reads from a replica whose last entries no other instance has.
Test(failover_machine, replica_that_ran_ahead_is_not_readable) {
  FailoverRig rig;
  rig.Settle();
  VersionedRecord newer = FailoverRig::Record(3, 2);
  newer.record.primary = InstanceName("i2");
  newer.record.history.push_back({Term{2}, LogPosition{11}});
  rig.reports["i1"] = Fenced(1, 1, 14);
  rig.Send(failover_event::RecordSeen{newer});
  auto change = rig.Await<failover_effect::ReadableChanged>(seconds(2));
  cr_assert(change && !change->readable);
  cr_assert_str_eq(change->instance.value().c_str(), "i1");
  const auto follow = rig.Await<failover_effect::FollowInstance>(seconds(2));
  cr_assert(follow.has_value());
  cr_assert_str_eq(follow->primary.value().c_str(), "i2");
  // The log was truncated but has not reached the current term.
  rig.reports["i1"] = Fenced(2, 1, 8);
  cr_assert_not(rig.Await<failover_effect::ReadableChanged>(seconds(2)));
  rig.reports["i1"] = Fenced(2, 2, 12);
  change = rig.Await<failover_effect::ReadableChanged>(seconds(2));
  cr_assert(change && change->readable);
}

// Guards against repeated claims while the platform does not respond.
Test(failover_machine, silent_platform_gets_reads_with_back_off) {
  FailoverRig rig;
  rig.Settle();
  cr_assert(rig.AwaitClaim().has_value());
  rig.kept.clear();
  rig.Run(seconds(20));
  size_t updates = 0;
  size_t reads = 0;
  for (const FailoverEffect& effect : rig.kept) {
    updates += std::holds_alternative<failover_effect::UpdateRecord>(effect);
    reads += std::holds_alternative<failover_effect::ReadRecord>(effect);
  }
  cr_assert_eq(updates, 0U);
  cr_assert_geq(reads, 5U);
  cr_assert_leq(reads, 20U);
}

struct BlockCase {
  const char* name;
  void (*prepare)(FailoverRig& rig);
  const char* blocked_by;
};

static const BlockCase kBlockCases[] = {
    {"cut off", [](FailoverRig& rig) { rig.reports.erase("i2"); },
     "fewer than 2 instances answer"},
    {"no witness", [](FailoverRig& rig) { rig.witness_agrees = false; },
     "no witness has agreed"},
    {"another proxy's change",
     [](FailoverRig& rig) {
       rig.Send(failover_event::PeerProgressAnnounced{VmName("p2"), Term{2},
                                                      seconds(5)});
     },
     "another proxy makes a change"},
};

// Guards against a change that is started by a partitioned proxy, without a
// witness that agrees, or beside another proxy's change.
TABLE_TEST(failover_machine, change_is_blocked, kBlockCases) {
  const BlockCase& row = kBlockCases[*row_index];
  FailoverRig rig;
  rig.Settle();
  rig.reports.erase("i1");
  rig.witness_agrees = true;
  row.prepare(rig);
  // Shorter than the time after which a change starts without a witness.
  cr_assert_not(
      rig.Await<failover_effect::UpdateRecord>(milliseconds(400)).has_value());
  const FailoverStatus status = rig.machine().Status(rig.now());
  cr_assert_str_eq(status.blocked_by.c_str(), row.blocked_by);
}

}  // namespace jackdawturn::failover
