#include <memory>
#include <string>
#include <vector>

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

// A read at the primary runs in a transaction of its own. Whenever the client
// disconnects, that transaction must not remain open on the connection for the
// next client (seen as PINNED in users' day runs).
Test(gateway_sessions, disconnect_during_read_leaves_no_open_transaction) {
  for (Duration disconnect_after = 0ms; disconnect_after < 10ms;
       disconnect_after += 250us) {
    GatewayRig rig;
    const auto session = rig.Open("strict");
    session->Handle(Read());
    rig.timers.Advance(disconnect_after);
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

// The locks of a transaction must be released when its client disconnects.
Test(gateway_sessions, open_transaction_is_rolled_back_on_disconnect) {
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

// A read may only run at an instance that has every commit required by its
// route.
struct FreshnessCase {
  const char* database;
  bool primary_observed;
  bool wrote_before;
  const char* served_by;
};

static const FreshnessCase kFreshness[] = {
    {"strict", true, false, "p"},
    // Without a recent position of the primary, no replica is known to be fresh
    // enough.
    {"aged", false, false, "p"},
    {"aged", true, false, "a"},
    {"own", true, false, "a"},
    // No replica has the session's own commit.
    {"own", true, true, "p"},
};

TABLE_TEST(gateway_sessions, reads_run_where_required_commits_are, kFreshness) {
  const FreshnessCase& row = kFreshness[*row_index];
  GatewayRig rig;
  const auto session = rig.Open(row.database);
  if (row.primary_observed)
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

// When the connection to the instance is lost, the reply must say whether the
// statement may have taken effect.
struct BreakCase {
  bool in_transaction;
  Kind kind;
  const char* text;
  ReplyCode expected_code;
};

static const BreakCase kBreaks[] = {
    {false, Kind::kWrite, "WRITE 1 x", ReplyCode::kUnknown},
    // Without a COMMIT, the instance rolls the transaction back.
    {true, Kind::kWrite, "WRITE 2 y", ReplyCode::kAborted},
    {true, Kind::kCommit, "COMMIT", ReplyCode::kUnknown},
};

TABLE_TEST(gateway_sessions,
           lost_connection_gives_correct_reply_code,
           kBreaks) {
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
  cr_assert_eq(rig.replies.back().code, row.expected_code);
}

// A write refused by a demoted primary did not run, and is retried at the new
// primary.
Test(gateway_sessions, write_is_retried_at_the_new_primary) {
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

// Clients must not wait for their timeout when no instance can serve them.
Test(gateway_sessions, write_without_a_primary_is_refused_before_its_timeout) {
  GatewayRig rig;
  rig.directory.MarkDemoted(InstanceName("p"));
  const auto session = rig.Open("strict");
  session->Handle(Write());
  rig.timers.Advance(600ms);
  cr_assert_eq(rig.replies.size(), 1U);
  cr_assert_eq(rig.replies.back().code, ReplyCode::kBusy);
}

// A proxy in a partitioned zone refuses immediately, so that the client has
// time left to retry in another zone.
Test(gateway_sessions, partitioned_zone_refuses_immediately) {
  GatewayRig rig;
  rig.directory.MarkDemoted(InstanceName("p"));
  rig.context.isolation.Confirm(rig.timers.now());
  const auto session = rig.Open("strict");
  session->Handle(Write());
  rig.timers.Advance(1ms);
  cr_assert_eq(rig.replies.size(), 1U);
  cr_assert_eq(rig.replies.back().code, ReplyCode::kBusy);
}

// An unresponsive replica must not delay a repeatable read until its timeout.
Test(gateway_sessions, read_is_retried_when_a_replica_does_not_respond) {
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

// Load pattern: a slow instance. Closing the connections of reads that were
// retried elsewhere caused new ones to be opened, each of which takes one of
// the instance's slots while it opens (seen in day runs of the grown sites).
Test(gateway_sessions, late_answer_releases_the_connection) {
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

// A transaction holds locks, so its later statements never wait for the pace,
// while single statements do.
Test(gateway_sessions, later_statements_of_a_transaction_are_not_held_back) {
  GatewayRig rig;
  const auto write = [](const char* text) {
    return StatementOf(ClientStatement::Kind::kWrite, text);
  };
  const auto transaction = rig.Open("strict");
  transaction->Handle(StatementOf(ClientStatement::Kind::kBegin, "BEGIN"));
  transaction->Handle(write("WRITE 1 x"));
  rig.timers.Advance(20ms);
  rig.pool.Started(rig.group.At("p").server);
  BackendPool::ConnectionPtr in_the_way;
  rig.pool.AcquireFor(
      {.wait = 100ms, .as_primary = true}, rig.group.At("p").server,
      [&](auto connection) { in_the_way = std::move(connection.value()); });
  rig.timers.Advance(20ms);
  cr_assert(in_the_way);
  rig.replies.clear();
  const auto single = rig.Open("strict");
  single->Handle(write("WRITE 2 x"));
  rig.timers.Advance(100ms);
  cr_assert(rig.replies.empty());
  transaction->Handle(write("WRITE 3 x"));
  rig.timers.Advance(20ms);
  cr_assert_eq(rig.replies.size(), 1U);
  cr_assert_eq(rig.replies.back().code, ReplyCode::kDone);
  rig.pool.Release(std::move(in_the_way));
  rig.timers.Advance(20ms);
  cr_assert_eq(rig.replies.size(), 2U);
  cr_assert_eq(rig.replies.back().code, ReplyCode::kDone);
  transaction->Disconnect();
  rig.timers.Advance(20ms);
}

// The statements of many clients at an instance that has no room for them must
// not be sent again and again: that would multiply the load that it cannot
// bear. Each of them is told that it did not run.
Test(gateway_sessions, retries_do_not_multiply_the_load_of_a_full_instance) {
  constexpr size_t kClients = 200;
  GatewayRig rig;
  rig.group.At("p").refuses_begins = true;
  std::vector<std::shared_ptr<ClientSession>> sessions;
  for (size_t count = 0; count < kClients; ++count) {
    sessions.push_back(rig.Open("strict"));
    sessions.back()->Handle(Read());
    rig.timers.Advance(2ms);
  }
  rig.timers.Advance(1s);
  cr_assert_eq(rig.replies.size(), kClients);
  for (const ClientReply& reply : rig.replies)
    cr_expect_eq(reply.code, ReplyCode::kBusy);
  cr_expect_leq(rig.group.At("p").begun, kClients + kClients / 5, "%zu",
                rig.group.At("p").begun);
}

}  // namespace jackdawturn::gateway
