#include <optional>
#include <string>
#include <vector>

#include "gateway/fake_group.h"

#include "support/table_test.h"

namespace jackdawturn::gateway {

namespace {

using namespace std::chrono_literals;  // NOLINT(google-build-using-namespace)
using Kind = ClientStatement::Kind;

constexpr Duration kGrace = 10s;
constexpr Duration kBalancerTime = 2s;

struct DrainRig : GatewayRig {
  // Makes the drain have begun `elapsed` ago.
  void DrainSince(Duration elapsed) {
    context.drain.emplace(timers.now() - elapsed, kGrace, kBalancerTime);
  }

  std::shared_ptr<ClientSession> OpenAs(ClientSession::Origin origin) {
    return ClientSession::Create(
        context, "strict", origin,
        [this](const ClientReply& reply) { replies.push_back(reply); });
  }

  // Returns how many statements ran at the primary.
  size_t ran() { return group.At("p").ran.size(); }
};

}  // namespace

struct PhaseCase {
  Duration elapsed;
  DrainPhase phase;
  bool has_time_for_a_second;
};

static const PhaseCase kPhases[] = {
    {0s, DrainPhase::kServing, true},
    {1999ms, DrainPhase::kServing, true},
    {2s, DrainPhase::kClosing, true},
    {4999ms, DrainPhase::kClosing, true},
    {5s, DrainPhase::kEndingTransactions, true},
    {6500ms, DrainPhase::kEndingTransactions, true},
    {6501ms, DrainPhase::kEndingTransactions, false},
    {7500ms, DrainPhase::kAnswering, false},
    {8499ms, DrainPhase::kAnswering, false},
    {8500ms, DrainPhase::kEnded, false},
};

TABLE_TEST(gateway_drain, phases_follow_the_grace_period, kPhases) {
  const PhaseCase& row = kPhases[*row_index];
  const TimePoint start{1h};
  const DrainSchedule schedule(start, kGrace, kBalancerTime);
  cr_expect(schedule.PhaseAt(start + row.elapsed) == row.phase);
  cr_expect_eq(schedule.HasTimeFor(start + row.elapsed, 1s),
               row.has_time_for_a_second);
}

// A process with little time to stop closes sessions earlier.
Test(gateway_drain, short_grace_period_leaves_time_between_phases) {
  const TimePoint start{1h};
  const DrainSchedule schedule(start, 3s, kBalancerTime);
  cr_expect(schedule.PhaseAt(start + 1s) == DrainPhase::kClosing);
  cr_expect(schedule.PhaseAt(start + 1500ms) ==
            DrainPhase::kEndingTransactions);
}

// At the end, the answer must say whether the statement may have taken effect.
struct InterruptCase {
  const char* pattern;
  bool in_transaction;
  Kind kind;
  const char* text;
  // The time from the statement to the end. An instance answers a command
  // after 1 ms; opening a connection to it takes as long.
  Duration sent_before;
  ReplyCode code;
};

static const InterruptCase kInterrupts[] = {
    {"waits for a connection", false, Kind::kWrite, "WRITE 1 x", 500us,
     ReplyCode::kBusy},
    {"write was sent", false, Kind::kWrite, "WRITE 1 x", 1500us,
     ReplyCode::kUnknown},
    {"only its begin was sent", false, Kind::kRead, "READ 1", 1500us,
     ReplyCode::kBusy},
    {"read was sent", false, Kind::kRead, "READ 1", 2500us,
     ReplyCode::kAborted},
    {"write in a transaction", true, Kind::kWrite, "WRITE 2 y", 500us,
     ReplyCode::kAborted},
    {"commit was sent", true, Kind::kCommit, "COMMIT", 500us,
     ReplyCode::kUnknown},
};

TABLE_TEST(gateway_drain, statement_in_progress_is_answered, kInterrupts) {
  const InterruptCase& row = kInterrupts[*row_index];
  DrainRig rig;
  const auto session = rig.Open("strict");
  if (row.in_transaction) {
    session->Handle(StatementOf(Kind::kBegin, "BEGIN"));
    session->Handle(StatementOf(Kind::kWrite, "WRITE 1 x"));
    rig.timers.Advance(20ms);
  }
  const size_t before = rig.replies.size();
  session->Handle(StatementOf(row.kind, row.text));
  // Read, but not begun: it certainly does not run.
  session->Handle(StatementOf(Kind::kWrite, "WRITE 3 z"));
  rig.timers.Advance(row.sent_before);
  const size_t ran = rig.ran();
  rig.DrainSince(8s);
  session->AnswerAll();
  cr_assert_eq(rig.replies.size(), before + 2, "%s", row.pattern);
  cr_expect_eq(rig.replies[before].code, row.code, "%s", row.pattern);
  cr_expect(GuaranteesNotRun(rig.replies[before + 1].code));
  cr_expect(rig.replies.back().state == TransactionState::kNone);
  cr_expect(session->idle());
  rig.timers.Advance(2s);
  cr_expect_eq(rig.replies.size(), before + 2);
  // What is reported as not run has not run.
  if (row.code == ReplyCode::kBusy)
    cr_expect_eq(rig.ran(), ran, "%s", row.pattern);
  cr_expect_eq(rig.group.At("p").open_transactions, 0U);
}

// A commit that is sent before the half of the grace period is answered when
// its reply comes.
Test(gateway_drain, commit_in_progress_keeps_its_answer) {
  DrainRig rig;
  const auto session = rig.Open("strict");
  session->Handle(StatementOf(Kind::kBegin, "BEGIN"));
  session->Handle(StatementOf(Kind::kWrite, "WRITE 1 x"));
  rig.timers.Advance(20ms);
  session->Handle(StatementOf(Kind::kCommit, "COMMIT"));
  rig.DrainSince(5s);
  session->EndTransaction();
  rig.timers.Advance(20ms);
  cr_expect_eq(rig.replies.back().code, ReplyCode::kDone);
  cr_expect(session->idle());
}

// From the half of the grace period on, a transaction's next statement is
// answered as aborted and not sent; nothing of what follows it in the same
// batch may run outside of the transaction.
static const ClientSession::Origin kOrigins[] = {ClientSession::Origin::kClient,
                                                 ClientSession::Origin::kPeer};

TABLE_TEST(gateway_drain, open_transaction_ends_after_half, kOrigins) {
  DrainRig rig;
  const auto session = rig.OpenAs(kOrigins[*row_index]);
  session->Handle(StatementOf(Kind::kBegin, "BEGIN"));
  session->Handle(StatementOf(Kind::kWrite, "WRITE 1 x"));
  rig.timers.Advance(20ms);
  const size_t ran = rig.ran();
  const size_t before = rig.replies.size();
  rig.DrainSince(5s);
  session->EndTransaction();
  rig.timers.Advance(20ms);
  cr_expect_eq(rig.group.At("p").open_transactions, 0U);
  // Its client has not been told.
  cr_expect(!session->idle());
  session->Handle(StatementOf(Kind::kSetValue, "SET a b"));
  session->Handle(StatementOf(Kind::kWrite, "WRITE 2 y"));
  session->Handle(StatementOf(Kind::kCommit, "COMMIT"));
  rig.timers.Advance(20ms);
  cr_assert_eq(rig.replies.size(), before + 3);
  for (size_t index = before; index < rig.replies.size(); ++index) {
    cr_expect_eq(rig.replies[index].code, ReplyCode::kAborted);
    cr_expect(rig.replies[index].state == TransactionState::kNone);
  }
  cr_expect_eq(rig.ran(), ran);
  cr_expect(session->idle());
}

// Work that may not end in time does not start. Another proxy can serve it.
struct LateCase {
  Duration elapsed;
  Kind kind;
  const char* text;
  bool served;
};

static const LateCase kLate[] = {
    {4s, Kind::kBegin, "BEGIN", true},
    {5s, Kind::kBegin, "BEGIN", false},
    {5s, Kind::kWrite, "WRITE 1 x", true},
    {7s, Kind::kWrite, "WRITE 1 x", false},
    {7s, Kind::kRead, "READ 1", false},
};

TABLE_TEST(gateway_drain, late_work_is_refused, kLate) {
  const LateCase& row = kLate[*row_index];
  for (const auto origin : kOrigins) {
    DrainRig rig;
    rig.DrainSince(row.elapsed);
    const auto session = rig.OpenAs(origin);
    session->Handle(StatementOf(row.kind, row.text));
    session->Handle(StatementOf(Kind::kWrite, "WRITE 2 y"));
    rig.timers.Advance(20ms);
    cr_assert_eq(rig.replies.size(), 2U);
    if (row.served) {
      cr_expect_eq(rig.replies.front().code, ReplyCode::kDone);
      continue;
    }
    for (const ClientReply& reply : rig.replies) {
      cr_expect_eq(reply.code, ReplyCode::kBusy);
      cr_expect_str_eq(reply.message.c_str(), kDraining);
      cr_expect(reply.state == TransactionState::kNone);
    }
    cr_expect_eq(rig.ran(), 0U);
  }
}

}  // namespace jackdawturn::gateway
