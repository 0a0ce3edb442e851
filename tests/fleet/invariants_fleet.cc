#include <iostream>
#include <set>
#include <string>
#include <vector>

#include "fleet/fleet_simulation.h"
#include "support/reports.h"

namespace jackdawturn::fleet {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

enum class Fault {
  kKill,
  kRestart,
  kPause,
  kPartition,  // A node is partitioned in both directions.
  kOneWay,     // A node receives datagrams, but its own are lost.
  kPartial,    // Two nodes cannot reach each other.
  kZoneCut,    // A zone is partitioned from the others and the platform.
  kPlatform,   // The platform is down.
  kLoss,       // One datagram in twenty is lost.
};
constexpr size_t kFaultCount = 9;

// Violations found by a run of the fault table.
struct Findings {
  size_t missing_live = 0;
  size_t present_dead = 0;
  size_t limit_passed = 0;
  uint64_t opens = 0;
  uint64_t refused = 0;
};

void ApplyFault(FleetSimulation& fleet, Fault fault) {
  std::uniform_int_distribution<size_t> choose(0, fleet.size() - 1);
  const size_t victim = choose(fleet.random());
  const size_t other =
      (victim + 1 + choose(fleet.random()) % (fleet.size() - 1)) % fleet.size();
  const size_t zones = fleet.options().zones;
  switch (fault) {
    case Fault::kKill:
    case Fault::kRestart:
      fleet.Kill(victim);
      break;
    case Fault::kPause:
      fleet.Pause(victim);
      break;
    case Fault::kPartition:
    case Fault::kOneWay:
      for (size_t node = 0; node < fleet.size(); ++node) {
        fleet.Cut(victim, node);
        if (fault == Fault::kPartition)
          fleet.Cut(node, victim);
      }
      break;
    case Fault::kPartial:
      fleet.Cut(victim, other);
      fleet.Cut(other, victim);
      break;
    case Fault::kZoneCut:
      for (size_t from = 0; from < fleet.size(); ++from) {
        if (from % zones == victim % zones)
          fleet.CutPlatform(from);
        for (size_t to = 0; to < fleet.size(); ++to) {
          if ((from % zones == victim % zones) !=
              (to % zones == victim % zones))
            fleet.Cut(from, to);
        }
      }
      break;
    case Fault::kPlatform:
      fleet.SetPlatformAvailable(false);
      break;
    case Fault::kLoss:
      fleet.network().SetLoss(0.05);
      break;
  }
}

void EndFaults(FleetSimulation& fleet, bool restart) {
  fleet.HealAll();
  fleet.network().SetLoss(0);
  fleet.SetPlatformAvailable(true);
  for (size_t node = 0; node < fleet.size(); ++node) {
    if (fleet.IsPaused(node))
      fleet.Resume(node);
    if (restart && !fleet.IsUp(node))
      fleet.Start(node);
  }
}

void CheckLimits(const FleetSimulation& fleet, Findings& findings) {
  for (const auto& [name, instance] : fleet.instances())
    findings.limit_passed +=
        instance.open_connections() > fleet.options().connection_limit ? 1 : 0;
}

// Compares the views of all nodes with the actual state of the fleet.
void CheckViews(FleetSimulation& fleet, Findings& findings) {
  const size_t zones = fleet.options().zones;
  for (size_t node = 0; node < fleet.size(); ++node) {
    if (!fleet.IsUp(node))
      continue;
    const FleetView view = fleet.node(node).membership().view(fleet.now());
    std::set<VmName> present;
    std::set<ZoneName> contact_zones;
    for (const Member& member : view.zone)
      present.insert(member.node.vm);
    for (const Member& member : view.contacts) {
      present.insert(member.node.vm);
      contact_zones.insert(member.node.zone);
    }
    for (size_t other = 0; other < fleet.size(); ++other) {
      const NodeInfo info = NodeOf(other, zones);
      const bool seen = present.count(info.vm) != 0;
      const bool in_zone = other % zones == node % zones;
      if (!fleet.IsUp(other))
        findings.present_dead += seen ? 1 : 0;
      else if (other != node && in_zone)
        findings.missing_live += seen ? 0 : 1;
      else if (!in_zone)
        findings.missing_live += contact_zones.count(info.zone) ? 0 : 1;
    }
  }
}

Findings RunFaults(Fault first,
                   Fault second,
                   const SimulationOptions& options,
                   uint64_t seed) {
  FleetSimulation fleet(options, seed);
  Findings findings;
  const auto run = [&](Duration time) {
    constexpr Duration kStep = milliseconds(100);
    for (Duration passed{}; passed < time; passed += kStep) {
      fleet.RunFor(kStep);
      CheckLimits(fleet, findings);
    }
  };
  fleet.StartAll();
  run(milliseconds(1'500));
  ApplyFault(fleet, first);
  run(milliseconds(
      std::uniform_int_distribution<int>(0, 1'000)(fleet.random())));
  ApplyFault(fleet, second);
  run(milliseconds(2'500));
  EndFaults(fleet, first == Fault::kRestart || second == Fault::kRestart);
  // A dead node must be removed from all views within 10 s of its death, or of
  // the end of a fault that hid it.
  run(seconds(10));
  CheckViews(fleet, findings);
  findings.opens = fleet.opens();
  findings.refused = fleet.refused_opens();
  return findings;
}

struct TableTotals {
  uint64_t cases = 0;
  uint64_t missing_live = 0;
  uint64_t present_dead = 0;
  uint64_t limit_passed = 0;
  uint64_t opens = 0;
  uint64_t refused = 0;

  double refused_share() const {
    return opens == 0
               ? 0
               : static_cast<double>(refused) / static_cast<double>(opens);
  }
};

TableTotals RunTable(size_t runs,
                     const SimulationOptions& options,
                     uint64_t seed,
                     bool print) {
  TableTotals totals;
  for (size_t run = 0; run < runs; ++run) {
    const auto first = static_cast<Fault>(run % kFaultCount);
    const auto second = static_cast<Fault>(run / kFaultCount % kFaultCount);
    const Findings found = RunFaults(first, second, options, seed + run);
    ++totals.cases;
    totals.missing_live += found.missing_live > 0 ? 1 : 0;
    totals.present_dead += found.present_dead > 0 ? 1 : 0;
    totals.limit_passed += found.limit_passed > 0 ? 1 : 0;
    totals.opens += found.opens;
    totals.refused += found.refused;
    if (print && (found.missing_live > 0 || found.present_dead > 0 ||
                  found.limit_passed > 0))
      std::cout << "broken run SEED=" << seed << " run=" << run
                << " faults=" << run % kFaultCount << ','
                << run / kFaultCount % kFaultCount
                << " missing_live=" << found.missing_live
                << " present_dead=" << found.present_dead
                << " limit_passed=" << found.limit_passed << '\n';
  }
  return totals;
}

// Pauses a node for a minute while another node dies. Returns true if the
// resumed node acted on its old view, or caused live nodes to be declared dead.
bool PauseCausesHarm(Duration pause_limit, uint64_t seed) {
  SimulationOptions options;
  options.change_membership = [pause_limit](MembershipOptions& membership) {
    membership.pause_limit = pause_limit;
  };
  FleetSimulation fleet(options, seed);
  fleet.StartAll();
  fleet.RunFor(milliseconds(1'500));
  const size_t paused = seed % 8;
  const size_t dead = (paused + 3) % 8;
  const bool same_zone = dead % 3 == paused % 3;
  fleet.Pause(paused);
  fleet.RunFor(seconds(20));
  fleet.Kill(dead);
  fleet.Store(paused == 0 ? 1 : 0, "targets", "newer");
  fleet.RunFor(seconds(40));
  bool harmful = false;
  fleet.on_member_changed = [&](size_t node, const Member& member) {
    const bool about_live = member.node.vm != VmOf(dead);
    harmful |= about_live && member.state == MemberState::kDead &&
               node != paused && member.node.vm != VmOf(paused);
  };
  fleet.Resume(paused);
  for (int step = 0; step < 300; ++step) {
    const FleetView view = fleet.node(paused).membership().view(fleet.now());
    for (const Member& member : view.zone)
      harmful |= view.joined && same_zone && member.node.vm == VmOf(dead);
    harmful |= fleet.node(paused).spread().ready() &&
               fleet.in_force(paused, "targets") == 0;
    fleet.RunFor(milliseconds(10));
  }
  return harmful;
}

// Results of draining a node.
struct DrainFindings {
  bool cut = false;
  bool exited = false;
  size_t moved_of_others = 0;
  size_t unused = 0;
  uint64_t refused = 0;
};

DrainFindings RunDrain(Duration work_limit, uint64_t seed) {
  FleetSimulation fleet(SimulationOptions{}, seed);
  fleet.StartAll();
  fleet.RunFor(milliseconds(2'000));
  const size_t leaving = seed % 8;
  std::map<std::pair<size_t, InstanceName>, size_t> before;
  for (size_t node = 0; node < fleet.size(); ++node) {
    for (const auto& [name, instance] : fleet.instances())
      before[{node, name}] = fleet.Connections(node, name);
  }
  DrainOptions options;
  options.work_limit = work_limit;
  DrainMachine drain(options);
  DrainFindings findings;
  // Transactions complete by themselves within three seconds.
  const TimePoint work_ends =
      fleet.now() + milliseconds(2'100 + fleet.random()() % 900);
  const auto apply = [&](const std::vector<DrainEffect>& effects) {
    for (const DrainEffect& effect : effects) {
      if (std::holds_alternative<PublishLeaving>(effect))
        fleet.Feed(leaving, MembershipEvent(AnnounceLeaving{}));
      else if (std::holds_alternative<EndRemainingWork>(effect))
        findings.cut = true;
      else if (std::holds_alternative<CloseAllConnections>(effect))
        fleet.CloseAll(leaving);
      else if (std::holds_alternative<PublishLeft>(effect))
        fleet.Feed(leaving, MembershipEvent(AnnounceLeft{}));
      else if (std::holds_alternative<ExitProcess>(effect))
        findings.exited = true;
    }
  };
  apply(drain.Handle(WorkChanged{4, 2}, fleet.now()));
  apply(drain.Handle(DrainRequested{"test"}, fleet.now()));
  for (int step = 0; step < 600 && !findings.exited; ++step) {
    fleet.RunFor(milliseconds(10));
    const size_t work = fleet.now() < work_ends ? 1 : 0;
    apply(drain.Handle(WorkChanged{work, work}, fleet.now()));
    apply(drain.Handle(
        ConnectionCountChanged{
            fleet.node(leaving).ownership().total_open_or_opening()},
        fleet.now()));
    apply(drain.OnTime(fleet.now()));
  }
  fleet.Kill(leaving);
  fleet.RunFor(milliseconds(1'000));
  for (size_t node = 0; node < fleet.size(); ++node) {
    for (const auto& [name, instance] : fleet.instances()) {
      if (node != leaving &&
          fleet.Connections(node, name) < before[{node, name}])
        ++findings.moved_of_others;
    }
  }
  for (const auto& [name, instance] : fleet.instances())
    findings.unused +=
        fleet.options().connection_limit - instance.open_connections();
  findings.refused = fleet.refused_opens();
  return findings;
}

// The function that divides connections, so that a mutant can replace it.
using Division =
    std::function<std::map<VmName, size_t>(const InstanceName&,
                                           size_t,
                                           const std::vector<VmName>&)>;

bool LeavingMovesOtherShares(const Division& divide, uint64_t seed) {
  std::mt19937_64 random(seed);
  std::vector<VmName> nodes;
  const size_t count = 2 + random() % 8;
  for (size_t node = 0; node < count; ++node)
    nodes.push_back(VmOf(random() % 5'000 * 10 + node));
  const InstanceName instance("instance-" + std::to_string(seed));
  const size_t part = random() % 40;
  const auto before = divide(instance, part, nodes);
  nodes.erase(nodes.begin() + static_cast<std::ptrdiff_t>(random() % count));
  const auto after = divide(instance, part, nodes);
  size_t sum = 0;
  bool moved = false;
  for (const auto& [vm, share] : after) {
    sum += share;
    moved |= share < before.at(vm);
  }
  return moved || sum != part;
}

std::map<VmName, size_t> DivideByIndex(const InstanceName& instance,
                                       size_t part,
                                       const std::vector<VmName>& nodes) {
  std::map<VmName, size_t> shares;
  for (size_t index = 0; index < nodes.size(); ++index) {
    const size_t rank = (index + Hash64(instance.value())) % nodes.size();
    shares[nodes[index]] = PartOfRank(part, rank, nodes.size());
  }
  return shares;
}

int Run() {
  constexpr size_t kRuns = 1'053;
  constexpr size_t kMutantRuns = 81;
  constexpr size_t kPauseRuns = 40;
  constexpr size_t kDrainRuns = 60;
  constexpr size_t kDivisionRuns = 500;
  constexpr double kRefusedShare = 0.01;
  const uint64_t seed = SeedFromEnvironment() * 100'000;

  const TableTotals table = RunTable(kRuns, SimulationOptions{}, seed, true);

  SimulationOptions without_contacts;
  without_contacts.change_membership = [](MembershipOptions& membership) {
    // Contacts are never added, so live nodes are missing from the views.
    membership.contacts_per_zone = 0;
  };
  const TableTotals isolated = RunTable(9, without_contacts, seed, false);
  SimulationOptions long_suspicion;
  long_suspicion.change_membership = [](MembershipOptions& membership) {
    membership.suspicion_time = std::chrono::hours(1);
  };
  const TableTotals slow = RunTable(kMutantRuns, long_suspicion, seed, false);
  SimulationOptions unlimited;
  unlimited.enforced_limit = 1'000;
  const TableTotals unenforced = RunTable(kMutantRuns, unlimited, seed, false);
  SimulationOptions short_backoff;
  short_backoff.change_ownership = [](OwnershipOptions& ownership) {
    ownership.trial_backoff = milliseconds(50);
    ownership.first_backoff = milliseconds(50);
    ownership.longest_backoff = milliseconds(50);
  };
  const TableTotals without_backoff =
      RunTable(kMutantRuns, short_backoff, seed, false);

  const auto caught = [](bool found) { return found ? uint64_t{1} : 0; };
  std::vector<PromiseResult> results;
  results.push_back({"live_nodes_are_kept", table.cases, table.missing_live, 1,
                     caught(isolated.missing_live > 0)});
  results.push_back({"dead_nodes_are_known", table.cases, table.present_dead, 1,
                     caught(slow.present_dead > 0)});
  results.push_back({"connection_limits_hold", table.cases, table.limit_passed,
                     1, caught(unenforced.limit_passed > 0)});
  results.push_back({"refused_opens_are_rare", table.opens,
                     table.refused_share() <= kRefusedShare ? 0 : table.refused,
                     1,
                     caught(without_backoff.refused_share() > kRefusedShare)});
  std::cout << "table=fleet opens=" << table.opens
            << " refused=" << table.refused
            << " refused_share=" << table.refused_share() << '\n';

  PromiseResult division{"leaving_moves_only_own_shares", 0, 0, 1, 0};
  for (size_t run = 0; run < kDivisionRuns; ++run) {
    ++division.cases;
    division.broken += LeavingMovesOtherShares(DivideShares, seed + run);
    if (LeavingMovesOtherShares(DivideByIndex, seed + run))
      division.mutants_caught = 1;
  }
  results.push_back(division);

  PromiseResult drain{"drain_cuts_nothing", 0, 0, 1, 0};
  for (size_t run = 0; run < kDrainRuns; ++run) {
    ++drain.cases;
    const DrainFindings found = RunDrain(seconds(30), seed + run);
    const bool broken = found.cut || !found.exited ||
                        found.moved_of_others > 0 || found.unused > 0 ||
                        found.refused > 0;
    drain.broken += broken ? 1 : 0;
    if (broken)
      std::cout << "broken drain SEED=" << seed << " run=" << run
                << " cut=" << found.cut << " exited=" << found.exited
                << " moved=" << found.moved_of_others
                << " unused=" << found.unused << " refused=" << found.refused
                << '\n';
  }
  drain.mutants_caught = caught(RunDrain(milliseconds(1), seed).cut);
  results.push_back(drain);

  PromiseResult pause{"paused_node_does_no_harm", 0, 0, 1, 0};
  for (size_t run = 0; run < kPauseRuns; ++run) {
    ++pause.cases;
    pause.broken += PauseCausesHarm(seconds(2), seed + run) ? 1 : 0;
  }
  for (size_t run = 0; run < 8; ++run)
    pause.mutants_caught |=
        caught(PauseCausesHarm(std::chrono::hours(1), seed + run));
  results.push_back(pause);
  return PrintPromises(results);
}

}  // namespace
}  // namespace jackdawturn::fleet

int main() {
  return jackdawturn::fleet::Run();
}
