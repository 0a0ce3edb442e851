#include <string>
#include <vector>

#include "gateway/fake_group.h"
#include "gateway/recorded_log.h"

#include "support/table_test.h"

namespace jackdawturn::gateway {

namespace {

using namespace std::chrono_literals;  // NOLINT(google-build-using-namespace)

const GroupName kLoans("loans");

// Something that a proxy learns.
struct Step {
  enum class Kind { kNone, kPassedOn, kSeen, kFailover, kSwitchover, kEnded };
  Kind kind = Kind::kNone;
  // A commit, what was seen, or what the promoted instance had received.
  CommitPosition position;
  // kEnded: 0 if it is not known.
  uint64_t promoted_term = 0;
};
using StepKind = Step::Kind;

PrimaryChangeRecord RecordOf(const Step& step) {
  PrimaryChangeRecord record{
      .claimant = VmName("other"), .attempt = "1", .term = 1};
  if (step.kind == StepKind::kSwitchover)
    record.candidate = InstanceName("a");
  if (step.kind == StepKind::kEnded) {
    record.ended = true;
    record.promoted = InstanceName("a");
    record.promoted_term = step.promoted_term;
    record.received = step.position;
  }
  return record;
}

std::vector<MissingCommit> Learn(AcknowledgedPositions& positions,
                                 const Step& step) {
  switch (step.kind) {
    case StepKind::kNone:
      return {};
    case StepKind::kPassedOn:
      return positions.PassedOn(kLoans, step.position);
    case StepKind::kSeen:
      return positions.SeenAtPrimary(kLoans, step.position);
    default:
      return positions.ChangeRecorded(kLoans, RecordOf(step));
  }
}

}  // namespace

// What proves, and what only suggests, that a commit which a client was told of
// is lost.
struct MissingCase {
  const char* pattern;
  Step steps[5];
  // Each report as ACKNOWLEDGED<EVIDENCE, followed by ? unless it is proven.
  const char* reports;
};

static const MissingCase kMissing[] = {
    {"one primary",
     {{StepKind::kPassedOn, {1, 11}}, {StepKind::kSeen, {1, 10}}},
     ""},
    {"a failover loses the commit",
     {{StepKind::kPassedOn, {1, 11}},
      {StepKind::kFailover},
      {StepKind::kEnded, {1, 10}, 2},
      {StepKind::kEnded, {1, 10}, 2}},
     "1.11<1.10 "},
    {"a failover keeps the commit",
     {{StepKind::kPassedOn, {1, 11}},
      {StepKind::kFailover},
      {StepKind::kEnded, {1, 11}, 2}},
     ""},
    {"the old primary stays",
     {{StepKind::kPassedOn, {2, 11}},
      {StepKind::kFailover},
      {StepKind::kEnded, {1, 10}, 2}},
     ""},
    {"an old primary acknowledges after the end",
     {{StepKind::kFailover},
      {StepKind::kEnded, {1, 10}, 2},
      {StepKind::kPassedOn, {1, 11}}},
     "1.11<1.10 "},
    // The successor received more before it was promoted.
    {"a switchover",
     {{StepKind::kPassedOn, {1, 11}},
      {StepKind::kSwitchover},
      {StepKind::kEnded, {1, 10}, 2}},
     "1.11<1.10? "},
    {"a switchover and a commit in its place",
     {{StepKind::kPassedOn, {1, 11}},
      {StepKind::kSwitchover},
      {StepKind::kEnded, {1, 10}, 2},
      {StepKind::kPassedOn, {2, 11}}},
     "1.11<1.10? 1.11<2.11 "},
    {"the claim was not seen",
     {{StepKind::kPassedOn, {1, 11}}, {StepKind::kEnded, {1, 10}, 2}},
     "1.11<1.10? "},
    {"the new term is not known",
     {{StepKind::kPassedOn, {1, 11}},
      {StepKind::kFailover},
      {StepKind::kEnded, {1, 10}, 0}},
     "1.11<1.10? "},
    {"nothing is known of the new primary",
     {{StepKind::kPassedOn, {1, 11}},
      {StepKind::kFailover},
      {StepKind::kEnded, {}, 2}},
     ""},
    {"a commit after it",
     {{StepKind::kPassedOn, {1, 11}}, {StepKind::kPassedOn, {2, 12}}},
     ""},
    {"a commit in its place, and a later one",
     {{StepKind::kPassedOn, {1, 11}},
      {StepKind::kPassedOn, {2, 11}},
      {StepKind::kPassedOn, {2, 12}}},
     "1.11<2.11 "},
    {"two terms later",
     {{StepKind::kPassedOn, {1, 11}}, {StepKind::kPassedOn, {3, 9}}},
     "1.11<3.9 "},
    // The commit with this number may be the acknowledged one.
    {"the same number is seen",
     {{StepKind::kPassedOn, {1, 11}}, {StepKind::kSeen, {2, 11}}},
     ""},
    {"a lower number is seen",
     {{StepKind::kPassedOn, {1, 11}}, {StepKind::kSeen, {2, 10}}},
     "1.11<2.10 "},
    {"seen before the old primary's answer",
     {{StepKind::kSeen, {2, 10}}, {StepKind::kPassedOn, {1, 11}}},
     "1.11<2.10 "},
};

TABLE_TEST(gateway_acknowledged_positions, reports_missing_commits, kMissing) {
  const MissingCase& row = kMissing[*row_index];
  AcknowledgedPositions positions;
  std::string reports;
  for (const Step& step : row.steps) {
    for (const MissingCommit& missing : Learn(positions, step))
      reports += ToString(missing.acknowledged) + "<" +
                 ToString(missing.evidence) + (missing.proven ? " " : "? ");
  }
  cr_assert_str_eq(reports.c_str(), row.reports, "%s: %s", row.pattern,
                   reports.c_str());
}

namespace {

// A store with one configuration and one primary, whose changes of the primary
// the test reports.
class ChangesStore : public FakeStore {
 public:
  using FakeStore::FakeStore;

  void List(RecordCollection collection,
            Duration,
            std::function<void(Result<RecordList>)> on_list) override {
    if (collection == RecordCollection::kConfiguration)
      on_list(RecordList{{{"main", 1, "1"}}, 1});
    else if (collection == RecordCollection::kServers)
      on_list(RecordList{{{"p", 1, "primary"}}, 1});
    else
      on_list(RecordList{{}, 1});
  }
  void Watch(RecordCollection collection,
             uint64_t,
             Duration,
             std::function<void(Result<RecordChanges>)> on_changes) override {
    if (collection == RecordCollection::kPrimaryChanges)
      report = std::move(on_changes);
  }

  void Report(uint64_t revision, const PrimaryChangeRecord& record) {
    cr_assert(report != nullptr);
    const auto on_changes = std::exchange(report, nullptr);
    on_changes(RecordChanges{
        {{{"loans", revision, EncodePrimaryChange(record)}}}, revision});
  }

  std::function<void(Result<RecordChanges>)> report;
};

}  // namespace

// A proxy that did not promote hears of the change through the store only.
Test(gateway_acknowledged_positions, record_of_another_proxy_is_compared) {
  RecordedLog recorded;
  VirtualTimers timers;
  FakeGroup group(timers);
  group.Add("p", ReplicationRole::kPrimary, 10);
  ChangesStore store(timers);
  MetricRegistry metrics;
  GatewayLog log(recorded.log(), metrics, VmName("vm"));
  const auto decode = [](const StoredRecord&) -> Result<GatewayConfig> {
    GatewayConfig config;
    config.version = 1;
    config.routes["db"] = {.database = "db",
                           .group = kLoans,
                           .statement_timeout = 800ms,
                           .target_latency = 200ms};
    config.groups[kLoans] = {.connections = 16};
    return config;
  };
  const auto decode_server =
      [&group](const StoredRecord&) -> Result<BackendServer> {
    return group.At("p").server;
  };
  GatewayHost host({.name = VmName("vm"), .zone = ZoneName("z"), .seed = 1},
                   {timers, store, group.Opener(), group.Promoter(), FakeStatus,
                    decode, decode_server},
                   log);
  host.Start();
  timers.Advance(1s);
  ReplyCode code = ReplyCode::kOther;
  const auto session =
      host.OpenSession("db", "",
                       [&code](const ClientReply& reply) { code = reply.code; })
          .value();
  session->Handle(StatementOf(ClientStatement::Kind::kWrite, "WRITE 1 x"));
  timers.Advance(50ms);
  cr_assert_eq(code, ReplyCode::kDone);
  store.Report(2, RecordOf({StepKind::kFailover}));
  timers.Advance(2s);
  store.Report(3, RecordOf({StepKind::kEnded, {1, 10}, 2}));
  const std::string lines = recorded.Lines("acknowledged_commit_missing");
  cr_expect_eq(CountLines(lines), 1, "%s", lines.c_str());
  cr_expect(Contains(lines, " peer=a") &&
                Contains(lines, " acknowledged=1.11 received=1.10"),
            "%s", lines.c_str());
  timers.Clear();
}

}  // namespace jackdawturn::gateway
