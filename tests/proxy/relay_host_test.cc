#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "proxy/proxy.h"
#include "proxy/relay_host.h"

#include "support/fake_relay_port.h"
#include "support/table_test.h"

namespace jackdawturn::proxy {

static constexpr size_t kQueueLimit = 2;
static const GroupName kGroup("g");

// One proxy: its RelayHost with a stand-in for the RequestHost.
class RelayNode {
 public:
  RelayNode(FakeRelayNetwork& network, const std::string& vm, size_t number)
      : m_options(OptionsOf(vm)),
        m_context(m_options),
        m_endpoint{"10.0.0." + std::to_string(number), 7400},
        m_host(m_context, m_options, HooksOf()) {
    m_context.SetNow(TimePoint());
    m_port = network.Open(m_endpoint, m_options.vm, [this](RelayEvent event) {
      std::visit([this](const auto& item) { m_host.On(item); }, event);
      Execute();
    });
  }

  void Ask(const CallerRequest& request) {
    m_host.On(
        CallerRequestReceived{CallerRequestNumber{++m_last_call}, request});
    Execute();
  }
  // Answers all requests that this proxy is serving.
  void Serve(CallerOutcome outcome) {
    for (const CallerRequestReceived& event : std::exchange(m_serving, {})) {
      CallerAnswer answer;
      answer.outcome = outcome;
      answer.value = m_options.vm.value();
      if (event.request.operation == CallerOperation::kBegin)
        answer.transaction = MakeTransactionId(m_options.vm, "abc");
      m_host.Answered(
          {event.call, answer, event.request.class_name, Duration(0), {}});
    }
    Execute();
  }
  void Execute() {
    for (Effect& effect : m_context.TakeEffects()) {
      if (auto* command = std::get_if<RelayCommand>(&effect))
        m_port->Send(std::move(*command));
      else if (auto* answer = std::get_if<AnswerCaller>(&effect))
        m_answers.push_back(answer->answer);
      else if (auto* append = std::get_if<AppendTimelineEvent>(&effect))
        m_failures += append->event.kind == EventKind::kAnswer ? 1 : 0;
    }
  }

  std::string address() const { return m_endpoint.ToString(); }

  // The holders of the group in the view of this proxy.
  std::vector<std::string> m_holders;
  std::map<VmName, std::string> m_addresses;
  bool m_draining = false;
  std::optional<VmName> m_learned;
  std::vector<CallerRequestReceived> m_serving;
  std::vector<CallerAnswer> m_answers;
  // Number of events of requests that were not done.
  size_t m_failures = 0;
  ProxyContext& context() { return m_context; }

 private:
  static ProxyOptions OptionsOf(const std::string& vm) {
    ProxyOptions options;
    options.vm = VmName(vm);
    return options;
  }
  bool Holds() const {
    return std::count(m_holders.begin(), m_holders.end(),
                      m_options.vm.value()) != 0;
  }
  RelayHost::Hooks HooksOf() {
    return {
        [] { return true; },
        [this] { return m_draining; },
        [](const GroupName& group) { return group == kGroup; },
        [this](const GroupName&) { return !Holds(); },
        [this](const GroupName&, uint64_t spread) -> Result<fleet::NextHop> {
          if (m_holders.empty())
            return Failure(ErrorCode::kUnavailable, "test", "", "");
          return fleet::NextHop{VmName(m_holders[spread % m_holders.size()]),
                                true};
        },
        [this](const VmName& vm) -> std::optional<std::string> {
          const auto found = m_addresses.find(vm);
          if (found == m_addresses.end())
            return std::nullopt;
          return found->second;
        },
        [this](const GroupName&, const VmName& vm) { m_learned = vm; },
        [this](const CallerRequestReceived& event) {
          m_serving.push_back(event);
        },
        [] {}};
  }

  const ProxyOptions m_options;
  ProxyContext m_context;
  const Endpoint m_endpoint;
  RelayHost m_host;
  std::unique_ptr<RelayPort> m_port;
  uint64_t m_last_call = 0;
};

// `entry` holds no group and relays to `first` and `second`.
struct RelayRig {
  RelayRig() {
    for (RelayNode* node : {&entry, &first, &second}) {
      node->m_holders = {"second", "first"};
      node->m_addresses = {{VmName("entry"), entry.address()},
                           {VmName("first"), first.address()},
                           {VmName("second"), second.address()}};
    }
  }
  // Returns the only answer that the caller received. Checks that a failure has
  // exactly one event.
  const CallerAnswer& Answer() const {
    cr_assert(entry.m_answers.size() == 1);
    const CallerAnswer& answer = entry.m_answers.front();
    cr_assert_eq(entry.m_failures,
                 answer.outcome == CallerOutcome::kDone ? 0U : 1U);
    return answer;
  }

  FakeRelayNetwork network{kQueueLimit};
  RelayNode entry{network, "entry", 1};
  RelayNode first{network, "first", 2};
  RelayNode second{network, "second", 3};
};

static CallerRequest RequestOf(CallerOperation operation) {
  CallerRequest request;
  request.operation = operation;
  request.group = kGroup;
  request.class_name = ClassName("c");
  request.request = RequestId("r");
  request.statement = "s";
  request.digest = 7;
  return request;
}

static const CallerOperation kOperations[] = {
    CallerOperation::kRead, CallerOperation::kWrite, CallerOperation::kBegin,
    CallerOperation::kOutcome};

// Guards against a request that is served by a proxy without connections or by
// two proxies, and against a relayed request whose deadline does not shrink.
TABLE_TEST(relay_host, request_reaches_one_holder, kOperations) {
  RelayRig rig;
  CallerRequest request = RequestOf(kOperations[*row_index]);
  request.token = "token";
  request.deadline = std::chrono::milliseconds(100);
  rig.entry.Ask(request);
  rig.network.Step();
  cr_assert(rig.entry.m_serving.empty());
  cr_assert(rig.second.m_serving.empty());
  cr_assert(rig.first.m_serving.size() == 1);
  const CallerRequest& received = rig.first.m_serving[0].request;
  cr_assert(received.operation == request.operation);
  cr_assert(received.statement == "s" && received.token == "token");
  cr_assert(received.deadline > Duration(0));
  cr_assert(received.deadline < request.deadline);
  rig.first.Serve(CallerOutcome::kDone);
  rig.network.Step();
  cr_assert(rig.Answer().outcome == CallerOutcome::kDone);
  cr_assert(rig.Answer().value == "first");
}

struct LossCase {
  const char* name;
  CallerOperation operation;
  // True if the holder crashes; false if only its answer arrives too late.
  bool dies;
  // True if the request reached the holder.
  bool written;
  // The operation sent to the second holder; empty if it receives no request.
  std::optional<CallerOperation> asked;
  // The answer of the second holder, and the outcome that the caller receives.
  CallerOutcome second_answer;
  CallerOutcome outcome;
};

using enum CallerOperation;
using enum CallerOutcome;
static const LossCase kLossCases[] = {
    {"read, not written", kRead, true, false, kRead, kDone, kDone},
    {"write, not written", kWrite, true, false, kWrite, kDone, kDone},
    {"begin, not written", kBegin, true, false, kBegin, kDone, kDone},
    {"read, dead", kRead, true, true, kRead, kDone, kDone},
    {"read, late", kRead, false, true, kRead, kDone, kDone},
    {"outcome, dead", kOutcome, true, true, kOutcome, kNotRun, kNotRun},
    {"write, dead, done", kWrite, true, true, kOutcome, kDone, kDone},
    {"write, dead, not run", kWrite, true, true, kOutcome, kNotRun, kNotRun},
    {"write, late, done", kWrite, false, true, kOutcome, kDone, kDone},
    {"write, dead, unknown", kWrite, true, true, kOutcome, kUnknown, kUnknown},
    {"write, query invalid", kWrite, true, true, kOutcome, kInvalid, kUnknown},
    {"begin, dead", kBegin, true, true, {}, kDone, kNotRun},
};

// Guards against a write that runs twice, against `not_run` for a write that
// ran, and against `unknown` where another holder can determine the outcome.
TABLE_TEST(relay_host, lost_holder_leaves_truthful_outcome, kLossCases) {
  const LossCase& row = kLossCases[*row_index];
  RelayRig rig;
  rig.entry.Ask(RequestOf(row.operation));
  if (row.written) {
    rig.network.Step();
    cr_assert(rig.first.m_serving.size() == 1, "%s", row.name);
  }
  if (row.dies)
    rig.network.Kill(rig.first.address());
  else
    rig.network.TimeOut();
  rig.network.Step();
  cr_assert(rig.second.m_serving.size() == (row.asked ? 1 : 0), "%s", row.name);
  if (row.asked) {
    const CallerRequest& asked = rig.second.m_serving[0].request;
    cr_assert(asked.operation == *row.asked, "%s", row.name);
    cr_assert(asked.request == RequestId("r") && asked.digest == 7, "%s",
              row.name);
  }
  rig.second.Serve(row.second_answer);
  // The late answer of the first holder must be ignored.
  rig.first.Serve(kDone);
  rig.network.Step();
  cr_assert(rig.Answer().outcome == row.outcome, "%s", row.name);
  cr_assert(row.outcome != kUnknown || rig.Answer().digest == 7, "%s",
            row.name);
}

struct StepCase {
  const char* name;
  CallerOperation operation;
  bool written;
  std::optional<uint64_t> digest;
  bool asked;
  CallerOutcome outcome;
};

static const StepCase kStepCases[] = {
    {"statement not written", kStatement, false, {}, false, kNotRun},
    {"statement lost", kStatement, true, {}, false, kUnknown},
    {"rollback lost", kRollback, true, {}, false, kUnknown},
    {"commit not written", kCommit, false, 9, false, kUnknown},
    {"commit lost", kCommit, true, 9, true, kDone},
    {"commit lost without digest", kCommit, true, {}, false, kUnknown},
};

// Guards against a step that is sent to a VM that does not hold the
// transaction, and against `not_run` for a step that may have run.
TABLE_TEST(relay_host, step_goes_to_the_transactions_vm, kStepCases) {
  const StepCase& row = kStepCases[*row_index];
  RelayRig rig;
  // The begin is relayed by `entry`, which stores the group and class, because
  // a commit does not contain them.
  rig.entry.Ask(RequestOf(kBegin));
  rig.network.Step();
  rig.first.Serve(kDone);
  rig.network.Step();
  CallerRequest step;
  step.operation = row.operation;
  step.transaction = rig.Answer().transaction;
  step.request = RequestId("r");
  step.transaction_digest = row.digest;
  rig.entry.m_answers.clear();
  // The VM is no longer a holder of the group, but still holds the transaction.
  rig.first.m_holders = {"second"};
  rig.entry.Ask(step);
  if (row.written) {
    rig.network.Step();
    cr_assert(rig.first.m_serving.size() == 1, "%s", row.name);
    cr_assert(rig.first.m_serving[0].request.transaction == step.transaction);
  }
  rig.network.Kill(rig.first.address());
  rig.network.Step();
  cr_assert(rig.second.m_serving.size() == (row.asked ? 1 : 0), "%s", row.name);
  if (row.asked)
    cr_assert(rig.second.m_serving[0].request.digest == 9, "%s", row.name);
  rig.second.Serve(kDone);
  rig.network.Step();
  cr_assert(rig.Answer().outcome == row.outcome, "%s", row.name);
}

// Guards against a second hop, and against a relay that keeps sending requests
// to a proxy that does not hold the group.
Test(relay_host, wrong_holder_names_the_right_one) {
  RelayRig rig;
  rig.entry.m_holders = {"first"};
  rig.first.m_holders = {"second"};
  rig.second.m_holders = {"second"};
  // The second holder is in another zone; only `first` has its address.
  rig.entry.m_addresses.erase(VmName("second"));
  rig.entry.Ask(RequestOf(kWrite));
  rig.network.Step();
  cr_assert(rig.first.m_serving.empty());
  rig.network.Step();
  cr_assert(rig.entry.m_learned == VmName("second"));
  cr_assert(rig.second.m_serving.size() == 1);
  cr_assert(rig.second.m_serving[0].request.operation == kWrite);
  rig.second.Serve(kDone);
  rig.network.Step();
  cr_assert(rig.Answer().outcome == kDone);
}

// Guards against a draining holder that loses an answer, or accepts a new
// transaction that it would have to abort.
Test(relay_host, draining_holder_ends_its_work) {
  RelayRig rig;
  rig.entry.Ask(RequestOf(kWrite));
  rig.network.Step();
  rig.first.m_draining = true;
  rig.first.m_holders = {"second"};
  // Goes to `second`, because successive requests rotate over the holders.
  rig.entry.Ask(RequestOf(kWrite));
  rig.entry.Ask(RequestOf(kBegin));  // Goes to `first`, which refuses it.
  rig.network.Step();
  rig.network.Step();
  cr_assert(rig.first.m_serving.size() == 1);
  cr_assert(rig.second.m_serving.size() == 2);
  rig.first.Serve(kDone);
  rig.second.Serve(kDone);
  rig.network.Step();
  cr_assert(rig.entry.m_answers.size() == 3);
  for (const CallerAnswer& answer : rig.entry.m_answers)
    cr_assert(answer.outcome == kDone);
}

struct FullCase {
  CallerOperation operation;
  bool retry;
  CallerOutcome outcome;
};

static const FullCase kFullCases[] = {{kRead, false, kNotRun},
                                      {kWrite, false, kNotRun},
                                      {kWrite, true, kUnknown},
                                      {kOutcome, false, kUnknown}};

// Guards against a request that waits without bound for a full queue, and
// against `not_run` for one that an earlier submission may have run.
TABLE_TEST(relay_host, full_queues_refuse, kFullCases) {
  const FullCase& row = kFullCases[*row_index];
  RelayRig rig;
  for (size_t index = 0; index < 2 * kQueueLimit; ++index)
    rig.entry.Ask(RequestOf(kRead));
  cr_assert(rig.entry.m_answers.empty());
  CallerRequest request = RequestOf(row.operation);
  request.retry = row.retry;
  rig.entry.Ask(request);
  cr_assert(rig.Answer().outcome == row.outcome);
  cr_assert(rig.Answer().reason == "overloaded");
}

// Guards against a relay when the proxy holds the group itself, and against a
// request that is never answered when no holder is known.
Test(relay_host, holder_serves_and_lone_proxy_refuses) {
  RelayRig rig;
  rig.first.Ask(RequestOf(kWrite));
  cr_assert(rig.first.m_serving.size() == 1);
  rig.entry.m_holders.clear();
  rig.entry.Ask(RequestOf(kWrite));
  cr_assert(rig.Answer().outcome == kNotRun);
  cr_assert(rig.Answer().reason == "no_holder");
}

// Guards against a further attempt after the deadline of the request.
Test(relay_host, deadline_ends_the_attempts) {
  RelayRig rig;
  CallerRequest request = RequestOf(kRead);
  request.deadline = std::chrono::milliseconds(100);
  rig.entry.Ask(request);
  rig.network.Step();
  rig.entry.context().SetNow(TimePoint() + std::chrono::milliseconds(100));
  rig.network.Kill(rig.first.address());
  rig.network.Step();
  cr_assert(rig.second.m_serving.empty());
  cr_assert(rig.Answer().outcome == kNotRun);
}

}  // namespace jackdawturn::proxy
