#include <signal.h>

#include <optional>
#include <string>
#include <thread>

#include "programs/process_fleet.h"

namespace jackdawturn {

static CallerRequest Step(CallerOperation operation,
                          const CallerAnswer& last = {}) {
  CallerRequest step;
  step.operation = operation;
  step.transaction = last.transaction;
  step.deadline = kTimeout;
  return step;
}

static CallerAnswer Begin(const ChildProcess& proxy) {
  CallerRequest begin = Write(0);
  begin.operation = CallerOperation::kBegin;
  const CallerAnswer begun = AskUntilServed(proxy, begin);
  cr_assert_eq(begun.outcome, CallerOutcome::kDone);
  return begun;
}

static CallerAnswer Run(const ChildProcess& proxy,
                        const CallerAnswer& last,
                        const std::string& statement) {
  CallerRequest step = Step(CallerOperation::kStatement, last);
  step.statement = statement;
  const CallerAnswer ran = Ask(proxy, step);
  cr_assert_eq(ran.outcome, CallerOutcome::kDone);
  return ran;
}

static CallerRequest Commit(const CallerAnswer& last, uint64_t number) {
  CallerRequest commit = Step(CallerOperation::kCommit, last);
  commit.request = Write(number).request;
  commit.transaction_digest = last.digest;
  return commit;
}

// Asks for the outcome of a commit until it is final.
static CallerAnswer OutcomeOf(const ChildProcess& proxy,
                              const CallerRequest& commit) {
  CallerRequest question = Write(0);
  question.operation = CallerOperation::kOutcome;
  question.statement.clear();
  question.request = commit.request;
  question.digest = *commit.transaction_digest;
  // A caller may ask with the body of its commit; the member has no meaning.
  question.transaction = commit.transaction;
  return WriteToTheEnd(proxy, question);
}

// The value of the key that the statements change, read fresh.
static std::string Stored(const ChildProcess& proxy) {
  CallerRequest read = Read("");
  read.class_name = ClassName("counts");
  const CallerAnswer answer = AskUntilServed(proxy, read);
  cr_assert_eq(answer.outcome, CallerOutcome::kDone);
  return answer.value.value_or("");
}

static uint64_t PositionOf(const ChildProcess& instance) {
  const BackendRequest report = ReportCall{};
  const auto response =
      SendAndWait(instance.endpoint(), "POST", TargetOf(report),
                  EncodeRequest(report), "", kTimeout);
  cr_assert(response.has_value());
  const auto decoded = DecodeResponse(report, response.value(), "");
  cr_assert(decoded.has_value());
  return std::get<InstanceReport>(decoded.value()).position.value;
}

// Guards against the effects of a transaction whose proxy died before the
// commit, and against a commit elsewhere that is answered without a look at the
// ledger.
Test(transactions, proxy_killed_before_the_commit_leaves_nothing) {
  const Fleet fleet = StartFleet();
  const CallerAnswer last =
      Run(*fleet.proxies[0], Begin(*fleet.proxies[0]), "add k 5");
  fleet.proxies[0]->Signal(SIGKILL);
  const CallerRequest commit = Commit(last, 1);
  const CallerAnswer elsewhere = Ask(*fleet.proxies[1], commit);
  cr_assert_eq(elsewhere.outcome, CallerOutcome::kUnknown);
  cr_assert(elsewhere.digest == last.digest);
  cr_assert_eq(OutcomeOf(*fleet.proxies[1], commit).outcome,
               CallerOutcome::kNotRun);
  cr_assert_str_eq(Stored(*fleet.proxies[1]).c_str(), "");
}

// Guards against a commit that took effect and is reported as not run, or runs
// again, when its proxy dies before the answer. No replica can confirm it until
// the proxy is dead, so that the answer never leaves the proxy.
Test(transactions, commit_with_a_lost_answer_is_found) {
  const Fleet fleet = StartFleet();
  const CallerAnswer last =
      Run(*fleet.proxies[0], Begin(*fleet.proxies[0]), "add k 5");
  fleet.instances[1]->Signal(SIGSTOP);
  fleet.instances[2]->Signal(SIGSTOP);
  const uint64_t before = PositionOf(*fleet.instances[0]);
  const CallerRequest commit = Commit(last, 1);
  std::thread caller([&] {
    const auto response = SendAndWait(fleet.proxies[0]->endpoint(), "POST",
                                      TargetOf(commit.operation),
                                      EncodeRequest(commit), "", kTimeout);
    cr_assert(response.has_error());
  });
  while (PositionOf(*fleet.instances[0]) == before)
    std::this_thread::sleep_for(std::chrono::milliseconds(10));
  fleet.proxies[0]->Signal(SIGKILL);
  caller.join();
  fleet.instances[1]->Signal(SIGCONT);
  fleet.instances[2]->Signal(SIGCONT);
  cr_assert_eq(OutcomeOf(*fleet.proxies[1], commit).outcome,
               CallerOutcome::kDone);
  cr_assert_str_eq(Stored(*fleet.proxies[1]).c_str(), "5");
}

// Guards against a repeated commit that is refused as not run although the
// first one took effect, or that takes effect twice.
Test(transactions, commit_repeated_elsewhere_runs_once) {
  const Fleet fleet = StartFleet();
  const CallerAnswer last =
      Run(*fleet.proxies[0], Begin(*fleet.proxies[0]), "add k 5");
  const CallerRequest commit = Commit(last, 1);
  cr_assert_eq(Ask(*fleet.proxies[0], commit).outcome, CallerOutcome::kDone);
  for (const auto& proxy : fleet.proxies) {
    cr_assert_eq(Ask(*proxy, commit).outcome, CallerOutcome::kUnknown);
    cr_assert_eq(OutcomeOf(*proxy, commit).outcome, CallerOutcome::kDone);
  }
  cr_assert_str_eq(Stored(*fleet.proxies[1]).c_str(), "5");
}

// Guards against a transaction that stays open, and can be committed, after its
// caller left while a statement was in progress.
Test(transactions, caller_gone_during_a_statement_ends_its_transaction) {
  const Fleet fleet = StartFleet();
  const CallerAnswer last =
      Run(*fleet.proxies[0], Begin(*fleet.proxies[0]), "add k 5");
  CallerRequest step = Step(CallerOperation::kStatement, last);
  step.statement = "add k 1";
  constexpr Duration kPatience = std::chrono::milliseconds(50);
  fleet.instances[0]->Signal(SIGSTOP);
  cr_assert(SendAndWait(fleet.proxies[0]->endpoint(), "POST",
                        TargetOf(step.operation), EncodeRequest(step), "",
                        kPatience)
                .has_error());
  fleet.instances[0]->Signal(SIGCONT);
  const CallerRequest commit = Commit(last, 1);
  const CallerAnswer late = Ask(*fleet.proxies[0], commit);
  cr_assert(late.outcome != CallerOutcome::kDone);
  cr_assert_eq(OutcomeOf(*fleet.proxies[1], commit).outcome,
               CallerOutcome::kNotRun);
  cr_assert_str_eq(Stored(*fleet.proxies[1]).c_str(), "");
}

// Guards against statements of two transactions that run in one of them.
Test(transactions, statements_of_two_transactions_do_not_mix) {
  const Fleet fleet = StartFleet();
  const ChildProcess& proxy = *fleet.proxies[0];
  const CallerAnswer first = Begin(proxy);
  const CallerAnswer second = Begin(proxy);
  cr_assert(first.transaction != second.transaction);
  cr_assert(Run(proxy, first, "add k 5").value == "5");
  const CallerAnswer last = Run(proxy, second, "add k 7");
  cr_assert(last.value == "7");
  cr_assert(Run(proxy, first, "add k 5").value == "10");
  cr_assert_eq(Ask(proxy, Step(CallerOperation::kRollback, first)).outcome,
               CallerOutcome::kDone);
  cr_assert_eq(Ask(proxy, Commit(last, 1)).outcome, CallerOutcome::kDone);
  cr_assert_str_eq(Stored(proxy).c_str(), "7");
}

}  // namespace jackdawturn
