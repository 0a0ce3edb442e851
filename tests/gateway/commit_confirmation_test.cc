#include <optional>
#include <string>

#include "gateway/fake_group.h"

#include "support/table_test.h"

namespace jackdawturn::gateway {

namespace {

using namespace std::chrono_literals;  // NOLINT(google-build-using-namespace)

const GroupName kGroup("loans");
// The claim that is in progress when the primary "p" acknowledges a commit.
const PrimaryChangeRecord kClaim{.claimant = VmName("other"),
                                 .attempt = "1",
                                 .term = 1};

// A proxy that hears of changes of the primary, and one write to "p".
struct ConfirmationRig : GatewayRig {
  ConfirmationRig() {
    UseSyncReplicas();
    context.confirm_commit = [this](const GroupName& name,
                                    CommitPosition position, TimePoint deadline,
                                    CommitConfirmation::OnDecision decide) {
      confirmation.Confirm(name, position, deadline, std::move(decide));
    };
  }

  void Hear(const PrimaryChangeRecord& record) {
    context.changes.Observe(kGroup, ++revision, record, timers.now());
  }

  void Write() {
    session = Open("strict");
    session->Handle(StatementOf(ClientStatement::Kind::kWrite, "WRITE 1 x"));
    timers.Advance(20ms);
  }

  CommitConfirmation confirmation{context, FakeStatus};
  std::shared_ptr<ClientSession> session;
  uint64_t revision = 0;
};

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

}  // namespace jackdawturn::gateway
