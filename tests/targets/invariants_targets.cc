#include <iostream>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "core/core.h"
#include "standins/standins.h"
#include "support/reports.h"
#include "support/virtual_network.h"
#include "targets/targets.h"

namespace jackdawturn::targets {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr size_t kNodes = 6;
constexpr size_t kZones = 2;
constexpr const char* kKey = "targets";

enum class Fault {
  kNone,
  kRestart,
  kPartition,
  kOneWay,
  kOutage,
  kLostAnswer,
  kLoss,
  kStaleRead,  // A restarted proxy reads an old version from the store.
};
constexpr size_t kFaultCount = 8;

// Deliberate faults that prove that the checks detect them.
enum class Mutant {
  kNone,
  kServesImmediately,
  kNoPushNoDigest,
  kDropsChangeIds
};

std::string Document(uint64_t number) {
  return R"({"classes":{"stock_view":{"allowed_age_ms":)" +
         std::to_string(number + 1) +
         R"(,"answer_time_ms":200,"repeatable":true}}})";
}

struct Findings {
  bool reverted = false;
  bool not_in_force = false;
  // Two concurrent changes did not end with one accepted and one conflict.
  bool race_wrong = false;
};

// Proxies that spread versions, two operators, and the platform. The peers are
// fixed; membership is tested by the fleet's fault table.
class SpreadTable {
 public:
  SpreadTable(uint64_t seed, Mutant mutant)
      : m_mutant(mutant),
        m_network(m_scheduler,
                  seed,
                  [](const std::string&, const std::string&, std::mt19937_64&) {
                    return Duration(500);
                  }),
        m_seed(seed) {
    for (size_t node = 0; node < kNodes; ++node)
      Start(node);
  }

  Findings Run(Fault first, Fault second) {
    RunFor(milliseconds(600));
    Edit(0, 1, std::nullopt);
    RunFor(milliseconds(300));
    Edit(0, 4, std::nullopt);
    RunFor(milliseconds(400));
    Apply(first);
    Apply(second);
    // Two operators change the same version concurrently.
    const ObjectVersion seen = m_stored_version;
    Edit(1, 2, seen);
    Edit(kNodes - 1, 3, seen);
    RunFor(milliseconds(2'500));
    End();
    RunFor(milliseconds(3'500));
    Check();
    return m_findings;
  }

 private:
  struct Node {
    std::unique_ptr<VersionSpread> spread;
    uint64_t life = 0;
    TimePoint wake_at = TimePoint::max();
    uint64_t in_force = 0;
  };
  struct Operator {
    std::unique_ptr<TargetsEditor> editor;
    std::optional<EditOutcome> outcome;
    size_t node = 0;
    TimePoint wake_at = TimePoint::max();
  };

  static std::string Name(size_t node) { return "vm-" + std::to_string(node); }
  static size_t Index(const VmName& vm) {
    return std::stoul(vm.value().substr(3));
  }
  static ZoneName Zone(size_t node) {
    return ZoneName("zone-" + std::to_string(node % kZones));
  }

  void RunFor(Duration time) { m_scheduler.RunUntil(m_scheduler.now() + time); }

  void Start(size_t node) {
    Node& state = m_nodes[node];
    m_network.Restart(Name(node));
    ++state.life;
    SpreadOptions options;
    options.self = VmName(Name(node));
    options.zone = Zone(node);
    options.prefixes = {kKey};
    options.watch_timeout = milliseconds(1'000);
    options.longest_retry = milliseconds(2'000);
    if (m_mutant == Mutant::kNoPushNoDigest) {
      options.push_fanout = 0;
      options.digest_interval = std::chrono::hours(1);
      options.watchers_per_zone = 1;
    }
    state.spread = std::make_unique<VersionSpread>(
        options, std::mt19937_64(m_seed * 31 + node * 7 + state.life));
    SpreadPeers peers;
    peers.joined = true;
    if (m_mutant == Mutant::kServesImmediately && state.life > 1) {
      // Serves the version read from the store without asking a peer.
      Feed(node, peers);
      return;
    }
    for (size_t other = 0; other < kNodes; ++other) {
      if (other == node)
        continue;
      if (Zone(other) == Zone(node))
        peers.zone.push_back(VmName(Name(other)));
      else if (m_mutant != Mutant::kNoPushNoDigest)
        peers.contacts[Zone(other)].push_back(VmName(Name(other)));
    }
    Feed(node, peers);
  }

  void Feed(size_t node, const SpreadEvent& event) {
    Node& state = m_nodes[node];
    if (state.spread == nullptr)
      return;
    Perform(node, state.spread->Handle(event, m_scheduler.now()));
  }

  void Perform(size_t node, const std::vector<SpreadEffect>& effects) {
    for (const SpreadEffect& effect : effects) {
      if (const auto* send = std::get_if<SendSpreadMessage>(&effect)) {
        const size_t to = Index(send->to);
        m_network.Send(
            Name(node), Name(to), [this, node, to, bytes = send->bytes] {
              Feed(to, SpreadMessageReceived{VmName(Name(node)), bytes});
            });
      } else if (const auto* watch = std::get_if<StartWatch>(&effect)) {
        Watch(node, *watch);
      } else if (const auto* force = std::get_if<VersionInForce>(&effect)) {
        InForce(node, force->object.version.value);
      }
    }
    Wake(node);
  }

  void InForce(size_t node, uint64_t version) {
    Node& state = m_nodes[node];
    // A restarted proxy may accept old versions before it serves.
    if (version < state.in_force && state.spread->ready())
      m_findings.reverted = true;
    state.in_force = std::max(state.in_force, version);
  }

  void Wake(size_t node) {
    Node& state = m_nodes[node];
    const TimePoint next = state.spread->NextWakeup();
    if (next == TimePoint::max() ||
        (next >= state.wake_at && state.wake_at > m_scheduler.now()))
      return;
    state.wake_at = std::max(next, m_scheduler.now());
    m_network.After(Name(node), state.wake_at - m_scheduler.now(),
                    [this, node, life = state.life, at = state.wake_at] {
                      Node& woken = m_nodes[node];
                      if (woken.life != life || woken.wake_at != at)
                        return;
                      woken.wake_at = TimePoint::max();
                      CheckServing(node);
                      Perform(node, woken.spread->OnTime(m_scheduler.now()));
                      CheckServing(node);
                    });
  }

  // A serving proxy must not have an older version than before its restart.
  void CheckServing(size_t node) {
    const Node& state = m_nodes[node];
    const uint64_t held = state.spread->table().VersionOf(kKey).value;
    if (state.spread->ready() && held < state.in_force &&
        state.in_force <= m_common_version)
      m_findings.reverted = true;
  }

  void Watch(size_t node, const StartWatch& watch) {
    // Models a pending watch by polling at short intervals.
    const TimePoint ends = m_scheduler.now() + watch.timeout;
    Ask(node, watch, ends);
  }

  void Ask(size_t node, const StartWatch& watch, TimePoint ends) {
    m_network.After(Name(node), milliseconds(2), [this, node, watch, ends] {
      const auto changes =
          m_platform.ChangesAfter(watch.prefix, watch.after_revision);
      if (!changes || m_cut == node) {
        Feed(node, WatchFailed{watch.prefix});
        return;
      }
      WatchAnswered answer{watch.prefix, {}, m_platform.revision()};
      for (const VersionedObject& object : changes.value())
        answer.changes.push_back({object.key, object.version, object.value});
      if (m_stale && !answer.changes.empty()) {
        // Reads and watches without a condition can return stale versions.
        answer.changes = {SpreadObject{kKey, ObjectVersion{1}, m_first_value}};
        answer.revision = 1;
      }
      if (answer.changes.empty() && m_scheduler.now() < ends)
        m_network.After(Name(node), milliseconds(100),
                        [this, node, watch, ends] { Ask(node, watch, ends); });
      else
        Feed(node, answer);
    });
  }

  void Edit(size_t node, uint64_t number, std::optional<ObjectVersion> seen) {
    Operator& op = m_operators[number];
    op.node = node;
    op.editor = std::make_unique<TargetsEditor>(
        EditorOptions{}, std::mt19937_64(m_seed + number));
    PerformEdit(number,
                op.editor->Handle(
                    SetTargets{ChangeId("change-" + std::to_string(number)),
                               seen, Document(number)},
                    m_scheduler.now()));
  }

  void PerformEdit(uint64_t number, const std::vector<EditorEffect>& effects) {
    Operator& op = m_operators[number];
    for (const EditorEffect& effect : effects) {
      if (const auto* read = std::get_if<ReadTargetsObject>(&effect))
        Call(number, [this, key = read->key]() -> EditorEvent {
          const auto object = m_platform.Read(key);
          if (!object)
            return PlatformUnanswered{};
          std::string value = object.value().value;
          // The mutant removes the change ids, so its own change is not
          // recognised.
          if (m_mutant == Mutant::kDropsChangeIds && !value.empty())
            value = SerializeStoredTargets(
                {ParseStoredTargets(value).value().classes, {}, {}});
          return ObjectRead{object.value().version, value};
        });
      else if (const auto* update = std::get_if<UpdateTargetsObject>(&effect))
        Call(number, [this, update = *update]() -> EditorEvent {
          const auto stored =
              m_platform.Update(update.key, update.expected, update.value);
          if (stored)
            return ObjectUpdated{stored.value().version};
          if (stored.error().code == ErrorCode::kConflict)
            return UpdateConflict{};
          return PlatformUnanswered{};
        });
      else if (const auto* finished = std::get_if<EditFinished>(&effect))
        Finish(number, *finished);
    }
    const TimePoint next = op.editor->NextWakeup();
    if (next != TimePoint::max())
      m_scheduler.At(next, [this, number] {
        PerformEdit(number,
                    m_operators[number].editor->OnTime(m_scheduler.now()));
      });
  }

  void Call(uint64_t number, std::function<EditorEvent()> call) {
    m_scheduler.After(milliseconds(2), [this, number, call = std::move(call)] {
      PerformEdit(number, m_operators[number].editor->Handle(
                              call(), m_scheduler.now()));
    });
  }

  void Finish(uint64_t number, const EditFinished& finished) {
    Operator& op = m_operators[number];
    op.outcome = finished.outcome;
    if (finished.outcome != EditOutcome::kAccepted)
      return;
    if (m_first_value.empty())
      m_first_value = finished.value;
    m_stored_version = std::max(m_stored_version, finished.version);
    if (m_mutant != Mutant::kNoPushNoDigest)
      Feed(op.node,
           LocalObjectUpdate{{kKey, finished.stored_version, finished.value}});
  }

  void Apply(Fault fault) {
    const size_t victim = m_network.random()() % kNodes;
    switch (fault) {
      case Fault::kNone:
        break;
      case Fault::kStaleRead:
        m_stale = true;
        [[fallthrough]];
      case Fault::kRestart:
        m_common_version = m_stored_version.value;
        m_network.Crash(Name(victim));
        Start(victim);
        break;
      case Fault::kPartition:
      case Fault::kOneWay:
        if (fault == Fault::kPartition)
          m_cut = victim;
        for (size_t other = 0; other < kNodes; ++other) {
          m_network.Cut(Name(victim), Name(other));
          if (fault == Fault::kPartition)
            m_network.Cut(Name(other), Name(victim));
        }
        break;
      case Fault::kOutage:
        m_platform.SetAvailable(false);
        break;
      case Fault::kLostAnswer:
        m_platform.LoseAnswers(1);
        break;
      case Fault::kLoss:
        m_network.SetLoss(0.1);
        break;
    }
  }

  void End() {
    m_platform.SetAvailable(true);
    m_network.SetLoss(0);
    m_cut.reset();
    m_stale = false;
    for (size_t from = 0; from < kNodes; ++from) {
      for (size_t to = 0; to < kNodes; ++to)
        m_network.Heal(Name(from), Name(to));
    }
  }

  void Check() {
    const auto stored = m_platform.Read(kKey);
    const uint64_t version = stored.value().version.value;
    for (size_t node = 0; node < kNodes; ++node) {
      const uint64_t held = m_nodes[node].spread->table().VersionOf(kKey).value;
      m_findings.not_in_force |= held != version;
    }
    size_t accepted = 0;
    size_t conflicts = 0;
    for (const uint64_t number : {2, 3}) {
      const auto outcome = m_operators[number].outcome;
      accepted += outcome == EditOutcome::kAccepted ? 1 : 0;
      conflicts += outcome == EditOutcome::kConflict ? 1 : 0;
    }
    m_findings.race_wrong = accepted != 1 || conflicts != 1;
  }

  Mutant m_mutant;
  VirtualScheduler m_scheduler;
  VirtualNetwork m_network;
  uint64_t m_seed;
  PlatformStore m_platform;
  std::map<size_t, Node> m_nodes;
  std::map<uint64_t, Operator> m_operators;
  std::optional<size_t> m_cut;
  bool m_stale = false;
  std::string m_first_value;
  ObjectVersion m_stored_version;
  // The version in force on all proxies when the fault began.
  uint64_t m_common_version = 0;
  Findings m_findings;
};

int Run() {
  constexpr size_t kRuns = 4'000;
  constexpr size_t kMutantRuns = 64;
  const uint64_t seed = SeedFromEnvironment() * 1'000'000;
  PromiseResult force{"accepted_targets_are_in_force", 0, 0, 1, 0};
  PromiseResult revert{"targets_never_revert", 0, 0, 1, 0};
  PromiseResult race{"one_of_two_operators_succeeds", 0, 0, 1, 0};
  for (size_t run = 0; run < kRuns; ++run) {
    const auto first = static_cast<Fault>(run % kFaultCount);
    const auto second = static_cast<Fault>(run / kFaultCount % kFaultCount);
    const Findings found =
        SpreadTable(seed + run, Mutant::kNone).Run(first, second);
    ++force.cases;
    ++revert.cases;
    ++race.cases;
    force.broken += found.not_in_force ? 1 : 0;
    revert.broken += found.reverted ? 1 : 0;
    race.broken += found.race_wrong ? 1 : 0;
    if (found.not_in_force || found.reverted || found.race_wrong)
      std::cout << "broken run SEED=" << SeedFromEnvironment() << " run=" << run
                << " faults=" << run % kFaultCount << ','
                << run / kFaultCount % kFaultCount
                << " not_in_force=" << found.not_in_force
                << " reverted=" << found.reverted
                << " race_wrong=" << found.race_wrong << '\n';
  }
  for (size_t run = 0; run < kMutantRuns; ++run) {
    const auto first = static_cast<Fault>(run % kFaultCount);
    const auto second = static_cast<Fault>(run / kFaultCount % kFaultCount);
    if (SpreadTable(seed + run, Mutant::kNoPushNoDigest)
            .Run(first, second)
            .not_in_force)
      force.mutants_caught = 1;
    if (SpreadTable(seed + run, Mutant::kDropsChangeIds)
            .Run(first, second)
            .race_wrong)
      race.mutants_caught = 1;
    if (SpreadTable(seed + run, Mutant::kServesImmediately)
            .Run(first, second)
            .reverted)
      revert.mutants_caught = 1;
  }
  return PrintPromises({force, revert, race});
}

}  // namespace
}  // namespace jackdawturn::targets

int main() {
  return jackdawturn::targets::Run();
}
