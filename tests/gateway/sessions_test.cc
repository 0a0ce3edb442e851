#include <string>

#include "gateway/fake_group.h"

#include "support/table_test.h"

namespace jackdawturn::gateway {

namespace {

using namespace std::chrono_literals;  // NOLINT(google-build-using-namespace)
using Kind = ClientStatement::Kind;

ClientStatement Read() {
  return StatementOf(Kind::kRead, "READ 1");
}
ClientStatement Write() {
  return StatementOf(Kind::kWrite, "WRITE 1 x");
}

}  // namespace

// A read at the primary stands in a transaction of its own; a client that
// leaves at any moment must not leave that open for the next client (seen as
// PINNED on users' days).
Test(gateway_sessions, client_that_leaves_gives_a_clean_connection_back) {
  for (Duration left_after = 0ms; left_after < 10ms; left_after += 250us) {
    GatewayRig rig;
    const auto session = rig.Open("strict");
    session->Handle(Read());
    rig.timers.Advance(left_after);
    session->Disconnect();
    rig.timers.Advance(20ms);
    cr_expect_eq(rig.group.At("p").open_transactions, 0U);
    const auto next = rig.Open("strict");
    next->Handle(Write());
    rig.timers.Advance(20ms);
    for (const auto& [id, in_transaction] : rig.group.At("p").ran)
      cr_expect(id != "id-WRITE 1 x" || !in_transaction);
    cr_expect_eq(rig.replies.back().code, ReplyCode::kDone);
  }
}

// A client that leaves inside a transaction must not keep its locks.
Test(gateway_sessions, open_transaction_is_rolled_back_when_the_client_leaves) {
  GatewayRig rig;
  const auto session = rig.Open("own");
  session->Handle(StatementOf(Kind::kBegin, "BEGIN"));
  session->Handle(Write());
  rig.timers.Advance(20ms);
  cr_assert_eq(rig.group.At("p").open_transactions, 1U);
  session->Disconnect();
  rig.timers.Advance(20ms);
  cr_assert_eq(rig.group.At("p").open_transactions, 0U);
}

// A read may only run where every commit is that its route asks for.
struct FreshnessCase {
  const char* database;
  bool primary_seen;
  bool wrote_before;
  const char* served_by;
};

static const FreshnessCase kFreshness[] = {
    {"strict", true, false, "p"},
    // Without a recent position of the primary no replica can be judged.
    {"aged", false, false, "p"},
    {"aged", true, false, "a"},
    {"own", true, false, "a"},
    // Its own commit has not reached a replica.
    {"own", true, true, "p"},
};

TABLE_TEST(gateway_sessions, reads_run_where_the_commits_are, kFreshness) {
  const FreshnessCase& row = kFreshness[*row_index];
  GatewayRig rig;
  const auto session = rig.Open(row.database);
  if (row.primary_seen)
    rig.ObservePrimary();
  if (row.wrote_before) {
    session->Handle(Write());
    rig.timers.Advance(20ms);
  }
  session->Handle(Read());
  rig.timers.Advance(20ms);
  const std::string served_by = rig.replies.back().signature;
  cr_assert_eq(rig.replies.back().code, ReplyCode::kDone);
  cr_assert_str_eq(served_by.c_str(), row.served_by);
}

// What a client is told when the connection breaks must be true.
struct BreakCase {
  bool in_transaction;
  Kind kind;
  const char* text;
  ReplyCode told;
};

static const BreakCase kBreaks[] = {
    {false, Kind::kWrite, "WRITE 1 x", ReplyCode::kUnknown},
    // Without a commit, a transaction is rolled back.
    {true, Kind::kWrite, "WRITE 2 y", ReplyCode::kAborted},
    {true, Kind::kCommit, "COMMIT", ReplyCode::kUnknown},
};

TABLE_TEST(gateway_sessions, broken_connections_are_told_truthfully, kBreaks) {
  const BreakCase& row = kBreaks[*row_index];
  GatewayRig rig;
  const auto session = rig.Open("strict");
  if (row.in_transaction) {
    session->Handle(StatementOf(Kind::kBegin, "BEGIN"));
    session->Handle(Write());
    rig.timers.Advance(20ms);
  }
  rig.group.At("p").breaks_on = BackendCommand::Kind::kForward;
  session->Handle(StatementOf(row.kind, row.text));
  rig.timers.Advance(2s);
  cr_assert_eq(rig.replies.back().code, row.told);
}

// A write that meets an instance that no longer leads has not run, and moves.
Test(gateway_sessions, write_moves_to_the_new_primary) {
  GatewayRig rig;
  rig.group.At("p").role = ReplicationRole::kReplica;
  rig.group.At("a").role = ReplicationRole::kPrimary;
  const auto session = rig.Open("strict");
  session->Handle(Write());
  rig.timers.Advance(10ms);
  BackendServer promoted = rig.group.At("a").server;
  promoted.role = ReplicationRole::kPrimary;
  promoted.revision = 2;
  rig.directory.Update(promoted);
  rig.timers.Advance(100ms);
  cr_assert_eq(rig.replies.back().code, ReplyCode::kDone);
  cr_assert_eq(rig.group.At("a").ran.size(), 1U);
  cr_assert(rig.group.At("p").ran.empty());
}

// Callers must not wait for their deadline when no instance can serve them.
Test(gateway_sessions, write_without_a_primary_is_refused_before_its_timeout) {
  GatewayRig rig;
  rig.directory.MarkDemoted(InstanceName("p"));
  const auto session = rig.Open("strict");
  session->Handle(Write());
  rig.timers.Advance(600ms);
  cr_assert_eq(rig.replies.size(), 1U);
  cr_assert_eq(rig.replies.back().code, ReplyCode::kBusy);
}

// In a cut-off zone the caller's remaining time is worth more elsewhere.
Test(gateway_sessions, cut_off_zone_refuses_at_once) {
  GatewayRig rig;
  rig.directory.MarkDemoted(InstanceName("p"));
  rig.context.isolation.Confirm(rig.timers.now());
  const auto session = rig.Open("strict");
  session->Handle(Write());
  rig.timers.Advance(1ms);
  cr_assert_eq(rig.replies.size(), 1U);
  cr_assert_eq(rig.replies.back().code, ReplyCode::kBusy);
}

// One silent instance must not hold a repeatable read until its timeout.
Test(gateway_sessions, read_leaves_a_silent_replica) {
  GatewayRig rig;
  rig.ObservePrimary();
  const auto session = rig.Open("aged");
  session->Handle(Read());
  rig.timers.Advance(20ms);
  rig.group.At("a").silent = true;
  session->Handle(Read());
  rig.timers.Advance(400ms);
  cr_assert_eq(rig.replies.size(), 2U);
  cr_assert_eq(rig.replies.back().code, ReplyCode::kDone);
}

// Load pattern: a slow instance. Closing the connections of reads that went on
// elsewhere made new ones, and each takes one of the instance's slots while it
// opens (seen on days of the grown sites).
Test(gateway_sessions, late_answer_gives_the_connection_back) {
  GatewayRig rig;
  rig.ObservePrimary();
  rig.group.answer_time = 200ms;
  const auto session = rig.Open("aged");
  session->Handle(Read());
  rig.timers.Advance(1s);
  cr_assert_eq(rig.replies.size(), 1U);
  const size_t opened = rig.group.opened;
  rig.group.answer_time = FakeGroup::kAnswerTime;
  session->Handle(Read());
  rig.timers.Advance(20ms);
  cr_expect_eq(rig.replies.back().code, ReplyCode::kDone);
  cr_expect_eq(rig.group.opened, opened);
}

}  // namespace jackdawturn::gateway
