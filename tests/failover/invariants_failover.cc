// Fault injection during primary changes: each run injects one or two faults at
// seeded times, the second one often during the change that the first causes. A
// run that violates an invariant is printed with its seed; SEED= with RUNS=1
// repeats it. RUNS= with another number executes that many runs without the
// mutants.

#include <cstdlib>
#include <functional>
#include <iostream>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "support/failover_checker.h"
#include "support/failover_world.h"
#include "support/reports.h"

namespace jackdawturn::failover {

namespace {

using std::chrono::milliseconds;

constexpr uint64_t kRuns = 5'000;
constexpr uint64_t kSlowRuns = 400;
constexpr milliseconds kWarmUp{60};
// Timeout for a group to have a primary once one is possible. The slowest case
// is a claim that failed while the platform was down.
constexpr milliseconds kRecovery{12'000};
constexpr milliseconds kRecoveryStep{50};

enum class Fault {
  kProcessEnds,
  kProcessRestarts,
  kHostEnds,
  kProcessPaused,
  kZoneCut,
  kZoneCutOutgoing,
  kZoneCutIncoming,
  kZonePartlyCut,
  kReplicaHostEnds,
  kReplicaBehind,
  kProxyCrashes,
  kProxyPaused,
  kPlatformSlow,
  kPlatformDown,
  kAnswersLost,
  kPlannedChange,
  kTwoPlannedChanges,
  kLoss,
  kCount,
};

const char* const kFaultNames[] = {"process_ends",
                                   "process_restarts",
                                   "host_ends",
                                   "process_paused",
                                   "zone_cut",
                                   "zone_cut_outgoing",
                                   "zone_cut_incoming",
                                   "zone_partly_cut",
                                   "replica_host_ends",
                                   "replica_behind",
                                   "proxy_crashes",
                                   "proxy_paused",
                                   "platform_slow",
                                   "platform_down",
                                   "answers_lost",
                                   "planned_change",
                                   "two_planned_changes",
                                   "loss"};
static_assert(std::size(kFaultNames) == static_cast<size_t>(Fault::kCount));

// States of the chart at whose entry a second fault can be injected.
const char* const kSteps[] = {"suspecting", "holding",    "claiming",
                              "fencing",    "promoting",  "publishing",
                              "following",  "backing_off"};

const Fault kChangeFaults[] = {Fault::kProxyCrashes, Fault::kProxyPaused,
                               Fault::kPlatformSlow, Fault::kPlatformDown,
                               Fault::kAnswersLost,  Fault::kProcessEnds};

struct RunResult {
  FailoverFaults faults;
  bool without_primary = false;
  bool changed = false;
  // From the end of the faults to an acknowledged write at each proxy.
  Duration recovery{0};
  std::string description;
};

// Injects faults into group 0 of a world and reverts them.
class FaultDriver {
 public:
  FaultDriver(FailoverWorld& world, uint64_t seed)
      : m_world(world), m_random(seed) {}

  void Apply(Fault fault, const std::string& actor);
  // Reverts temporary faults; the first instance host that was ended stays
  // down.
  void Heal();
  bool HostIsGone() const { return m_host_gone; }

 private:
  milliseconds Between(int from, int to) {
    return milliseconds(std::uniform_int_distribution<int>(from, to)(m_random));
  }
  std::string PickProxy() {
    return "p" + std::to_string(m_random() % m_world.proxies());
  }
  std::string PickPrimary() {
    std::string primary = m_world.Primary(0);
    return primary.empty() ? m_world.InstanceOf(0, m_random() % 3) : primary;
  }
  std::string PickReplica() {
    const std::string primary = PickPrimary();
    std::string replica;
    do
      replica = m_world.InstanceOf(0, m_random() % 3);
    while (replica == primary);
    return replica;
  }
  void EndInstanceHost(const std::string& instance);
  void After(Duration time, std::function<void()> task) {
    m_world.scheduler().After(time, std::move(task));
  }

  FailoverWorld& m_world;
  std::mt19937_64 m_random;
  std::vector<std::function<void()>> m_heal;
  bool m_host_gone = false;
};

void FaultDriver::EndInstanceHost(const std::string& instance) {
  m_world.EndHost(instance);
  // No primary is possible when two instances of three stay down, so the second
  // one is started again.
  if (m_host_gone)
    m_heal.push_back([this, instance] { m_world.StartHost(instance); });
  m_host_gone = true;
}

void FaultDriver::Apply(Fault fault, const std::string& actor) {
  const std::string proxy = actor.empty() ? PickProxy() : actor;
  const std::string primary = PickPrimary();
  const size_t zone = m_world.ZoneOf(primary);
  switch (fault) {
    case Fault::kProcessEnds:
      m_world.EndProcess(primary);
      m_heal.push_back([this, primary] {
        if (!m_world.ProcessIsUp(primary))
          m_world.StartProcess(primary);
      });
      break;
    case Fault::kProcessRestarts:
      m_world.EndProcess(primary);
      After(Between(5, 400), [this, primary] {
        if (!m_world.ProcessIsUp(primary))
          m_world.StartProcess(primary);
      });
      break;
    case Fault::kHostEnds:
      EndInstanceHost(primary);
      break;
    case Fault::kReplicaHostEnds:
      EndInstanceHost(PickReplica());
      break;
    case Fault::kProcessPaused:
      m_world.PauseProcess(primary, Between(300, 1'500));
      break;
    case Fault::kZoneCut:
    case Fault::kZoneCutOutgoing:
    case Fault::kZoneCutIncoming: {
      const bool outgoing = fault != Fault::kZoneCutIncoming;
      const bool incoming = fault != Fault::kZoneCutOutgoing;
      m_world.CutZone(zone, outgoing, incoming, true);
      m_heal.push_back(
          [this, zone] { m_world.CutZone(zone, true, true, false); });
      break;
    }
    case Fault::kZonePartlyCut: {
      const size_t other = (zone + 1 + m_random() % 2) % 3;
      m_world.CutBetween(zone, other, true);
      m_heal.push_back(
          [this, zone, other] { m_world.CutBetween(zone, other, false); });
      break;
    }
    case Fault::kReplicaBehind: {
      const std::string replica = PickReplica();
      m_world.SetReplicationDelay(replica, Between(100, 1'000));
      m_heal.push_back([this, replica] {
        m_world.SetReplicationDelay(replica, Duration(0));
      });
      break;
    }
    case Fault::kProxyCrashes:
      m_world.CrashProxy(proxy);
      m_heal.push_back([this, proxy] {
        if (!m_world.network().IsUp(proxy))
          m_world.RestartProxy(proxy);
      });
      break;
    case Fault::kProxyPaused:
      m_world.PauseProxy(proxy, Between(50, 1'500));
      break;
    case Fault::kPlatformSlow:
      m_world.SetPlatformDelay(Between(20, 600));
      m_heal.push_back([this] { m_world.SetPlatformDelay(Duration(0)); });
      break;
    case Fault::kPlatformDown:
      m_world.SetPlatformAvailable(false);
      After(Between(50, 1'500), [this] { m_world.SetPlatformAvailable(true); });
      m_heal.push_back([this] { m_world.SetPlatformAvailable(true); });
      break;
    case Fault::kAnswersLost:
      m_world.platform().LoseAnswers(1 + m_random() % 3);
      m_heal.push_back([this] { m_world.platform().LoseAnswers(0); });
      break;
    case Fault::kPlannedChange:
      m_world.RequestChange(proxy, 0, AttemptId("operator"));
      break;
    case Fault::kTwoPlannedChanges:
      m_world.RequestChange("p0", 0, AttemptId("operator"));
      m_world.RequestChange(
          "p1", 0,
          AttemptId(m_random() % 2 == 0 ? "operator" : "other operator"));
      break;
    case Fault::kLoss:
      m_world.network().SetLoss(0.02);
      m_heal.push_back([this] { m_world.network().SetLoss(0); });
      break;
    case Fault::kCount:
      break;
  }
}

void FaultDriver::Heal() {
  for (const auto& heal : m_heal)
    heal();
  m_heal.clear();
}

WorldOptions TableOptions(uint64_t seed, WorldMutant mutant) {
  WorldOptions options;
  options.seed = seed;
  options.write_interval = milliseconds(30);
  options.mutant = mutant;
  if (seed % 8 == 0)
    options.proxies = 6;
  if (seed % 2 == 1) {
    options.zone_latency = milliseconds(1);
    options.open_time = milliseconds(30);
  }
  return options;
}

// Returns whether every running proxy had a write acknowledged after `since`.
bool AllServed(FailoverWorld& world, TimePoint since) {
  std::set<std::string> served;
  const auto& acknowledged = world.acknowledgements();
  for (auto item = acknowledged.rbegin();
       item != acknowledged.rend() && item->time > since; ++item)
    served.insert(item->proxy);
  for (size_t index = 0; index < world.proxies(); ++index) {
    const std::string proxy = "p" + std::to_string(index);
    if (world.network().IsUp(proxy) && served.count(proxy) == 0)
      return false;
  }
  return true;
}

using Adjust = std::function<void(WorldOptions&)>;

RunResult RunOne(uint64_t seed, WorldMutant mutant, const Adjust& adjust) {
  std::mt19937_64 random(Hash64("failover run", seed));
  WorldOptions options = TableOptions(seed, mutant);
  // In a quarter of the runs, candidates race instead of waiting by rank.
  if (random() % 4 == 0)
    options.times.candidate_stagger = Duration(0);
  if (adjust)
    adjust(options);
  FailoverWorld world(options);
  FaultDriver driver(world, random());
  constexpr auto kCount = static_cast<uint64_t>(Fault::kCount);
  const auto first = static_cast<Fault>(random() % kCount);
  const bool two = random() % 3 != 0;
  const bool at_step = random() % 2 == 0;
  // Half of the faults at a step affect the claimer, its calls or the primary.
  const auto second = at_step && random() % 2 == 0
                          ? kChangeFaults[random() % std::size(kChangeFaults)]
                          : static_cast<Fault>(random() % kCount);
  const std::string step = kSteps[random() % std::size(kSteps)];
  const milliseconds gap(random() % 700);

  RunResult result;
  bool injected = !two || !at_step;
  world.SetTimelineHook([&](const std::string& proxy, size_t,
                            const failover_effect::TimelineEntry& entry) {
    if (entry.to == "claiming")
      result.changed = true;
    if (injected || entry.to != step || entry.from == entry.to)
      return;
    injected = true;
    // The machine's effects are still being executed, so the fault is deferred.
    world.scheduler().After(
        Duration(0), [&driver, second, proxy] { driver.Apply(second, proxy); });
  });
  world.Run(kWarmUp);
  driver.Apply(first, "");
  if (two && !at_step)
    world.scheduler().After(gap, [&] { driver.Apply(second, ""); });
  world.Run(milliseconds(300 + random() % 700));
  injected = true;
  driver.Heal();
  world.Run(Duration(0));
  driver.Heal();

  const TimePoint healed = world.now();
  bool served = false;
  while (!served && world.now() < healed + kRecovery) {
    world.Run(kRecoveryStep);
    driver.Heal();
    served = AllServed(world, healed) && !world.Primary(0).empty();
  }
  result.without_primary = !served;
  result.recovery = world.now() - healed;
  // Lets late messages of earlier steps arrive.
  world.Run(milliseconds(20));
  if (!world.Primary(0).empty())
    result.faults = CheckFailoverRun(world);
  result.description =
      std::string(kFaultNames[static_cast<size_t>(first)]) +
      (two ? std::string(",") + kFaultNames[static_cast<size_t>(second)] : "") +
      (two && at_step ? " at " + step : "");
  return result;
}

// Runs a group whose primary is slow but alive, which must keep its term.
// Returns whether a change was started.
bool RunSlow(uint64_t seed, const Adjust& adjust) {
  std::mt19937_64 random(Hash64("slow run", seed));
  WorldOptions options = TableOptions(seed, WorldMutant::kNone);
  if (adjust)
    adjust(options);
  FailoverWorld world(options);
  bool changed = false;
  world.SetTimelineHook([&](const std::string&, size_t,
                            const failover_effect::TimelineEntry& entry) {
    changed = changed || entry.to == "claiming";
  });
  world.network().SetLoss(0.01);
  world.Run(kWarmUp);
  for (int pause = 0; pause < 4; ++pause) {
    const milliseconds time(random() % 301);
    if (random() % 2 == 0)
      world.PauseProcess(world.InstanceOf(0, 0), time);
    else
      world.PauseProxy("p" + std::to_string(random() % 3), time);
    world.SetReplicationDelay(world.InstanceOf(0, 1 + random() % 2),
                              milliseconds(random() % 10'000));
    world.Run(time + milliseconds(100 + random() % 200));
  }
  return changed;
}

struct Totals {
  uint64_t cases = 0;
  uint64_t changed = 0;
  uint64_t without_primary = 0;
  Duration longest_recovery{0};
  uint64_t longest_seed = 0;
  FailoverFaults faults;
};

Totals RunTable(uint64_t first_seed,
                uint64_t runs,
                WorldMutant mutant,
                const Adjust& adjust,
                bool print,
                const std::function<bool(const Totals&)>& stop = {}) {
  Totals totals;
  for (uint64_t seed = first_seed; seed < first_seed + runs; ++seed) {
    if (stop && stop(totals))
      break;
    const RunResult result = RunOne(seed, mutant, adjust);
    ++totals.cases;
    totals.changed += result.changed ? 1 : 0;
    totals.without_primary += result.without_primary ? 1 : 0;
    totals.faults.Add(result.faults);
    if (result.recovery > totals.longest_recovery) {
      totals.longest_recovery = result.recovery;
      totals.longest_seed = seed;
    }
    const FailoverFaults& faults = result.faults;
    if (print && (result.without_primary || faults.lost_writes != 0 ||
                  faults.replaced_primary_answers != 0 ||
                  faults.terms_with_two_primaries != 0))
      std::cout << "broken: SEED=" << seed << " RUNS=1 faults=\""
                << result.description << "\" lost=" << faults.lost_writes
                << " replaced=" << faults.replaced_primary_answers
                << " two_primaries=" << faults.terms_with_two_primaries
                << " without_primary=" << result.without_primary << '\n';
  }
  return totals;
}

uint64_t RunSlowTable(uint64_t first_seed,
                      uint64_t runs,
                      const Adjust& adjust) {
  uint64_t changed = 0;
  for (uint64_t seed = first_seed; seed < first_seed + runs; ++seed)
    changed += RunSlow(seed, adjust) ? 1 : 0;
  return changed;
}

uint64_t RunsFromEnvironment() {
  constexpr int kDecimal = 10;
  const char* text = std::getenv("RUNS");
  return text == nullptr ? kRuns : std::strtoull(text, nullptr, kDecimal);
}

int Main() {
  const uint64_t seed = SeedFromEnvironment();
  const uint64_t runs = RunsFromEnvironment();
  const Totals table = RunTable(seed, runs, WorldMutant::kNone, {}, true);
  if (runs != kRuns) {
    const uint64_t broken =
        table.faults.lost_writes + table.faults.replaced_primary_answers +
        table.faults.terms_with_two_primaries + table.without_primary;
    std::cout << "runs=" << table.cases << " changed=" << table.changed
              << " broken=" << broken << '\n';
    return broken == 0 ? 0 : 1;
  }
  // Returns 1 when the checker detects the mutant within `runs` runs, else 0.
  using Caught = std::function<bool(const Totals&)>;
  const auto caught = [&](WorldMutant kind, const Caught& seen,
                          const Adjust& adjust = {}) {
    return uint64_t{seen(RunTable(seed, runs, kind, adjust, false, seen))};
  };
  const Caught lost = [](const Totals& totals) {
    return totals.faults.lost_writes != 0;
  };
  const Caught replaced = [](const Totals& totals) {
    return totals.faults.replaced_primary_answers != 0;
  };
  const Caught two = [](const Totals& totals) {
    return totals.faults.terms_with_two_primaries != 0;
  };
  const Caught without = [](const Totals& totals) {
    return totals.without_primary != 0;
  };
  // Without conditional updates, racing candidates claim the same term and,
  // when they reach different instances, promote different ones.
  const Adjust race = [](WorldOptions& options) {
    options.times.candidate_stagger = Duration(0);
  };
  const Adjust no_takeover = [](WorldOptions& options) {
    options.times.takeover = kRecovery * 2;
  };
  const Adjust low_silent_floor = [](WorldOptions& options) {
    options.suspicion.silent_floor = milliseconds(60);
  };

  std::vector<PromiseResult> results;
  results.push_back({"acknowledged_write_survives", table.cases,
                     table.faults.lost_writes, 3,
                     caught(WorldMutant::kAcknowledgeUnconfirmed, lost) +
                         caught(WorldMutant::kFenceOne, lost) +
                         caught(WorldMutant::kChooseLowest, lost)});
  results.push_back({"no_answer_by_replaced_primary", table.cases,
                     table.faults.replaced_primary_answers, 2,
                     caught(WorldMutant::kAcknowledgeUnconfirmed, replaced) +
                         caught(WorldMutant::kConfirmAnyTerm, replaced)});
  results.push_back({"one_primary_in_a_term", table.cases,
                     table.faults.terms_with_two_primaries, 2,
                     caught(WorldMutant::kUnconditionalUpdate, two, race) +
                         caught(WorldMutant::kPromoteTwo, two)});
  results.push_back({"primary_when_possible", table.cases,
                     table.without_primary, 1,
                     caught(WorldMutant::kNone, without, no_takeover)});
  results.push_back(
      {"slow_primary_keeps_its_term", kSlowRuns,
       RunSlowTable(seed, kSlowRuns, {}), 1,
       uint64_t{RunSlowTable(seed, kSlowRuns / 4, low_silent_floor) != 0}});
  std::cout << "runs_with_a_change=" << table.changed
            << " longest_recovery_ms=" << ToMilliseconds(table.longest_recovery)
            << " of_seed=" << table.longest_seed << '\n';
  return PrintPromises(results);
}

}  // namespace

}  // namespace jackdawturn::failover

int main() {
  return jackdawturn::failover::Main();
}
