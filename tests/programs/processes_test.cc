#include <signal.h>

#include <chrono>
#include <string>
#include <thread>

#include "programs/process_fleet.h"

namespace jackdawturn {

// Guards against a whole path that works only inside one process: a write on
// one proxy must be read by its session on another one, and runs once.
Test(processes, session_reads_its_write_on_another_proxy) {
  const Fleet fleet = StartFleet();
  const CallerAnswer written = AskUntilServed(*fleet.proxies[0], Write(1));
  cr_assert_eq(written.outcome, CallerOutcome::kDone);
  const CallerAnswer seen =
      AskUntilServed(*fleet.proxies[1], Read(written.token));
  cr_assert(seen.value == "5");

  CallerRequest again = Write(1);
  again.retry = true;
  cr_assert_eq(AskUntilServed(*fleet.proxies[1], again).outcome,
               CallerOutcome::kDone);
  cr_assert(AskUntilServed(*fleet.proxies[1], Read(written.token)).value ==
            "5");
}

// Guards against a caller that takes its reused id for a wrong statement, and
// against work that runs under an id of other work.
Test(processes, reused_id_has_its_own_answer) {
  const Fleet fleet = StartFleet();
  cr_assert_eq(AskUntilServed(*fleet.proxies[0], Write(1)).outcome,
               CallerOutcome::kDone);
  CallerRequest other = Write(1);
  other.statement = "add k 7";
  AskUntilServed(*fleet.proxies[1], Read(""));
  for (const auto& proxy : fleet.proxies) {
    const auto response =
        SendAndWait(proxy->endpoint(), "POST", TargetOf(other.operation),
                    EncodeRequest(other), "", kTimeout);
    cr_assert(response.has_value());
    cr_assert_eq(response.value().status, kHttpConflict);
    const CallerAnswer answer = DecodeAnswer(response.value()).value();
    cr_assert_eq(answer.outcome, CallerOutcome::kInvalid);
    cr_assert_str_eq(answer.reason.c_str(), "id_reused");
  }
}

struct PrimaryFault {
  const char* name;
  // Sent to the process of the primary; 0 makes it accept requests and never
  // answer.
  int signal;
};

static const PrimaryFault kPrimaryFaults[] = {{"killed", SIGKILL},
                                              {"paused", SIGSTOP},
                                              {"silenced", 0}};

// Guards against a failover that loses or doubles an acknowledged write, and
// against a paused primary that answers again after it was replaced.
TABLE_TEST(processes, failover_keeps_every_write, kPrimaryFaults) {
  const PrimaryFault& fault = kPrimaryFaults[*row_index];
  const Fleet fleet = StartFleet();
  CallerAnswer written = AskUntilServed(*fleet.proxies[0], Write(1));
  cr_assert_eq(written.outcome, CallerOutcome::kDone);
  if (fault.signal != 0)
    fleet.instances[0]->Signal(fault.signal);
  else
    Control(*fleet.instances[0], "/fault", R"({"silent":true})");
  // A refusal is final for its id, so the caller goes on with a new one.
  constexpr uint64_t kLastNumber = 6'000;
  uint64_t number = 2;
  written = WriteToTheEnd(*fleet.proxies[1], Write(number));
  while (written.outcome == CallerOutcome::kNotRun && number < kLastNumber) {
    std::this_thread::sleep_for(std::chrono::milliseconds(10));
    written = WriteToTheEnd(*fleet.proxies[1], Write(++number));
  }
  cr_assert_eq(written.outcome, CallerOutcome::kDone, "%s", fault.name);
  if (fault.signal == SIGSTOP)
    fleet.instances[0]->Signal(SIGCONT);
  if (fault.signal == 0)
    Control(*fleet.instances[0], "/fault", R"({"silent":false})");
  for (const auto& proxy : fleet.proxies)
    cr_assert(AskUntilServed(*proxy, Read(written.token)).value == "10");
}

// Guards against a graceful shutdown that does not end, or ends as a failure.
Test(processes, terminated_proxy_drains_and_exits) {
  const Fleet fleet = StartFleet();
  cr_assert_eq(AskUntilServed(*fleet.proxies[0], Write(1)).outcome,
               CallerOutcome::kDone);
  fleet.proxies[0]->Signal(SIGTERM);
  cr_assert_eq(fleet.proxies[0]->Wait(), 0);
}

}  // namespace jackdawturn
