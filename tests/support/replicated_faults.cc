#include "support/replicated_faults.h"

#include <atomic>
#include <cstdlib>
#include <future>
#include <iostream>
#include <iterator>
#include <optional>
#include <sstream>

namespace jackdawturn::gateway {

namespace {

using namespace std::chrono_literals;  // NOLINT(google-build-using-namespace)

constexpr uint64_t kMutantRuns = 1'500;
constexpr uint64_t kThreads = 4;
constexpr size_t kProxies = ReplicatedWorld::kProxies;

const char* const kFaultNames[] = {"primary_cut_from_replicas",
                                   "primary_alone_with_proxy",
                                   "primary_cut_from_proxies",
                                   "primary_cut_from_store",
                                   "proxy_cut_from_store",
                                   "primary_crashes",
                                   "primary_leaves",
                                   "replica_restarts",
                                   "proxy_suspended",
                                   "claimant_suspended",
                                   "all_proxies_suspended",
                                   "answers_lost",
                                   "store_down",
                                   "promotions_late",
                                   "replica_flaps",
                                   "primary_flaps",
                                   "replica_receives_nothing",
                                   "claimant_killed",
                                   "proxy_killed",
                                   "replica_restarts_during_change",
                                   "promotions_stay_late",
                                   "replica_restarts_while_answers_lost",
                                   "instance_starts_while_store_down",
                                   "store_restored",
                                   "store_restored_during_change",
                                   "claimant_cut_off_while_store_restored",
                                   "proxy_killed_while_store_restored",
                                   "members_lost_by_restore",
                                   "claim_lost_unheard"};
static_assert(std::size(kFaultNames) ==
              static_cast<size_t>(WorldFault::kCount));

std::string Name(const char* kind, size_t index) {
  return kind + std::to_string(index);
}

// What a number of runs without mutants showed.
struct Tally {
  explicit Tally(size_t invariants) : broken(invariants) {}

  void Add(const FaultRun& run,
           uint64_t seed,
           const std::vector<WorldInvariant>& invariants);
  void Add(const Tally& other);

  uint64_t reads = 0;
  uint64_t writes = 0;
  uint64_t promotions = 0;
  // Runs that violated each invariant.
  std::vector<uint64_t> broken;
  // One line for each run with a violation.
  std::string lines;
};

void Tally::Add(const FaultRun& run,
                uint64_t seed,
                const std::vector<WorldInvariant>& invariants) {
  const Violations& found = run.world().violations();
  reads += run.world().reads_done();
  writes += run.world().writes_done();
  promotions += run.world().promotions();
  if (found.total() == 0)
    return;
  std::ostringstream line;
  line << "seed=" << seed << " stale=" << found.stale_reads
       << " lost=" << found.lost_commits
       << " overtaken=" << found.overtaken_promotions
       << " refused=" << found.refused_claimants
       << " faults=" << run.description() << "\n";
  lines += line.str();
  for (size_t index = 0; index < broken.size(); ++index)
    broken[index] += found.*invariants[index].violations > 0 ? 1 : 0;
}

void Tally::Add(const Tally& other) {
  reads += other.reads;
  writes += other.writes;
  promotions += other.promotions;
  lines += other.lines;
  for (size_t index = 0; index < broken.size(); ++index)
    broken[index] += other.broken[index];
}

// Spreads the runs over threads; each run has a world of its own.
Tally RunAll(const FaultTable& table,
             const std::vector<WorldInvariant>& invariants,
             uint64_t seed,
             uint64_t runs) {
  std::vector<std::future<Tally>> parts;
  for (uint64_t thread = 0; thread < kThreads; ++thread)
    parts.push_back(std::async(std::launch::async, [=, &table, &invariants] {
      Tally part(invariants.size());
      for (uint64_t run = thread; run < runs; run += kThreads)
        part.Add(FaultRun(table, seed + run, WorldMutant::kNone), seed + run,
                 invariants);
      return part;
    }));
  Tally all(invariants.size());
  for (auto& part : parts)
    all.Add(part.get());
  return all;
}

bool Caught(const FaultTable& table,
            const WorldInvariant& invariant,
            WorldMutant mutant,
            uint64_t seed) {
  std::atomic<uint64_t> next = 0;
  std::atomic<bool> caught = false;
  const auto search = [&] {
    for (uint64_t run = next++; run < kMutantRuns && !caught; run = next++) {
      const FaultRun mutated(table, seed + run, mutant);
      if (mutated.world().violations().*invariant.violations > 0)
        caught = true;
    }
  };
  std::vector<std::future<void>> threads;
  for (uint64_t thread = 0; thread < kThreads; ++thread)
    threads.push_back(std::async(std::launch::async, search));
  for (auto& thread : threads)
    thread.get();
  return caught;
}

}  // namespace

FaultRun::FaultRun(const FaultTable& table, uint64_t seed, WorldMutant mutant)
    : m_random(seed ^ 0x9e3779b97f4a7c15),
      m_world({.seed = seed,
               .mutant = mutant,
               .fenced = table.fenced,
               .eras = table.eras}) {
  m_world.Run(Between(300, 700));
  const WorldFault first =
      table.first_of.empty()
          ? Draw(table)
          : table.first_of[m_random() % table.first_of.size()];
  const WorldFault second = Draw(table);
  Apply(first);
  m_world.Run(Between(0, 1'500));
  if (m_random() % 3 > 0)
    Apply(second);
  for (uint64_t count = 2; count < table.max_faults; ++count) {
    m_world.Run(Between(0, 1'500));
    Apply(Draw(table));
  }
  m_world.Run(Between(500, 3'000));
  m_world.Heal();
  m_world.LoseAnswers(0);
  m_world.DelayPromotions(0);
  m_world.StoreDown(false);
  m_world.Run(table.time_after);
}

Duration FaultRun::Between(int from, int to) {
  return std::chrono::milliseconds(
      std::uniform_int_distribution<int>(from, to)(m_random));
}

WorldFault FaultRun::Draw(const FaultTable& table) {
  return static_cast<WorldFault>(
      table.first_fault + m_random() % (table.faults - table.first_fault));
}

std::optional<size_t> FaultRun::AwaitClaimant() {
  for (int step = 0; step < 200 && !m_world.Claimant(); ++step)
    m_world.Run(10ms);
  m_world.Run(Between(0, 600));
  return m_world.Claimant();
}

void FaultRun::Flap(size_t instance) {
  const int times = static_cast<int>(2 + m_random() % 4);
  for (int time = 0; time < times; ++time) {
    m_world.Crash(instance);
    m_world.Run(Between(50, 500));
    m_world.Restart(instance);
    m_world.Run(Between(50, 500));
  }
}

void FaultRun::Apply(WorldFault fault) {
  m_description += std::string(" ") + kFaultNames[static_cast<size_t>(fault)];
  const size_t primary = m_world.NewestPrimary() % ReplicatedWorld::kInstances;
  const size_t replica = (primary + 1 + m_random() % 2) % 3;
  const size_t proxy = m_random() % kProxies;
  switch (fault) {
    case WorldFault::kPrimaryCutFromReplicas:
      m_world.Cut(Name("i", primary), Name("i", (primary + 1) % 3));
      m_world.Cut(Name("i", primary), Name("i", (primary + 2) % 3));
      break;
    case WorldFault::kPrimaryAloneWithProxy:
      m_world.Isolate(Name("i", primary), {Name("p", proxy)});
      if (m_random() % 2 == 0)
        m_world.Cut(Name("p", proxy), "store");
      break;
    case WorldFault::kPrimaryCutFromProxies:
      for (size_t index = 0; index < kProxies; ++index) {
        if (index != proxy)
          m_world.Cut(Name("i", primary), Name("p", index));
      }
      break;
    case WorldFault::kPrimaryCutFromStore:
      m_world.Cut(Name("i", primary), "store");
      break;
    case WorldFault::kProxyCutFromStore:
      m_world.Cut(Name("p", proxy), "store");
      break;
    case WorldFault::kPrimaryCrashes:
      m_world.Crash(primary);
      m_world.Run(Between(100, 1'500));
      m_world.Restart(primary);
      break;
    case WorldFault::kPrimaryLeaves:
      m_world.Leave(primary);
      break;
    case WorldFault::kReplicaRestarts:
      m_world.Crash(replica);
      m_world.Run(Between(1, 300));
      m_world.Restart(replica);
      break;
    case WorldFault::kProxySuspended:
      m_world.Suspend(proxy, Between(100, 6'000));
      break;
    case WorldFault::kClaimantSuspended:
      m_world.Isolate(Name("i", primary), {Name("p", proxy)});
      if (const auto claimant = AwaitClaimant())
        m_world.Suspend(*claimant, Between(1'000, 6'000));
      break;
    case WorldFault::kAllProxiesSuspended:
      for (size_t index = 0; index < kProxies; ++index)
        m_world.Suspend(index, Between(100, 1'500));
      break;
    case WorldFault::kAnswersLost:
      m_world.LoseAnswers(0.3);
      break;
    case WorldFault::kStoreDown:
      m_world.StoreDown(true);
      break;
    case WorldFault::kPromotionsLate:
      m_world.DelayPromotions(0.7);
      break;
    case WorldFault::kReplicaFlaps:
      Flap(replica);
      break;
    case WorldFault::kPrimaryFlaps:
      Flap(primary);
      break;
    case WorldFault::kReplicaReceivesNothing:
      m_world.Cut(Name("i", primary), Name("i", replica));
      break;
    case WorldFault::kClaimantKilled:
      m_world.Isolate(Name("i", primary), {Name("p", proxy)});
      if (const auto claimant = AwaitClaimant())
        m_world.Kill(*claimant);
      break;
    case WorldFault::kProxyKilled:
      m_world.Kill(proxy);
      break;
    case WorldFault::kPromotionsStayLate:
      // The primary returns while the first promotion is on its way; the claim
      // is replaced once it has been abandoned.
      m_world.DelayPromotions(1);
      m_world.Crash(primary);
      AwaitClaimant();
      m_world.Restart(primary);
      m_world.Run(Between(4'000, 9'000));
      break;
    case WorldFault::kReplicaRestartsWhileAnswersLost:
      m_world.LoseAnswers(0.3);
      [[fallthrough]];
    case WorldFault::kReplicaRestartsDuringChange:
      for (size_t index = 0; index < kProxies; ++index) {
        if (index != proxy)
          m_world.Cut(Name("i", primary), Name("p", index));
      }
      if (AwaitClaimant()) {
        m_world.Crash(replica);
        m_world.Run(Between(1, 50));
        m_world.Restart(replica);
      }
      break;
    case WorldFault::kInstanceStartsWhileStoreDown:
      ReplaceWhileStoreDown(primary, replica);
      break;
    case WorldFault::kStoreRestored:
      RestoreStore(Between(100, 5'000));
      break;
    case WorldFault::kStoreRestoredDuringChange:
      RestoreDuringChange(primary, proxy, false);
      break;
    case WorldFault::kClaimantCutOffWhileStoreRestored:
      RestoreDuringChange(primary, proxy, true);
      break;
    case WorldFault::kProxyKilledWhileStoreRestored:
      m_world.Crash(primary);
      AwaitClaimant();
      m_world.Kill(proxy);
      RestoreStore(Between(100, 3'000));
      m_world.Run(Between(0, 3'000));
      m_world.Restart(primary);
      break;
    case WorldFault::kMembersLostByRestore:
      LoseMembersByRestore(primary, replica);
      break;
    case WorldFault::kClaimLostUnheard:
      LoseClaimUnheard(primary);
      break;
    case WorldFault::kCount:
      break;
  }
}

void FaultRun::RestoreStore(Duration age) {
  m_world.StoreDown(true);
  m_world.Run(Between(20, 1'500));
  m_world.RestoreStore(age);
  m_world.StoreDown(false);
}

// The claim, or its end, is lost.
void FaultRun::RestoreDuringChange(size_t primary, size_t proxy, bool cut_off) {
  for (size_t index = 0; index < kProxies; ++index) {
    if (index != proxy)
      m_world.Cut(Name("i", primary), Name("p", index));
  }
  const auto claimant = AwaitClaimant();
  if (claimant && cut_off) {
    m_world.Cut(Name("p", *claimant), "store");
    if (m_random() % 2 == 0)
      m_world.Suspend(*claimant, Between(200, 2'500));
  }
  RestoreStore(Between(500, 3'000));
}

// The store goes away as soon as it has a claim, which other proxies may not
// hear of, and loses it. Promotions may be carried out seconds later.
void FaultRun::LoseClaimUnheard(size_t primary) {
  for (size_t index = 0; index < kProxies; ++index)
    m_world.Cut(Name("p", index), Name("p", (index + 1) % kProxies));
  if (m_random() % 2 == 0)
    m_world.DelayPromotions(0.7);
  const bool cut_off = m_random() % 2 == 0;
  if (!cut_off)
    m_world.Crash(primary);
  else
    m_world.Cut(Name("i", primary), Name("p", m_random() % kProxies));
  for (int step = 0; step < 4'000 && !m_world.Claimant(); ++step)
    m_world.Run(1ms);
  const auto claimant = m_world.Claimant();
  m_world.StoreDown(true);
  m_world.Run(Between(20, 1'200));
  if (!cut_off)
    m_world.Restart(primary);
  if (claimant && m_random() % 3 == 0)
    m_world.Cut(Name("p", *claimant), "store");
  m_world.Run(Between(0, 500));
  m_world.RestoreStore(Between(1'300, 3'000));
  m_world.StoreDown(false);
  m_world.Run(Between(0, 8'000));
}

// Commits are acknowledged on account of an instance that joined after the copy
// was made and has left since, and no proxy that saw it runs any more.
void FaultRun::LoseMembersByRestore(size_t primary, size_t replica) {
  constexpr Duration kRecordTime = 5s;
  const size_t other = 3 - primary - replica;
  m_world.Crash(replica);
  m_world.Run(Between(100, 400));
  m_world.Unlist(replica);
  m_world.Run(ServerDirectory::kUnlistedGracePeriod + kRecordTime);
  m_world.StartAnew(replica);
  m_world.Run(kRecordTime);
  m_world.Cut(Name("i", primary), Name("i", other));
  m_world.Run(Between(100, 1'000));
  m_world.Crash(replica);
  m_world.Unlist(replica);
  m_world.Crash(primary);
  for (size_t index = 0; index < kProxies; ++index)
    m_world.Kill(index);
  RestoreStore(kRecordTime + 2s);
  m_world.Run(Between(3'000, 5'000));
  m_world.Restart(primary);
}

// The commits of an outage are acknowledged on account of an instance that no
// proxy knows, and the primary crashes before that instance has registered.
void FaultRun::ReplaceWhileStoreDown(size_t primary, size_t replica) {
  const size_t other = 3 - primary - replica;
  m_world.Crash(replica);
  m_world.Run(Between(100, 400));
  m_world.Unlist(replica);
  // The proxies forget it.
  m_world.Run(ServerDirectory::kUnlistedGracePeriod + 1s);
  m_world.StoreDown(true);
  m_world.Run(Between(50, 300));
  m_world.StartAnew(replica);
  m_world.Run(Between(50, 300));
  m_world.Cut(Name("i", primary), Name("i", other));
  m_world.Run(Between(300, 3'000));
  m_world.Crash(primary);
  m_world.Run(Between(50, 500));
  m_world.StoreDown(false);
  m_world.Run(Between(3'000, 5'000));
  m_world.Restart(primary);
}

int RunFaultTable(const FaultTable& table,
                  const std::vector<WorldInvariant>& invariants,
                  uint64_t default_runs) {
  const char* runs_text = std::getenv("RUNS");
  const uint64_t runs = runs_text ? std::stoull(runs_text) : default_runs;
  const uint64_t seed = SeedFromEnvironment();
  const Tally tally = RunAll(table, invariants, seed, runs);
  std::cout << tally.lines << "reads=" << tally.reads
            << " writes=" << tally.writes << " promotions=" << tally.promotions
            << "\n";
  std::vector<PromiseResult> results;
  for (size_t index = 0; index < invariants.size(); ++index) {
    const WorldInvariant& invariant = invariants[index];
    PromiseResult result{
        .name = invariant.name, .cases = runs, .broken = tally.broken[index]};
    for (const WorldMutant mutant : invariant.mutants) {
      if (runs_text)
        continue;
      ++result.mutants;
      if (Caught(table, invariant, mutant, seed))
        ++result.mutants_caught;
      else
        std::cout << "mutant " << static_cast<int>(mutant)
                  << " was not caught by " << invariant.name << "\n";
    }
    results.push_back(result);
  }
  return PrintPromises(results);
}

}  // namespace jackdawturn::gateway
