#include <string>

#include "gateway/fake_group.h"
#include "gateway/recorded_log.h"

#include "support/table_test.h"

namespace jackdawturn::gateway {

namespace {

using namespace std::chrono_literals;  // NOLINT(google-build-using-namespace)
using Kind = ClientStatement::Kind;

}  // namespace

// Without a line for an acknowledged commit, a commit that a promoted instance
// lacks cannot be told from one that never was acknowledged.
struct AcknowledgedCase {
  const char* pattern;
  bool in_transaction;
  Kind kind;
  const char* text;
  // The client leaves while the statement runs.
  bool client_leaves;
  bool logged;
};

static const AcknowledgedCase kAcknowledged[] = {
    {"a write", false, Kind::kWrite, "WRITE 2 y", false, true},
    {"a commit", true, Kind::kCommit, "COMMIT", false, true},
    // Only the commit makes it durable.
    {"a write in a transaction", true, Kind::kWrite, "WRITE 2 y", false, false},
    {"a read", false, Kind::kRead, "READ 1", false, false},
    // Its client was told nothing.
    {"a client that left", false, Kind::kWrite, "WRITE 2 y", true, false},
};

TABLE_TEST(gateway_request_trace,
           acknowledged_commit_has_a_line,
           kAcknowledged) {
  const AcknowledgedCase& row = kAcknowledged[*row_index];
  RecordedLog recorded;
  GatewayRig rig(recorded.log());
  const auto session = rig.Open("strict");
  if (row.in_transaction) {
    session->Handle(StatementOf(Kind::kBegin, "BEGIN"));
    session->Handle(StatementOf(Kind::kWrite, "WRITE 1 x"));
    rig.timers.Advance(20ms);
  }
  session->Handle(StatementOf(row.kind, row.text));
  if (row.client_leaves)
    session->Disconnect();
  rig.timers.Advance(20ms);
  const std::string lines = recorded.Lines("acknowledged");
  cr_assert_eq(CountLines(lines), row.logged ? 1 : 0, "%s: %s", row.pattern,
               lines.c_str());
  if (!row.logged)
    return;
  for (const std::string& part :
       {std::string(" group=loans"), std::string(" peer=p"),
        std::string(" database=strict"), std::string(" position=1.11"),
        std::string(" waited_us=")})
    cr_expect(Contains(lines, part), "%s lacks%s", lines.c_str(), part.c_str());
  cr_expect(Contains(lines, row.in_transaction ? "COMMIT" : "WRITE 2 y"));
}

// Without a line for each request that a connection's end leaves unanswered,
// such a request cannot be told from one that never arrived.
struct UnansweredCase {
  const char* pattern;
  SessionEnd why;
  // From the statements to the end of the session.
  Duration after;
  size_t lines;
  // In the line of the first statement.
  const char* first;
};

static const UnansweredCase kUnanswered[] = {
    {"before it was sent", SessionEnd::kClientLeft, 0ms, 2,
     " database=strict sent=no why=client_left"},
    {"after it was sent", SessionEnd::kConnectionError, 1500us, 2,
     " database=strict sent=yes why=connection_error"},
    {"in a drain", SessionEnd::kDrain, 1500us, 2,
     " database=strict sent=yes why=drain"},
    {"after the answers", SessionEnd::kClientLeft, 50ms, 0, ""},
};

TABLE_TEST(gateway_request_trace, unanswered_request_has_a_line, kUnanswered) {
  const UnansweredCase& row = kUnanswered[*row_index];
  RecordedLog recorded;
  GatewayRig rig(recorded.log());
  const auto session = rig.Open("strict");
  session->Handle(StatementOf(Kind::kWrite, "W1"));
  session->Handle(StatementOf(Kind::kWrite, "W2"));
  rig.timers.Advance(row.after);
  session->Disconnect(row.why);
  rig.timers.Advance(50ms);
  const std::string lines = recorded.Lines("unanswered");
  cr_assert_eq(CountLines(lines), static_cast<long>(row.lines), "%s: %s",
               row.pattern, lines.c_str());
  const std::string counted =
      "jackdawturn_statements_unanswered_total{reason=\"" +
      std::string(ToString(row.why)) + "\"} " + std::to_string(row.lines);
  cr_expect_eq(Contains(rig.metrics.Render(), counted), row.lines > 0);
  if (row.lines == 0)
    return;
  const std::string first = lines.substr(0, lines.find('\n'));
  const std::string second = lines.substr(first.size() + 1);
  cr_expect(Contains(first, "request=id-W1 ") && Contains(first, row.first),
            "%s", lines.c_str());
  // It waited for the first one, which had not been answered.
  cr_expect(Contains(second, "request=id-W2 ") && Contains(second, " sent=no "),
            "%s", lines.c_str());
}

// The proxy that passed a commit on must tell when a later primary shows that
// it has put another one in its place.
struct SuccessorCase {
  const char* pattern;
  // What the new primary has when the next statement comes.
  CommitPosition received;
  Kind kind;
  const char* text;
  // Empty: nothing is missing.
  const char* line;
};

static const SuccessorCase kSuccessors[] = {
    {"its commit has the same number",
     {2, 10},
     Kind::kWrite,
     "WRITE 2 y",
     " acknowledged=1.11 seen=2.11"},
    {"it is behind when it is read",
     {2, 10},
     Kind::kRead,
     "READ 1",
     " acknowledged=1.11 seen=2.10"},
    {"it has the commit", {2, 11}, Kind::kWrite, "WRITE 2 y", ""},
    {"it may have the commit", {2, 11}, Kind::kRead, "READ 1", ""},
};

TABLE_TEST(gateway_request_trace,
           successor_without_the_commit_is_reported,
           kSuccessors) {
  const SuccessorCase& row = kSuccessors[*row_index];
  RecordedLog recorded;
  GatewayRig rig(recorded.log());
  const auto session = rig.Open("strict");
  session->Handle(StatementOf(Kind::kWrite, "WRITE 1 x"));
  rig.timers.Advance(20ms);
  rig.group.At("p").received = row.received;
  for (int statement = 0; statement < 2; ++statement) {
    session->Handle(StatementOf(row.kind, row.text));
    rig.timers.Advance(20ms);
  }
  cr_assert_eq(rig.replies.back().code, ReplyCode::kDone);
  const bool reported = *row.line != 0;
  const std::string lines = recorded.Lines("acknowledged_commit_missing");
  cr_assert_eq(CountLines(lines), reported ? 1 : 0, "%s: %s", row.pattern,
               lines.c_str());
  cr_expect(Contains(lines, row.line), "%s", lines.c_str());
  cr_expect_eq(Contains(rig.metrics.Render(),
                        "jackdawturn_commits_missing_total{proven=\"yes\"} 1"),
               reported);
}

// The time from the arrival of a statement to its answer, which includes the
// wait behind an earlier statement of the session.
Test(gateway_request_trace, statement_time_counts_from_its_arrival) {
  GatewayRig rig;
  rig.group.answer_time = 100ms;
  const auto session = rig.Open("strict");
  rig.timers.Advance(10s);
  session->Handle(StatementOf(Kind::kWrite, "WRITE 1 x"));
  session->Handle(StatementOf(Kind::kWrite, "WRITE 2 y"));
  rig.timers.Advance(1s);
  cr_assert_eq(rig.replies.size(), 2U);
  // The first one also waits 1 ms for its connection.
  cr_expect(Contains(rig.metrics.Render(),
                     "jackdawturn_statement_seconds_sum{code=\"done\"} 0.302"),
            "%s", rig.metrics.Render().c_str());
}

}  // namespace jackdawturn::gateway
