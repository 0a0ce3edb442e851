#pragma once

#include <cstdint>
#include <random>
#include <string>
#include <vector>

#include "support/replicated_world.h"
#include "support/reports.h"

namespace jackdawturn::gateway {

enum class WorldFault {
  kPrimaryCutFromReplicas,
  kPrimaryAloneWithProxy,
  kPrimaryCutFromProxies,
  kPrimaryCutFromStore,
  kProxyCutFromStore,
  kPrimaryCrashes,
  kPrimaryLeaves,
  kReplicaRestarts,
  kProxySuspended,
  kClaimantSuspended,
  kAllProxiesSuspended,
  kAnswersLost,
  kStoreDown,
  kPromotionsLate,
  kReplicaFlaps,
  kPrimaryFlaps,
  kReplicaReceivesNothing,
  kClaimantKilled,
  kProxyKilled,
  kReplicaRestartsDuringChange,
  // Drawn only where a table asks for them.
  kPromotionsStayLate,
  kReplicaRestartsWhileAnswersLost,
  kInstanceStartsWhileStoreDown,
  // Only where FaultTable::first_of names them: the store comes back from an
  // older copy.
  kStoreRestored,
  kStoreRestoredDuringChange,
  kClaimantCutOffWhileStoreRestored,
  kProxyKilledWhileStoreRestored,
  kMembersLostByRestore,
  kClaimLostUnheard,
  kCount,
};

// Which faults are injected into a ReplicatedWorld, and how.
struct FaultTable {
  // Those of WorldFault from `first_fault` on and before `faults` are drawn
  // from.
  uint64_t first_fault = 0;
  // If not empty, the first fault of each run is one of these, and the others
  // are those above.
  std::vector<WorldFault> first_of;
  uint64_t faults = static_cast<uint64_t>(WorldFault::kPromotionsStayLate);
  // The greatest number of faults in one run, at least 2.
  uint64_t max_faults = 2;
  // How long the run goes on when all faults have ended.
  Duration time_after = std::chrono::seconds(2);
  bool fenced = false;
  // The answers of the store show its era.
  bool eras = false;
};

// One run of a ReplicatedWorld with faults at seeded times.
// Thread safety: not thread-safe; different runs are independent.
class FaultRun {
 public:
  FaultRun(const FaultTable& table, uint64_t seed, WorldMutant mutant);

  const ReplicatedWorld& world() const { return m_world; }
  // The names of the faults, in their order.
  const std::string& description() const { return m_description; }

 private:
  Duration Between(int from, int to);
  WorldFault Draw(const FaultTable& table);
  void Apply(WorldFault fault);
  void Flap(size_t instance);
  void ReplaceWhileStoreDown(size_t primary, size_t replica);
  // The store is away for a moment and comes back as it was `age` ago.
  void RestoreStore(Duration age);
  void RestoreDuringChange(size_t primary, size_t proxy, bool cut_off);
  void LoseClaimUnheard(size_t primary);
  void LoseMembersByRestore(size_t primary, size_t replica);
  // Waits until a proxy claims a change of the primary, for a limited time.
  std::optional<size_t> AwaitClaimant();

  std::mt19937_64 m_random;
  ReplicatedWorld m_world;
  std::string m_description;
};

// A promise that the runs check.
struct WorldInvariant {
  const char* name = "";
  uint64_t Violations::*violations = nullptr;
  // Each must be seen to violate the invariant.
  std::vector<WorldMutant> mutants;
};

// Executes the runs and prints each one that violates an invariant, with its
// seed, then a line for each invariant. Takes RUNS= and SEED= from the
// environment; with RUNS= the mutants are left out. Returns the exit code.
int RunFaultTable(const FaultTable& table,
                  const std::vector<WorldInvariant>& invariants,
                  uint64_t default_runs);

}  // namespace jackdawturn::gateway
