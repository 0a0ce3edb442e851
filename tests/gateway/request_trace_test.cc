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

}  // namespace jackdawturn::gateway
