#include "soak/schedule.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <iterator>
#include <random>

namespace jackdawturn::soak {

namespace {

using namespace std::chrono_literals;  // NOLINT(google-build-using-namespace)

enum class Target { kGateway, kGroup, kStore };

struct KindEntry {
  FaultKind kind;
  std::string_view name;
  Target target;
  std::chrono::milliseconds shortest;
  std::chrono::milliseconds longest;
  // How often it is chosen.
  size_t weight = 1;
};
constexpr std::array<KindEntry, kFaultKinds> kKinds = {{
    {FaultKind::kGatewayTerminated, "gateway_terminated", Target::kGateway,
     100ms, 1'000ms},
    {FaultKind::kGatewayKilled, "gateway_killed", Target::kGateway, 100ms,
     1'500ms},
    {FaultKind::kGatewayStopped, "gateway_stopped", Target::kGateway, 50ms,
     3'000ms, 2},
    {FaultKind::kPrimaryCrash, "primary_crash", Target::kGroup, 200ms, 4'000ms,
     4},
    {FaultKind::kReplicaRestart, "replica_restart", Target::kGroup, 50ms,
     2'000ms, 2},
    {FaultKind::kPrimarySilent, "primary_silent", Target::kGroup, 100ms,
     3'000ms, 2},
    {FaultKind::kReplicaSilent, "replica_silent", Target::kGroup, 100ms,
     3'000ms},
    {FaultKind::kPrimaryCut, "primary_cut", Target::kGroup, 500ms, 4'000ms, 4},
    {FaultKind::kReplicaLags, "replica_lags", Target::kGroup, 500ms, 3'000ms},
    {FaultKind::kConnectionsReset, "connections_reset", Target::kGroup, 0ms,
     0ms},
    {FaultKind::kConnectionsSilent, "connections_silent", Target::kGroup, 0ms,
     0ms},
    {FaultKind::kStoreDown, "store_down", Target::kStore, 200ms, 3'000ms},
    {FaultKind::kStoreAnswersLost, "store_answers_lost", Target::kStore, 500ms,
     4'000ms},
    {FaultKind::kPromotionsLate, "promotions_late", Target::kStore, 1'000ms,
     5'000ms, 2},
    {FaultKind::kStoreRestored, "store_restored", Target::kStore, 100ms,
     1'500ms, 2},
}};

const KindEntry& EntryOf(FaultKind kind) {
  return *std::find_if(
      kKinds.begin(), kKinds.end(),
      [&](const KindEntry& entry) { return entry.kind == kind; });
}

// Whether the fault takes an instance of its group away.
bool TakesInstance(FaultKind kind) {
  return kind == FaultKind::kPrimaryCrash ||
         kind == FaultKind::kReplicaRestart ||
         kind == FaultKind::kPrimarySilent ||
         kind == FaultKind::kReplicaSilent || kind == FaultKind::kPrimaryCut;
}

// The distributions of the standard library differ between libraries.
Duration Between(std::mt19937_64& random, Duration from, Duration to) {
  const auto range = static_cast<uint64_t>((to - from).count()) + 1;
  return from + Duration(static_cast<int64_t>(random() % range));
}

// The time for which a fault has its target for itself.
struct Occupied {
  std::vector<Duration> until;

  bool Take(size_t index, const Fault& fault, Duration pause) {
    if (fault.begin < until[index])
      return false;
    until[index] = fault.begin + fault.length + pause;
    return true;
  }
};

}  // namespace

std::string_view ToString(FaultKind kind) {
  return EntryOf(kind).name;
}

bool TargetsGateway(FaultKind kind) {
  return EntryOf(kind).target == Target::kGateway;
}

bool TargetsGroup(FaultKind kind) {
  return EntryOf(kind).target == Target::kGroup;
}

std::string ToString(const Fault& fault) {
  constexpr size_t kSize = 128;
  char text[kSize];
  const std::string name(ToString(fault.kind));
  std::snprintf(text, sizeof(text), "%9.3f s %s %zu for %.3f s",
                ToMilliseconds(fault.begin) / 1'000, name.c_str(), fault.target,
                ToMilliseconds(fault.length) / 1'000);
  return text;
}

std::vector<Fault> MakeSchedule(const ScheduleOptions& options) {
  // A group needs time to have a primary and two replicas again.
  constexpr Duration kInstancePause = 2'000ms;
  // A gateway drains, and starts again, after the fault's time.
  constexpr Duration kGatewayPause = 6'000ms;
  // Tries in a row that find their target taken, before the time goes on.
  constexpr int kTries = 20;
  std::mt19937_64 random(options.seed);
  Occupied gateways{std::vector<Duration>(options.gateways, Duration(0))};
  Occupied groups{std::vector<Duration>(options.groups, Duration(0))};
  Occupied kinds{std::vector<Duration>(kFaultKinds, Duration(0))};
  std::vector<Fault> faults;
  Duration time = Between(random, 100ms, 500ms);
  int tries = 0;
  std::vector<size_t> choices;
  for (size_t index = 0; index < kFaultKinds; ++index)
    choices.insert(choices.end(), kKinds[index].weight, index);
  while (time < options.total) {
    const size_t index = choices[random() % choices.size()];
    const KindEntry& entry = kKinds[index];
    Fault fault{time, Between(random, entry.shortest, entry.longest),
                entry.kind, 0};
    const bool gateway = entry.target == Target::kGateway;
    if (entry.target != Target::kStore)
      fault.target = random() % (gateway ? options.gateways : options.groups);
    const bool fits = fault.begin + fault.length <= options.total;
    const bool free =
        fits && (gateway ? gateways.Take(fault.target, fault, kGatewayPause)
                 : TakesInstance(entry.kind)
                     ? groups.Take(fault.target, fault, kInstancePause)
                     : kinds.Take(index, fault, 0ms));
    if (!free && ++tries < kTries)
      continue;
    tries = 0;
    if (free)
      faults.push_back(fault);
    // Most faults overlap with the one before.
    const bool series = random() % 4 == 0;
    time += series ? fault.length + Between(random, 200ms, 1'000ms)
                   : Between(random, 20ms, 700ms);
  }
  return faults;
}

}  // namespace jackdawturn::soak
