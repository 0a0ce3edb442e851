#include <optional>
#include <string>

#include "gateway/confirmation_rig.h"

#include "support/table_test.h"

// A proxy that the store does not answer: what it confirms, and what it refuses
// at once.

namespace jackdawturn::gateway {

namespace {

using namespace std::chrono_literals;  // NOLINT(google-build-using-namespace)

}  // namespace

// A replica is known not to have restarted as long as a connection from before
// the outage answers. Connections of a burst must not take its place: with the
// other replica dark, each commit then ended as unknown at its deadline.
Test(gateway_out_of_touch, burst_keeps_the_oldest_connection) {
  ConfirmationRig rig;
  const InstanceName replica("a");
  InstanceStatus status(rig.context, FakeStatus);
  status.Request(replica, [](const auto&) {});
  rig.timers.Advance(100ms);
  rig.in_touch = false;
  rig.timers.Advance(StoreContact::kMaxPause + 500ms);
  for (int request = 0; request < 3; ++request)
    status.Request(replica, [](const auto&) {});
  for (int sweep = 0; sweep < 10; ++sweep) {
    rig.timers.Advance(100ms);
    rig.pool.CloseIdle();
    status.Request(replica, [](const auto&) {});
  }
  rig.timers.Advance(100ms);
  rig.group.At("a").received.number = 11;
  rig.group.At("b").silent = true;
  rig.Write();
  rig.timers.Advance(2s);
  cr_assert_eq(rig.replies.size(), 1U);
  cr_expect_eq(rig.replies.front().code, ReplyCode::kDone);
}

// A replica that was not paused when it answered may be paused, and chosen for
// a promotion, before a commit that joins the round is acknowledged by another
// replica that has restarted; the commit would then be lost.
Test(gateway_out_of_touch, commit_needs_answers_of_its_own) {
  ConfirmationRig rig;
  InstanceStatus status(rig.context, FakeStatus);
  rig.in_touch = false;
  rig.timers.Advance(StoreContact::kMaxPause + 500ms);
  // "b" answers one kAnswerTime sooner than "a", to which a connection must be
  // opened first.
  status.Request(InstanceName("b"), [](const auto&) {});
  rig.timers.Advance(100ms);
  const TimePoint deadline = rig.timers.now() + 500ms;
  const GroupName group("loans");
  bool first = false;
  std::optional<bool> second;
  rig.confirmation.Confirm(group, {1, 10}, deadline,
                           [&](bool survives) { first = survives; });
  rig.timers.Advance(FakeGroup::kAnswerTime);
  rig.group.At("b").paused_term = 2;
  rig.group.At("a").received.number = 11;
  rig.confirmation.Confirm(group, {1, 11}, deadline,
                           [&](bool survives) { second = survives; });
  rig.timers.Advance(1s);
  cr_expect(first);
  cr_assert(second.has_value());
  cr_expect_not(*second);
}

// While the replicas' answers cannot show that any commit survives, a write or
// commit that was sent is unknown to its client, which must not repeat it. One
// that follows is refused as not run at once, so that the client can go to
// another proxy, and none is refused any more once the replicas are well.
struct UnconfirmableCase {
  const char* pattern;
  // The replica "a" was not connected to before the outage.
  bool restarted;
  bool other_paused;
  bool other_silent;
  bool in_transaction;
  ReplyCode code;
};

static const UnconfirmableCase kUnconfirmable[] = {
    {"the other is paused", true, true, false, false, ReplyCode::kBusy},
    {"the other is paused, in a transaction", true, true, false, true,
     ReplyCode::kAborted},
    {"the other is dark", true, false, true, false, ReplyCode::kBusy},
    {"the other is dark, in a transaction", true, false, true, true,
     ReplyCode::kAborted},
    {"both are known", true, false, false, false, ReplyCode::kDone},
    {"one was connected to before", false, true, false, false,
     ReplyCode::kDone},
    {"one was connected to before, in a transaction", false, false, true, true,
     ReplyCode::kDone},
};

TABLE_TEST(gateway_out_of_touch, refuses_unconfirmable, kUnconfirmable) {
  const UnconfirmableCase& row = kUnconfirmable[*row_index];
  using Kind = ClientStatement::Kind;
  ConfirmationRig rig;
  InstanceStatus status(rig.context, FakeStatus);
  if (!row.restarted)
    status.Request(InstanceName("a"), [](const auto&) {});
  rig.timers.Advance(100ms);
  const auto other = rig.Open("strict");
  if (row.in_transaction) {
    other->Handle(StatementOf(Kind::kBegin, "BEGIN"));
    other->Handle(StatementOf(Kind::kWrite, "WRITE 2 y"));
    rig.timers.Advance(50ms);
  }
  rig.in_touch = false;
  rig.timers.Advance(StoreContact::kMaxPause + 500ms);
  rig.group.At("a").received.number = 100;
  rig.group.At("b").paused_term = row.other_paused ? 2 : 0;
  rig.group.At("b").silent = row.other_silent;
  rig.Write();
  rig.timers.Advance(2s);
  const size_t before = rig.replies.size();
  const size_t ran = rig.group.At("p").ran.size();
  other->Handle(row.in_transaction ? StatementOf(Kind::kCommit, "COMMIT")
                                   : StatementOf(Kind::kWrite, "WRITE 3 z"));
  rig.timers.Advance(20ms);
  cr_assert_eq(rig.replies.size(), before + 1, "%s", row.pattern);
  cr_expect_eq(rig.replies.back().code, row.code, "%s", row.pattern);
  if (row.code == ReplyCode::kDone)
    return;
  cr_expect_eq(rig.group.At("p").ran.size(), ran, "%s", row.pattern);
  rig.timers.Advance(500ms);
  cr_expect_eq(rig.group.At("p").open_transactions, 0U, "%s", row.pattern);
  // The replicas are asked again without a write.
  rig.group.At("b").paused_term = 0;
  rig.group.At("b").silent = false;
  for (int attempt = 0; attempt < 4; ++attempt) {
    rig.Write();
    rig.timers.Advance(500ms);
  }
  cr_expect_eq(rig.replies.back().code, ReplyCode::kDone, "%s", row.pattern);
}

// A proxy that the store does not answer may be unable to learn which instance
// was promoted. Statements that need the primary were kept for most of their
// time and then refused, so that too little was left for another proxy.
struct UnknownPrimaryCase {
  const char* pattern;
  bool in_touch;
  // The store answers again shortly before the statement arrives.
  bool returned;
  // How long no primary was known when the statement arrives.
  Duration missing;
  // When the statement is refused.
  Duration refused_within;
};

static const UnknownPrimaryCase kUnknownPrimaries[] = {
    {"the store tells of the new one", true, false, 700ms, 600ms},
    {"the instances are being asked", false, false, 300ms, 600ms},
    {"nobody knows the new one", false, false, 700ms, 20ms},
    {"no change is possible yet", false, true, 700ms, 20ms},
    {"a change is possible soon", false, true, 2500ms, 600ms},
};

TABLE_TEST(gateway_out_of_touch, refuses_without_a_primary, kUnknownPrimaries) {
  const UnknownPrimaryCase& row = kUnknownPrimaries[*row_index];
  ConfirmationRig rig;
  const auto waiting = rig.Open("strict");
  rig.in_touch = row.in_touch;
  rig.timers.Advance(StoreContact::kMaxPause + 500ms);
  rig.directory.MarkDemoted(InstanceName("p"));
  waiting->Handle(StatementOf(ClientStatement::Kind::kRead, "READ 1"));
  rig.timers.Advance(200ms);
  rig.in_touch = row.in_touch || row.returned;
  rig.timers.Advance(row.missing - 200ms);
  const size_t before = rig.replies.size();
  const auto session = rig.Open("strict");
  session->Handle(StatementOf(ClientStatement::Kind::kRead, "READ 2"));
  rig.timers.Advance(20ms);
  const bool at_once = row.refused_within <= 20ms;
  cr_assert_eq(rig.replies.size() - before, at_once ? 1U : 0U, "%s",
               row.pattern);
  rig.timers.Advance(row.refused_within);
  cr_expect_eq(rig.replies.back().code, ReplyCode::kBusy, "%s", row.pattern);
  // A primary that is found again is used at once.
  rig.directory.MarkPromoted(GroupName("loans"), InstanceName("p"));
  rig.replies.clear();
  session->Handle(StatementOf(ClientStatement::Kind::kRead, "READ 3"));
  rig.timers.Advance(50ms);
  cr_assert_eq(rig.replies.size(), 1U, "%s", row.pattern);
  cr_expect_eq(rig.replies.back().code, ReplyCode::kDone, "%s", row.pattern);
}

}  // namespace jackdawturn::gateway
