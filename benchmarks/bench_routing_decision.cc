// The cost of one routing decision: from RequestArrived to SendStatement, with
// 1, 100 and 20,000 groups of three instances. Requests go to all groups at
// random, or to a working set of 16 of them. The first includes the time to
// load the state of a group from memory; the second shows whether the decision
// itself depends on the number of groups.

#include <algorithm>
#include <chrono>
#include <iostream>
#include <memory>
#include <random>
#include <string>
#include <variant>
#include <vector>

#include "core/core.h"
#include "routing/routing.h"
#include "support/reports.h"

namespace jackdawturn::routing {
namespace {

constexpr size_t kDecisions = 20'000;
constexpr size_t kRounds = 9;
constexpr size_t kWorkingSet = 16;
constexpr double kMedianBound = 2.0;
// "Not growing", with room for the noise of a shared machine.
constexpr double kGrowthBound = 1.25;

class DecisionBench {
 public:
  explicit DecisionBench(size_t groups) : m_machine(Options(), 1) {
    for (size_t index = 0; index < groups; ++index) {
      m_names.emplace_back("group-" + std::to_string(index));
    }
    m_target = std::make_shared<const NamedClassTarget>(
        NamedClassTarget{ClassName("views"), std::chrono::seconds(60),
                         std::chrono::milliseconds(500), true});
    for (const GroupName& group : m_names) {
      Prepare(group);
      // The first read also begins the reports of the group.
      Answer(group, m_machine.Handle(Request(group), m_now));
    }
    m_sent = 0;
  }

  // Returns the median cost of the decisions for the first `groups` groups, in
  // microseconds. The clock stands almost still, so that the work is the same
  // for each number of groups.
  double Run(std::mt19937_64& random, size_t groups) {
    std::vector<double> costs;
    costs.reserve(kDecisions);
    for (size_t count = 0; count < kDecisions; ++count) {
      const GroupName& group = m_names[random() % groups];
      const RoutingEvent event = Request(group);
      const auto begin = std::chrono::steady_clock::now();
      const RoutingEffects effects = m_machine.Handle(event, m_now);
      const auto end = std::chrono::steady_clock::now();
      costs.push_back(
          std::chrono::duration<double, std::micro>(end - begin).count());
      Answer(group, effects);
    }
    return Median(std::move(costs));
  }

  size_t sent() const { return m_sent; }

 private:
  RoutingEvent Request(const GroupName& group) {
    RoutedRequest request;
    request.id =
        RequestId("018f0000-0000-7000-8000-" + std::to_string(++m_last));
    request.group = group;
    request.caller = CallerName("caller");
    request.target = m_target;
    request.deadline = m_now + std::chrono::seconds(1);
    return RequestArrived{std::move(request)};
  }

  static RoutingOptions Options() {
    RoutingOptions options;
    options.zone = ZoneName("z1");
    return options;
  }

  void Prepare(const GroupName& group) {
    GroupChanged changed;
    changed.group = group;
    changed.term = Term{1};
    changed.primary = InstanceName("i0");
    for (int index = 0; index < 3; ++index)
      changed.instances.push_back({InstanceName("i" + std::to_string(index)),
                                   ZoneName("z" + std::to_string(index)), false,
                                   4});
    Open(m_machine.Handle(changed, m_now));
    for (const auto& instance : changed.instances)
      m_machine.Handle(
          ReportArrived{group, instance.name, m_now, PoolConnectionId(),
                        InstanceReport{Term{1}, Term{1}, LogPosition{5},
                                       instance.name == changed.primary}},
          m_now);
  }

  void Open(const RoutingEffects& effects) {
    for (const RoutingEffect& effect : effects) {
      if (const auto* open = std::get_if<OpenConnection>(&effect))
        Open(m_machine.Handle(ConnectionOpened{open->group, open->connection},
                              m_now));
    }
  }

  void Answer(const GroupName& group, const RoutingEffects& effects) {
    Open(effects);
    for (const RoutingEffect& effect : effects) {
      const auto* sent = std::get_if<SendStatement>(&effect);
      if (sent == nullptr)
        continue;
      ++m_sent;
      m_now += Duration(1);
      Open(m_machine.Handle(
          StatementAnswered{group, sent->request, sent->connection,
                            StatementOutcome::kDone,
                            InstanceReport{Term{1}, Term{1}, LogPosition{5},
                                           sent->term.has_value()}},
          m_now));
    }
  }

  TimePoint m_now = TimePoint(std::chrono::seconds(1'000));
  RoutingMachine m_machine;
  std::vector<GroupName> m_names;
  std::shared_ptr<const NamedClassTarget> m_target;
  size_t m_sent = 0;
  uint64_t m_last = 0;
};

struct Size {
  explicit Size(size_t groups) : count(groups), bench(groups) {}

  size_t count;
  DecisionBench bench;
  std::vector<double> all;
  std::vector<double> working_set;
};

int Run() {
  BenchmarkReport report;
  std::mt19937_64 random(SeedFromEnvironment());
  std::vector<std::unique_ptr<Size>> sizes;
  for (const size_t groups : {1U, 100U, 20'000U})
    sizes.push_back(std::make_unique<Size>(groups));
  // The rounds alternate, so that other work on the machine hits all sizes.
  for (size_t round = 0; round < kRounds; ++round) {
    for (const auto& size : sizes) {
      size->all.push_back(size->bench.Run(random, size->count));
      size->working_set.push_back(
          size->bench.Run(random, std::min(size->count, kWorkingSet)));
    }
  }
  const double smallest = Median(sizes.front()->working_set);
  for (const auto& size : sizes) {
    const std::string name =
        "routing_decision_groups_" + std::to_string(size->count);
    const double all = Median(size->all);
    report.Add(name + "_median", all, BoundKind::kAtMost, kMedianBound, "us");
    report.AddUnbounded(name + "_to_one_group", all / smallest, "ratio");
    report.Add(name + "_working_set_to_one_group",
               Median(size->working_set) / smallest, BoundKind::kAtMost,
               kGrowthBound, "ratio");
    report.Add(name + "_sent", static_cast<double>(size->bench.sent()),
               BoundKind::kAtLeast, 2 * kRounds * kDecisions, "statements");
  }
  return report.exit_code();
}

}  // namespace
}  // namespace jackdawturn::routing

int main() {
  return jackdawturn::routing::Run();
}
