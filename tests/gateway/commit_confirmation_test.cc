#include <optional>
#include <string>

#include "gateway/confirmation_rig.h"

#include "support/table_test.h"

namespace jackdawturn::gateway {

namespace {

using namespace std::chrono_literals;  // NOLINT(google-build-using-namespace)

const GroupName kGroup("loans");
// The claim that is in progress when the primary "p" acknowledges a commit.
const PrimaryChangeRecord kClaim{.claimant = VmName("other"),
                                 .attempt = "1",
                                 .term = 1};

PrimaryChangeRecord Ended(const char* promoted,
                          uint64_t promoted_term,
                          CommitPosition received) {
  return {.claimant = VmName("other"),
          .attempt = "1",
          .ended = true,
          .term = 1,
          .promoted = InstanceName(promoted),
          .promoted_term = promoted_term,
          .received = received};
}

}  // namespace

// A replica that restarts during a change is not paused any more, so the old
// primary could have commits acknowledged that its successor lacks (LOST in
// users' day runs).
struct EndCase {
  const char* pattern;
  PrimaryChangeRecord end;
  ReplyCode code;
};

static const EndCase kEnds[] = {
    {"nobody was promoted", Ended("", 0, {}), ReplyCode::kDone},
    {"the new primary has the commit", Ended("a", 2, {1, 11}),
     ReplyCode::kDone},
    {"the new primary lacks the commit", Ended("a", 2, {1, 10}),
     ReplyCode::kUnknown},
    {"the commit is of the new primary", Ended("p", 1, {}), ReplyCode::kDone},
    {"another attempt ended",
     {.attempt = "2", .ended = true, .term = 1},
     ReplyCode::kUnknown},
};

TABLE_TEST(gateway_commit_confirmation, waits_for_the_end_of_a_change, kEnds) {
  const EndCase& row = kEnds[*row_index];
  ConfirmationRig rig;
  rig.Hear(kClaim);
  rig.Write();
  cr_assert(rig.replies.empty(), "%s", row.pattern);
  rig.Hear(row.end);
  rig.timers.Advance(50ms);
  cr_assert_eq(rig.replies.size(), 1U, "%s", row.pattern);
  cr_assert_eq(rig.replies.front().code, row.code, "%s", row.pattern);
}

// A promotion that was not answered can be carried out seconds after its
// claimant has ended.
Test(gateway_commit_confirmation, unresolved_change_acknowledges_nothing) {
  ConfirmationRig rig;
  rig.Hear(kClaim);
  rig.timers.Advance(KnownPrimaryChanges::kClaimTime + 1s);
  rig.Write();
  PrimaryChangeRecord unresolved = kClaim;
  unresolved.ended = true;
  unresolved.unresolved = true;
  unresolved.unanswered = true;
  rig.Hear(unresolved);
  rig.timers.Advance(1s);
  cr_assert_eq(rig.replies.size(), 1U);
  cr_assert_eq(rig.replies.front().code, ReplyCode::kUnknown);
  rig.timers.Advance(KnownPrimaryChanges::kUnresolvedTime);
  rig.Write();
  cr_assert_eq(rig.replies.size(), 2U);
  cr_assert_eq(rig.replies.back().code, ReplyCode::kDone);
}

// In a switchover the old primary serves until it is replaced, so writes must
// not wait for the end.
Test(gateway_commit_confirmation, successor_with_the_commit_confirms_it) {
  ConfirmationRig rig;
  PrimaryChangeRecord planned = kClaim;
  planned.candidate = InstanceName("a");
  rig.Hear(planned);
  rig.Write();
  cr_assert(rig.replies.empty());
  rig.group.At("a").received.number = 11;
  rig.timers.Advance(20ms);
  cr_assert_eq(rig.replies.size(), 1U);
  cr_assert_eq(rig.replies.front().code, ReplyCode::kDone);
}

// The promotion of an earlier claim, for another replica, may still be carried
// out until the platform has seen the newer token, so what the successor has
// received is not safe yet.
Test(gateway_commit_confirmation, earlier_promotion_outdoes_the_successor) {
  ConfirmationRig rig;
  rig.Hear(kClaim);
  rig.timers.Advance(KnownPrimaryChanges::kClaimTime + 1s);
  PrimaryChangeRecord planned = kClaim;
  planned.attempt = "2";
  planned.candidate = InstanceName("a");
  rig.Hear(planned);
  rig.Write();
  rig.group.At("a").received.number = 11;
  rig.timers.Advance(20ms);
  cr_assert(rig.replies.empty());
}

// A promotion of an abandoned claim that is carried out after the next claim
// was written makes a primary of a term above the claim's; the change that is
// in progress replaces that primary as well.
Test(gateway_commit_confirmation, primary_newer_than_the_claim_is_replaced) {
  ConfirmationRig rig;
  rig.Hear(kClaim);
  rig.timers.Advance(KnownPrimaryChanges::kClaimTime + 1s);
  PrimaryChangeRecord next = kClaim;
  next.attempt = "2";
  rig.Hear(next);
  rig.group.At("p").term = 2;
  rig.group.At("p").received = {2, 10};
  rig.Write();
  cr_assert(rig.replies.empty());
}

// An older version's record of a change does not name the new primary.
Test(gateway_commit_confirmation, end_of_an_older_version_shows_nothing) {
  ConfirmationRig rig;
  rig.Hear(
      DecodePrimaryChange(R"({"holder":"other","attempt":"1","ended":false})")
          .value());
  rig.Write();
  cr_assert(rig.replies.empty());
  rig.Hear(
      DecodePrimaryChange(R"({"holder":"other","attempt":"1","ended":true})")
          .value());
  rig.timers.Advance(50ms);
  cr_assert_eq(rig.replies.size(), 1U);
  cr_assert_eq(rig.replies.front().code, ReplyCode::kUnknown);
}

// An unresolved change counts although an earlier claim has expired unended.
Test(gateway_commit_confirmation, expired_claim_hides_no_unresolved_change) {
  KnownPrimaryChanges changes;
  const TimePoint start{1h};
  changes.Observe(kGroup, 7, kClaim, start);
  const TimePoint later = start + KnownPrimaryChanges::kUnresolvedTime + 1s;
  changes.Observe(kGroup, 9,
                  {.claimant = VmName("other"),
                   .attempt = "2",
                   .ended = true,
                   .unresolved = true,
                   .term = 1},
                  later);
  cr_assert_not_null(changes.Pending(kGroup, later));
}

// Without a change, an acknowledgement is passed on at once.
Test(gateway_commit_confirmation, no_change_delays_nothing) {
  ConfirmationRig rig;
  rig.Hear(Ended("a", 2, {1, 10}));
  rig.Write();
  cr_assert_eq(rig.replies.size(), 1U);
  cr_assert_eq(rig.replies.front().code, ReplyCode::kDone);
}

// Members that an older version does not write are optional, those of a newer
// one are kept.
struct RecordCase {
  const char* body;
  bool valid;
  bool unresolved;
  const char* promoted;
};

static const RecordCase kRecords[] = {
    {R"({"holder":"a","attempt":"1","ended":true})", true, false, ""},
    {R"({"holder":"a","attempt":"1","ended":true,"unresolved":true,"term":3})",
     true, true, ""},
    {R"({"holder":"a","attempt":"1","ended":true,"promoted":"i"})", true, false,
     "i"},
    {R"({"holder":"a","attempt":"1"})", false, false, ""},
    {R"({"holder":"a","attempt":"1","ended":true,"term":-1})", false, false,
     ""},
    {"[]", false, false, ""},
    {"", false, false, ""},
};

TABLE_TEST(gateway_commit_confirmation, records_of_changes, kRecords) {
  const RecordCase& row = kRecords[*row_index];
  const auto record = DecodePrimaryChange(row.body);
  cr_assert_eq(record.has_value(), row.valid, "%s", row.body);
  if (!record)
    return;
  cr_assert_eq(record.value().unresolved, row.unresolved);
  cr_assert_str_eq(record.value().promoted.value().c_str(), row.promoted);
  const auto again = DecodePrimaryChange(EncodePrimaryChange(record.value()));
  cr_assert_eq(again.value().term, record.value().term);
}

// A claim that was abandoned must be replaced, and the record of an earlier
// change must not hide a later one.
Test(gateway_commit_confirmation, claims_expire_and_never_revert) {
  KnownPrimaryChanges changes;
  const TimePoint start{1h};
  changes.Observe(kGroup, 7, kClaim, start);
  cr_assert(changes.Claimed(kGroup, start + 3s));
  cr_assert_not(changes.Abandoned(kGroup, start + 3s));
  cr_assert(changes.Abandoned(kGroup, start + KnownPrimaryChanges::kClaimTime));
  changes.Observe(kGroup, 6, Ended("a", 2, {1, 10}), start + 5s);
  cr_assert(changes.Abandoned(kGroup, start + 5s));
  changes.Observe(kGroup, 8, Ended("a", 2, {1, 10}), start + 5s);
  cr_assert_not(changes.Abandoned(kGroup, start + 5s));
  cr_assert_null(changes.Pending(kGroup, start + 5s));
}

// A proxy that is out of touch with the store may not hear of a claim. It
// passes commits on only if the replicas show that no claimant can have chosen
// one that lacks them (LOST in review/2), and goes on to do so while the store
// is down and a replica is dead.
struct ReplicaAnswer {
  // Set: the replica has not answered.
  std::optional<ErrorCode> error;
  uint64_t number = 0;
  uint64_t paused_term = 0;
  uint64_t term = 1;
  // The connection was opened before the last claim that is known.
  bool connected_before = true;
};

struct UnknownClaimCase {
  const char* pattern;
  std::vector<ReplicaAnswer> answers;
  bool survives;
};

static const ReplicaAnswer kHasIt{.number = 11};
static const ReplicaAnswer kLacksIt{.number = 10};
static const ReplicaAnswer kDark{.error = ErrorCode::kTimeout};
static const ReplicaAnswer kStopped{.error = ErrorCode::kUnavailable};
static const ReplicaAnswer kRestarted{.number = 11, .connected_before = false};

static const UnknownClaimCase kUnknownClaims[] = {
    {"both have it", {kHasIt, kHasIt}, true},
    {"one has it, the other lags", {kHasIt, kLacksIt}, true},
    {"one has it, the other is dark", {kHasIt, kDark}, true},
    {"one has it, the other does not run", {kHasIt, kStopped}, true},
    {"none has it", {kLacksIt, kLacksIt}, false},
    {"nobody answers", {kDark, kDark}, false},
    {"there is no replica", {}, false},
    // The claimant has paused both, and one restarted.
    {"the candidate is paused without it",
     {kRestarted, {.number = 10, .paused_term = 2}},
     false},
    {"the candidate is paused with it",
     {kRestarted, {.number = 11, .paused_term = 2}},
     true},
    {"the candidate does not answer", {kRestarted, kDark}, false},
    {"restarted, the other does not run", {kRestarted, kStopped}, true},
    {"restarted, the other is not paused", {kRestarted, kLacksIt}, true},
    {"the other follows a later term",
     {kRestarted, {.number = 10, .term = 2}},
     false},
};

TABLE_TEST(gateway_commit_confirmation, unheard_claims, kUnknownClaims) {
  const UnknownClaimCase& row = kUnknownClaims[*row_index];
  const TimePoint heard_until{1h};
  ReplicaAnswers answers;
  for (const ReplicaAnswer& answer : row.answers) {
    if (answer.error) {
      answers.emplace_back(Error{*answer.error, "fake", "", ""});
      continue;
    }
    ReplicationStatus status;
    status.term = answer.term;
    status.received = {answer.term, answer.number};
    status.paused_term = answer.paused_term;
    answers.emplace_back(InstanceAnswer{
        status, answer.connected_before ? heard_until - 1s : heard_until + 1s});
  }
  cr_expect_eq(SurvivesUnknownClaim(answers, {1, 11}, heard_until),
               row.survives, "%s", row.pattern);
}

// The whole path: the store is away, a commit was received by one replica, and
// the other one is paused by a claim, does not answer, or is well.
struct OutOfTouchCase {
  const char* pattern;
  bool restarted;
  bool other_paused;
  bool other_silent;
  ReplyCode code;
};

static const OutOfTouchCase kOutOfTouch[] = {
    {"store away", false, false, false, ReplyCode::kDone},
    {"store away, a replica is dead", false, false, true, ReplyCode::kDone},
    {"paused by a claim that is not known", true, true, false,
     ReplyCode::kUnknown},
};

TABLE_TEST(gateway_commit_confirmation, store_does_not_answer, kOutOfTouch) {
  const OutOfTouchCase& row = kOutOfTouch[*row_index];
  ConfirmationRig rig;
  // A connection to the replica from before the outage.
  InstanceStatus status(rig.context, FakeStatus);
  if (!row.restarted)
    status.Request(InstanceName("a"), [](const auto&) {});
  rig.timers.Advance(100ms);
  rig.in_touch = false;
  rig.timers.Advance(StoreContact::kMaxPause + 500ms);
  rig.group.At("a").received.number = 11;
  rig.group.At("b").paused_term = row.other_paused ? 2 : 0;
  rig.group.At("b").silent = row.other_silent;
  rig.Write();
  rig.timers.Advance(2s);
  cr_assert_eq(rig.replies.size(), 1U, "%s", row.pattern);
  cr_expect_eq(rig.replies.front().code, row.code, "%s", row.pattern);
}

// After an outage or a suspension, the claims must be received again before
// this proxy relies on knowing them.
struct ViewCase {
  const char* pattern;
  Duration store_pause;
  Duration check_pause;
  bool complete;
};

static const ViewCase kViews[] = {
    {"nothing happened", 1s, 100ms, true},
    {"the store did not answer", StoreContact::kMaxPause + 1s, 100ms, false},
    {"the process was suspended", 1s, ClaimsView::kMaxCheckPause + 100ms,
     false},
};

TABLE_TEST(gateway_commit_confirmation, view_of_the_claims, kViews) {
  const ViewCase& row = kViews[*row_index];
  StoreContact contact;
  ClaimsView view;
  TimePoint now{1h};
  contact.Answered(now);
  cr_expect(view.Check(now, contact));
  view.Received(view.losses());
  cr_assert(view.Complete(now, contact));
  const TimePoint answers_again = now + row.store_pause;
  const uint64_t losses = view.losses();
  for (; now < answers_again; now += row.check_pause)
    view.Check(now, contact);
  contact.Answered(answers_again);
  cr_expect_eq(view.Complete(now, contact), row.complete, "%s", row.pattern);
  view.Check(now, contact);
  cr_expect_eq(view.Complete(now, contact), row.complete, "%s", row.pattern);
  // A list that was requested before proves nothing.
  if (!row.complete)
    view.Received(losses);
  cr_expect_eq(view.Complete(now, contact), row.complete, "%s", row.pattern);
  view.Received(view.losses());
  cr_expect(view.Complete(now, contact), "%s", row.pattern);
}

}  // namespace jackdawturn::gateway
