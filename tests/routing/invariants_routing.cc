// Randomized fault injection tests of the routing on a virtual clock. The
// checker sees only requests, answers and the true history of the database.
// SEED= repeats a table; a failed run prints its seed and its number.

#include <algorithm>
#include <cstdlib>
#include <functional>
#include <iostream>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "routing/routing_world.h"
#include "support/reports.h"

namespace jackdawturn::routing {
namespace {

constexpr uint64_t kRuns = 3'000;
constexpr uint64_t kMutantRuns = 400;
constexpr Duration kRunTime{400'000};
constexpr Duration kSettleTime{310'000};
constexpr size_t kQueueCapacity = 8;
constexpr size_t kMaxInProgress = 40;

constexpr const char* kPromises[] = {
    "session_reads_its_writes", "read_within_allowed_age",
    "no_new_work_when_leaving", "ended_once_by_deadline",
    "bounded_queues",           "no_unsafe_retry",
    "not_run_did_not_run",
};

enum class Fault {
  kNone,
  kLag,
  kPrimaryReplaced,
  kPrimaryPartitioned,
  kInstanceLeaves,
  kSilentConnection,
  kStall,
  kLoss,
  kOverload,
  kConnectionLimit,
  kCount,
};

struct Mutation {
  const char* name;
  const char* promise;
  std::function<void(WorldOptions&, WorldMutant&)> apply;
  // Passes classes that may not be repeated to the machine as repeatable.
  bool repeat_all = false;
  Fault fault = Fault::kNone;
};

using Targets = std::vector<std::shared_ptr<const NamedClassTarget>>;

std::shared_ptr<const NamedClassTarget> Target(const char* name,
                                               std::optional<Duration> age,
                                               Duration answer_time,
                                               bool repeatable) {
  return std::make_shared<const NamedClassTarget>(
      NamedClassTarget{ClassName(name), age, answer_time, repeatable});
}

Targets ReadTargets() {
  using std::chrono::milliseconds;
  return {Target("near", milliseconds(120), milliseconds(300), true),
          Target("far", milliseconds(1'000), milliseconds(300), true),
          Target("fresh", std::nullopt, milliseconds(250), true)};
}

Targets WriteTargets(bool repeat_all) {
  using std::chrono::milliseconds;
  return {Target("once", std::nullopt, milliseconds(300), repeat_all),
          Target("again", std::nullopt, milliseconds(300), true)};
}

// One run: four sessions on two proxies under one or two faults.
class Run {
 public:
  Run(uint64_t seed, const Mutation* mutation)
      : m_random(seed * 0x9e3779b97f4a7c15U + 1),
        m_reads(ReadTargets()),
        m_writes(WriteTargets(mutation != nullptr && mutation->repeat_all)) {
    Fault first = Fault(seed % static_cast<uint64_t>(Fault::kCount));
    if (mutation != nullptr && mutation->fault != Fault::kNone)
      first = mutation->fault;
    const Fault second = RandomBool(0.5)
                             ? Fault(RandomInt(0, int(Fault::kCount) - 1))
                             : Fault::kNone;
    WorldOptions options;
    options.routing.admission.queue_capacity = kQueueCapacity;
    options.routing.max_in_progress = kMaxInProgress;
    options.routing.group_share = 1;
    options.routing.waiting_places = kMaxInProgress;
    options.routing.admission.caller_share = 0.5;
    if (first == Fault::kLag || second == Fault::kLag)
      options.group.longest_lag = Duration(900'000);
    if (first == Fault::kConnectionLimit || second == Fault::kConnectionLimit)
      options.group.connection_limit = 3;
    WorldMutant mutant;
    if (mutation != nullptr)
      mutation->apply(options, mutant);
    m_world.emplace(options, seed, mutant);
    m_world->m_repeatable = [](const RequestRecord& record) {
      return record.request.target->name == ClassName("again");
    };
    m_world->SetEnded(
        [this](const RequestRecord& record) { OnRequestEnded(record); });
    m_interval = Duration(
        first == Fault::kOverload || second == Fault::kOverload ? 300 : 4'000);
    m_world->scheduler().RunUntil(m_world->now() + Duration(30'000));
    m_end = m_world->now() + kRunTime;
    ScheduleFault(first);
    ScheduleFault(second);
    Submit();
    m_world->scheduler().RunUntil(m_end + kSettleTime);
  }

  std::map<std::string, uint64_t> Broken() {
    auto broken = m_world->broken();
    for (const auto& [id, record] : m_world->records()) {
      if (record.ending == Ending::kOpen)
        ++broken["ended_once_by_deadline"];
    }
    if (m_world->most_waiting > kQueueCapacity ||
        m_world->most_in_progress > kMaxInProgress)
      ++broken["bounded_queues"];
    return broken;
  }

  // Adds the counts of the exercised cases to `totals`, so that a table that
  // does not exercise a case fails.
  void Count(std::map<std::string, uint64_t>& totals) const {
    for (const auto& [id, record] : m_world->records()) {
      const bool read = record.request.operation == Operation::kRead;
      if (record.ending == Ending::kAnswered)
        ++totals[!read               ? "writes"
                 : record.by_replica ? "replica_reads"
                                     : "primary_reads"];
      else if (record.ending == Ending::kRefused)
        ++totals["refused"];
      else if (record.ending == Ending::kResolved)
        ++totals["resolved"];
      if (record.sends > 1)
        ++totals["sent_again"];
    }
    for (size_t proxy = 0; proxy < 2; ++proxy) {
      const RoutingCounts& counts = m_world->machine(proxy).counts();
      totals["silent_connections"] += counts.silent_connections;
      totals["dropped_answers"] += counts.dropped_answers;
      totals["hedges"] += counts.hedges;
    }
  }

  void PrintOpenRequests() const {
    for (const auto& [id, record] : m_world->records()) {
      if (record.ending == Ending::kOpen || record.endings > 1 ||
          record.ended > record.deadline)
        std::cout << "request=" << id << " endings=" << record.endings
                  << " arrived=" << record.arrived.time_since_epoch().count()
                  << " ended=" << record.ended.time_since_epoch().count()
                  << " deadline=" << record.deadline.time_since_epoch().count()
                  << " write="
                  << (record.request.operation == Operation::kWrite) << '\n';
    }
  }

 private:
  static constexpr size_t kSessions = 4;

  int RandomInt(int low, int high) {
    return std::uniform_int_distribution<int>(low, high)(m_random);
  }
  bool RandomBool(double share) {
    return std::uniform_real_distribution<double>(0, 1)(m_random) < share;
  }

  void Submit() {
    if (m_world->now() >= m_end)
      return;
    const auto session = static_cast<size_t>(RandomInt(0, kSessions - 1));
    RoutedRequest request;
    const bool write = RandomBool(0.25);
    const Targets& targets = write ? m_writes : m_reads;
    request.target = targets[static_cast<size_t>(
        RandomInt(0, static_cast<int>(targets.size()) - 1))];
    request.operation = write ? Operation::kWrite : Operation::kRead;
    request.caller = CallerName("c" + std::to_string(session));
    request.required = m_required[session];
    request.deadline = m_world->now() + Duration(RandomInt(5'000, 400'000));
    const auto proxy = static_cast<size_t>(
        RandomInt(0, static_cast<int>(m_world->proxies()) - 1));
    m_session_by_request[m_world->Submit(proxy, request)] = session;
    m_world->scheduler().After(
        Duration(RandomInt(1, 2 * static_cast<int>(m_interval.count()))),
        [this] { Submit(); });
  }

  // Raises the position of the session once its write is confirmed.
  void OnRequestEnded(const RequestRecord& record) {
    if (record.ending != Ending::kAnswered ||
        record.request.operation != Operation::kWrite)
      return;
    const size_t position = m_world->group().log().size();
    Confirm(record.request.id, m_world->group().term(), position);
  }

  void Confirm(const RequestId& id, Term term, size_t position) {
    ModelGroup& group = m_world->group();
    if (group.term() != term || group.log().size() < position)
      return;
    if (!group.log()[position - 1].confirmed) {
      m_world->scheduler().After(ModelGroup::kTick, [this, id, term, position] {
        Confirm(id, term, position);
      });
      return;
    }
    TermPosition& required = m_required[m_session_by_request[id]];
    required = std::max(required, TermPosition{group.log()[position - 1].term,
                                               LogPosition{position}});
  }

  void ScheduleFault(Fault fault) {
    const TimePoint when =
        m_world->now() + Duration(RandomInt(10'000, 250'000));
    m_world->scheduler().At(when, [this, fault] { InjectFault(fault); });
  }

  void InjectFault(Fault fault) {
    ModelGroup& group = m_world->group();
    auto& instances = group.instances();
    ModelGroup::Instance& any = instances[static_cast<size_t>(RandomInt(0, 2))];
    switch (fault) {
      case Fault::kPrimaryReplaced:
        ChangePrimary(static_cast<size_t>(RandomInt(0, 3)));
        break;
      case Fault::kPrimaryPartitioned:
        ChangePrimary(group.primary());
        break;
      case Fault::kInstanceLeaves:
        m_world->SetLeaving(any.name);
        break;
      case Fault::kSilentConnection:
        m_world->SilenceOne(0, any.name);
        m_world->SilenceOne(1, instances[group.primary()].name);
        break;
      case Fault::kStall:
        group.Stall(any, Duration(RandomInt(20'000, 500'000)));
        break;
      case Fault::kLoss:
        m_world->loss = 0.2;
        break;
      default:
        break;
    }
  }

  void ChangePrimary(size_t unfenced) {
    if (m_changing)
      return;
    m_changing = true;
    const Term term = m_world->group().term();
    if (RandomBool(0.5))
      m_world->PublishChanging(0, term);
    m_world->group().ChangePrimary(unfenced, [this] {
      for (size_t proxy = 0; proxy < m_world->proxies(); ++proxy)
        m_world->scheduler().After(Duration(RandomInt(0, 350'000)),
                                   [this, proxy] { m_world->Publish(proxy); });
    });
  }

  std::mt19937_64 m_random;
  Targets m_reads;
  Targets m_writes;
  std::optional<RoutingWorld> m_world;
  Duration m_interval{0};
  TimePoint m_end;
  bool m_changing = false;
  TermPosition m_required[kSessions];
  std::map<RequestId, size_t> m_session_by_request;
};

std::vector<Mutation> Mutations() {
  using O = WorldOptions;
  using M = WorldMutant;
  return {
      {"session_position_ignored", "session_reads_its_writes",
       [](O& o, M&) {
         o.routing.contains_position = [](const auto&, const auto&) {
           return true;
         };
       },
       false, Fault::kLag},
      {"reports_guessed_fresher", "read_within_allowed_age",
       [](O&, M& m) { m.reports_shifted = Duration(400'000); }, false,
       Fault::kLag},
      {"replaced_primary_not_noticed", "read_within_allowed_age",
       [](O&, M& m) { m.forge_terms = true; }, false,
       Fault::kPrimaryPartitioned},
      {"leaving_ignored", "no_new_work_when_leaving",
       [](O&, M& m) { m.hide_leaving = true; }, false, Fault::kInstanceLeaves},
      {"timers_late", "ended_once_by_deadline",
       [](O&, M& m) { m.timers_late = Duration(20'000); }, false,
       Fault::kStall},
      {"queue_not_bounded", "bounded_queues",
       [](O& o, M&) {
         o.routing.admission.queue_capacity = 1'000;
         o.routing.max_in_progress = 10'000;
       },
       false, Fault::kOverload},
      {"every_class_repeated", "no_unsafe_retry", [](O&, M&) {}, true,
       Fault::kLoss},
      {"lost_answer_taken_for_refusal", "not_run_did_not_run",
       [](O&, M& m) { m.loss_as_refusal = true; }, false, Fault::kLoss},
  };
}

// Repeats a single run, given by RUN=, and lists the requests that did not end
// exactly once by their deadline.
int RunOne(uint64_t seed, uint64_t run) {
  Run one(seed * 1'000'003 + run, nullptr);
  const auto broken = one.Broken();
  one.PrintOpenRequests();
  for (const auto& [promise, count] : broken)
    std::cout << "broken promise=" << promise << " count=" << count << '\n';
  return broken.empty() ? 0 : 1;
}

int RunTables() {
  const uint64_t seed = SeedFromEnvironment();
  if (const char* only = std::getenv("RUN"))
    return RunOne(seed, std::strtoull(only, nullptr, 10));
  std::vector<PromiseResult> results;
  for (const char* promise : kPromises)
    results.push_back({promise, 0, 0, 0, 0});
  std::map<std::string, uint64_t> totals;
  for (uint64_t run = 0; run < kRuns; ++run) {
    Run one(seed * 1'000'003 + run, nullptr);
    const auto broken = one.Broken();
    one.Count(totals);
    for (const auto& [promise, count] : broken)
      std::cerr << "broken promise=" << promise << " count=" << count
                << " seed=" << seed << " run=" << run << '\n';
    for (PromiseResult& result : results) {
      ++result.cases;
      result.broken += broken.count(result.name);
    }
    for (const auto& [promise, count] : broken) {
      const bool listed = std::any_of(
          results.begin(), results.end(),
          [&](const auto& result) { return result.name == promise; });
      if (!listed)
        results.push_back({promise, 1, 1, 1, 0});
    }
  }
  for (const Mutation& mutation : Mutations()) {
    bool caught = false;
    for (uint64_t run = 0; run < kMutantRuns && !caught; ++run)
      caught = Run(seed * 1'000'003 + run, &mutation)
                   .Broken()
                   .count(mutation.promise) != 0;
    if (!caught)
      std::cerr << "missed mutant=" << mutation.name << " seed=" << seed
                << '\n';
    for (PromiseResult& result : results) {
      if (result.name != mutation.promise)
        continue;
      ++result.mutants;
      result.mutants_caught += caught ? 1 : 0;
    }
  }
  constexpr size_t kCounted = 9;
  bool exercised = totals.size() == kCounted;
  for (const auto& [name, count] : totals) {
    exercised = exercised && count > 0;
    std::cerr << "exercised name=" << name << " count=" << count << '\n';
  }
  return std::max(PrintPromises(results), exercised ? 0 : 1);
}

}  // namespace
}  // namespace jackdawturn::routing

int main() {
  return jackdawturn::routing::RunTables();
}
