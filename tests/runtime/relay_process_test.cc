#include <chrono>
#include <string>

#include "support/relay_world.h"
#include "support/table_test.h"

namespace jackdawturn {

static CallerAnswer Ask(const ProxyProcess& proxy,
                        const CallerRequest& request) {
  const auto answer = RelayWorld::Ask(proxy, request);
  cr_assert(answer.has_value());
  return answer.value();
}

static CallerRequest Write(uint64_t number) {
  return RelayWorld::Write(number, "add k 5");
}

static CallerRequest Read(const std::string& token) {
  CallerRequest read = RelayWorld::Request(CallerOperation::kRead);
  read.statement = "get k";
  read.token = token;
  return read;
}

// Guards against a relay that works only inside the decision part: a session
// must read its write at the holder and through the relay, and the steps of a
// transaction must reach it from both proxies.
Test(relay_process, requests_and_transactions_cross_the_relay) {
  RelayWorld world;
  const CallerAnswer written = Ask(world.other(), Write(1));
  cr_assert(written.outcome == CallerOutcome::kDone);
  cr_assert(Ask(world.holder(), Read(written.token)).value == "5");
  cr_assert(Ask(world.other(), Read(written.token)).value == "5");

  const CallerAnswer begun =
      Ask(world.other(), RelayWorld::Request(CallerOperation::kBegin));
  cr_assert(begun.outcome == CallerOutcome::kDone);
  CallerRequest step;
  step.deadline = RelayWorld::kTimeout;
  step.operation = CallerOperation::kStatement;
  step.transaction = begun.transaction;
  step.statement = "add k 1";
  cr_assert(Ask(world.holder(), step).outcome == CallerOutcome::kDone);
  const CallerAnswer second = Ask(world.other(), step);
  cr_assert(second.outcome == CallerOutcome::kDone);
  step.operation = CallerOperation::kCommit;
  step.statement.clear();
  step.request = Write(2).request;
  step.transaction_digest = second.digest;
  const CallerAnswer committed = Ask(world.other(), step);
  cr_assert(committed.outcome == CallerOutcome::kDone);
  cr_assert(Ask(world.other(), Read(committed.token)).value == "7");
}

}  // namespace jackdawturn
