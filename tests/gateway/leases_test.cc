#include <string>

#include "gateway/fake_group.h"

#include "support/table_test.h"

namespace jackdawturn::gateway {

namespace {

using namespace std::chrono_literals;  // NOLINT(google-build-using-namespace)
using Kind = ClientStatement::Kind;

const GroupName kGroup("loans");
const InstanceName kPrimary("p");

// A proxy in front of a group whose promotions do not depose the old primary.
struct LeaseRig : GatewayRig {
  LeaseRig() { UseLeases(); }

  // Returns the reply code of a read, or nullopt if none came within a second.
  std::optional<ReplyCode> Read(const std::string& database) {
    const auto session = Open(database);
    session->Handle(StatementOf(Kind::kRead, "READ 1"));
    timers.Advance(1s);
    session->Disconnect();
    if (replies.empty())
      return std::nullopt;
    return replies.back().code;
  }

  void Write() {
    const auto session = Open("strict");
    session->Handle(StatementOf(Kind::kWrite, "WRITE 1 x"));
    timers.Advance(20ms);
    session->Disconnect();
    replies.clear();
  }
};

}  // namespace

struct ConfirmCase {
  const char* pattern;
  const char* primary;
  uint64_t term;
  Duration time;
  // The end of the lease of "p" afterwards, 0 for none.
  Duration end;
};

// Each row is applied to a lease of "p" for term 3 that was confirmed at 1 s.
static const ConfirmCase kConfirmations[] = {
    {"a later confirmation extends it", "p", 3, 1'200ms, 1'700ms},
    {"a late answer does not shorten it", "p", 3, 900ms, 1'500ms},
    {"an answer of an earlier term is ignored", "p", 2, 1'200ms, 1'500ms},
    {"a new term begins a new lease", "p", 4, 900ms, 1'400ms},
    {"another primary ends it", "a", 4, 1'200ms, 0ms},
    {"an earlier primary does not", "a", 2, 1'200ms, 1'500ms},
};

TABLE_TEST(gateway_leases, confirmations, kConfirmations) {
  const ConfirmCase& row = kConfirmations[*row_index];
  const TimePoint start{1h};
  PrimaryLease leases;
  leases.Confirm(kGroup, kPrimary, 3, start + 1s);
  leases.Confirm(kGroup, InstanceName(row.primary), row.term, start + row.time);
  const auto end = leases.End(kGroup, kPrimary);
  cr_expect_eq(end.has_value(), row.end > 0ms, "%s", row.pattern);
  if (end)
    cr_expect_eq((*end - start).count(), Duration(row.end).count(), "%s",
                 row.pattern);
}

// A primary that was replaced without its knowledge, and proxies that still
// reach it (seen as STALE in users' day runs).
struct ReplacedCase {
  const char* pattern;
  // The replicas have been paused for a change, or follow a new primary.
  bool paused;
  bool replaced;
  bool replicas_silent;
  ReplyCode code;
  // Whether the read ran at "p".
  bool ran;
};

static const ReplacedCase kReplaced[] = {
    {"not replaced", false, false, false, ReplyCode::kDone, true},
    {"a change has begun", true, false, false, ReplyCode::kBusy, false},
    {"replaced", false, true, false, ReplyCode::kBusy, false},
    {"replicas do not answer", false, false, true, ReplyCode::kBusy, false},
};

TABLE_TEST(gateway_leases, read_of_a_replaced_primary, kReplaced) {
  const ReplacedCase& row = kReplaced[*row_index];
  LeaseRig rig;
  for (const char* id : {"a", "b"}) {
    FakeGroup::Instance& replica = rig.group.At(id);
    replica.paused_term = row.paused ? 2 : 0;
    replica.term = row.replaced ? 2 : 1;
    replica.silent = row.replicas_silent;
  }
  const auto code = rig.Read("strict");
  cr_assert(code.has_value(), "%s", row.pattern);
  cr_expect_eq(*code, row.code, "%s", row.pattern);
  cr_expect_eq(!rig.group.At("p").ran.empty(), row.ran, "%s", row.pattern);
}

// A read whose route allows an age may run at a primary that was replaced a
// shorter time ago.
struct AgedCase {
  Duration since_lease;
  bool served;
};

// The route allows 2 s.
static const AgedCase kAged[] = {
    {400ms, true},
    {2'300ms, true},
    {2'600ms, false},
};

TABLE_TEST(gateway_leases, aged_reads_need_an_older_lease, kAged) {
  const AgedCase& row = kAged[*row_index];
  LeaseRig rig;
  rig.context.leases.Confirm(kGroup, kPrimary, 1, rig.timers.now());
  rig.group.At("a").silent = true;
  rig.group.At("b").silent = true;
  rig.timers.Advance(row.since_lease);
  cr_expect_eq(rig.Read("aged") == ReplyCode::kDone, row.served);
}

// Where commits are frequent, they renew the lease and no instance is asked.
Test(gateway_leases, acknowledged_commit_renews_the_lease) {
  LeaseRig rig;
  rig.Write();
  const size_t opened = rig.group.opened;
  cr_assert_eq(rig.Read("strict"), ReplyCode::kDone);
  cr_expect_eq(rig.group.opened, opened);
}

// Where other proxies commit, what replicas show renews the lease.
Test(gateway_leases, replica_with_a_new_position_renews_the_lease) {
  LeaseRig rig;
  const TimePoint start = rig.timers.now();
  rig.context.leases.Confirm(kGroup, kPrimary, 1, start);
  rig.context.positions[kGroup].Observe(start + 300ms, {1, 9});
  rig.timers.Advance(400ms);
  rig.group.At("p").received.number = 11;
  rig.group.At("a").received.number = 11;
  rig.group.At("b").received.number = 11;
  rig.context.progress[InstanceName("a")].applied = {1, 11};
  cr_assert_eq(rig.Read("own"), ReplyCode::kDone);
  cr_assert(rig.group.At("p").ran.empty());
  const auto end = rig.context.leases.End(kGroup, kPrimary);
  cr_assert(end.has_value());
  cr_expect_eq((*end - start).count(),
               Duration(300ms + PrimaryLease::kTime).count());
}

// Without a replica that must receive commits, a commit proves nothing, and a
// replaced primary could acknowledge writes.
Test(gateway_leases, commit_that_no_replica_received_renews_nothing) {
  LeaseRig rig;
  auto config = std::make_shared<GatewayConfig>(*rig.context.config);
  config->groups[kGroup].sync_replicas = 0;
  rig.context.config = config;
  rig.group.At("a").paused_term = 2;
  rig.group.At("b").paused_term = 2;
  rig.Write();
  cr_expect(rig.group.At("p").ran.empty());
  cr_expect(!rig.context.leases.End(kGroup, kPrimary).has_value());
}

// A position of a replaced primary covers only the commits that were
// acknowledged while it had its lease.
Test(gateway_leases, observed_position_covers_the_time_of_the_lease) {
  LeaseRig rig;
  const TimePoint start = rig.timers.now();
  rig.context.leases.Confirm(kGroup, kPrimary, 1, start);
  rig.group.At("a").silent = true;
  rig.group.At("b").silent = true;
  rig.timers.Advance(2s);
  cr_assert_eq(rig.Read("aged"), ReplyCode::kDone);
  const auto& positions = rig.context.positions[kGroup];
  cr_expect(
      positions.PositionCovering(start + PrimaryLease::kTime).has_value());
  cr_expect(!positions.PositionCovering(start + PrimaryLease::kTime + 1ms)
                 .has_value());
}

// A primary that lacks the session's own commit was replaced by the one that
// acknowledged it, which another proxy knew.
Test(gateway_leases, primary_without_the_own_commit_is_not_read) {
  LeaseRig rig;
  const auto session = ClientSession::Create(
      rig.context, "own", ClientSession::Origin::kPeer,
      [&](const ClientReply& reply) { rig.replies.push_back(reply); });
  ClientStatement read = StatementOf(Kind::kRead, "READ 1");
  read.after = CommitPosition{2, 1};
  session->Handle(read);
  rig.timers.Advance(1s);
  cr_assert_eq(rig.replies.size(), 1U);
  cr_expect_eq(rig.replies.back().code, ReplyCode::kBusy);
  cr_expect(rig.group.At("p").ran.empty());
  cr_expect_null(rig.directory.Primary(kGroup));
}

}  // namespace jackdawturn::gateway
