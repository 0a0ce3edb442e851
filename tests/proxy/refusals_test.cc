#include <optional>
#include <string>
#include <variant>

#include "proxy/proxy.h"

#include "support/table_test.h"

namespace jackdawturn::proxy {

// Starts a proxy that has no targets yet and therefore refuses all requests.
static std::unique_ptr<ProxyMachine> StartProxyWithoutTargets() {
  ProxyOptions options;
  options.vm = VmName("entry-1");
  options.zone = ZoneName("zone-a");
  options.gossip_address = fleet::PeerAddress("127.0.0.1:7400");
  options.groups = {{GroupName("g1"), {{InstanceName("i1"), options.zone}}}};
  options.fleet_keys = {"fleet-key-for-tests-0123456789abcd"};
  options.token_keys.secrets = {{0, "token-key-for-tests-0123456789abcd"}};
  auto machine = ProxyMachine::Create(options);
  cr_assert(machine.has_value());
  machine.value()->Start(TimePoint());
  return std::move(machine).value();
}

static std::optional<CallerAnswer> AnswerTo(const CallerRequest& request) {
  const auto machine = StartProxyWithoutTargets();
  for (const Effect& effect :
       machine->Handle(CallerRequestReceived{CallerRequestNumber{1}, request},
                       TimePoint())) {
    if (const auto* answer = std::get_if<AnswerCaller>(&effect))
      return answer->answer;
  }
  return std::nullopt;
}

struct RefusalCase {
  const char* name;
  CallerOperation operation;
  bool retry;
  CallerOutcome outcome;
};

static const RefusalCase kRefusalCases[] = {
    {"read", CallerOperation::kRead, false, CallerOutcome::kNotRun},
    {"first write", CallerOperation::kWrite, false, CallerOutcome::kNotRun},
    {"retried write", CallerOperation::kWrite, true, CallerOutcome::kUnknown},
    {"begin", CallerOperation::kBegin, false, CallerOutcome::kNotRun},
    {"outcome query", CallerOperation::kOutcome, false,
     CallerOutcome::kUnknown},
};

// Guards against `not_run` for a request that an earlier submission may have
// run: the caller would treat it as refused although its effect is in the
// database.
TABLE_TEST(proxy, refusal_is_truthful, kRefusalCases) {
  const RefusalCase& row = kRefusalCases[*row_index];
  CallerRequest request;
  request.operation = row.operation;
  request.retry = row.retry;
  request.group = GroupName("g1");
  request.class_name = ClassName("counts");
  request.digest = 7;
  const auto answer = AnswerTo(request);
  cr_assert(answer.has_value(), "%s", row.name);
  cr_assert(answer->outcome == row.outcome, "%s", row.name);
  cr_assert(answer->outcome == CallerOutcome::kNotRun || answer->digest == 7,
            "%s", row.name);
}

struct CommitCase {
  const char* name;
  std::optional<uint64_t> digest;
};

static const CommitCase kCommitCases[] = {{"with digest", 11},
                                          {"without digest", {}}};

// Guards against a definite outcome for a commit on a proxy that does not hold
// the transaction: the commit may repeat one that took effect, and a digest
// that differs from the ledger entry would make the later outcome query fail.
TABLE_TEST(proxy, commit_elsewhere_leaves_outcome_open, kCommitCases) {
  const CommitCase& row = kCommitCases[*row_index];
  CallerRequest request;
  request.operation = CallerOperation::kCommit;
  request.transaction = TransactionId("t1");
  request.digest = 7;
  request.transaction_digest = row.digest;
  const auto answer = AnswerTo(request);
  cr_assert(answer.has_value(), "%s", row.name);
  cr_assert(answer->outcome == CallerOutcome::kUnknown, "%s", row.name);
  cr_assert(answer->digest == row.digest, "%s", row.name);
}

}  // namespace jackdawturn::proxy
