#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "core/core.h"

namespace jackdawturn::soak {

enum class FaultKind {
  kGatewayTerminated,  // SIGTERM, and a new process.
  kGatewayKilled,      // SIGKILL, and a new process.
  kGatewayStopped,     // SIGSTOP, then SIGCONT.
  kPrimaryCrash,       // Ends, and comes back with its log.
  kReplicaRestart,
  kPrimarySilent,  // Runs nothing; what it was sent runs afterwards.
  kReplicaSilent,
  kPrimaryCut,         // All gateways but one cannot reach it.
  kReplicaLags,        // Applies late what it has received.
  kConnectionsReset,   // Those to the instances of a group, and to the store.
  kConnectionsSilent,  // As before; new connections work.
  kStoreDown,
  kStoreAnswersLost,
  kPromotionsLate,  // Not answered, and carried out seconds later.
  kStoreRestored,   // Down, and comes back as it was some seconds ago.
};
inline constexpr size_t kFaultKinds = 15;

// Returns the name used in reports, for example "primary_crash". Thread-safe.
std::string_view ToString(FaultKind kind);
// Whether the fault's target is the index of a gateway, or of a group.
// Thread-safe.
bool TargetsGateway(FaultKind kind);
bool TargetsGroup(FaultKind kind);

struct Fault {
  // Since the start of the faults.
  Duration begin{0};
  Duration length{0};
  FaultKind kind = FaultKind::kStoreDown;
  // The index of a gateway or group; 0 for the store.
  size_t target = 0;

  friend bool operator==(const Fault&, const Fault&) = default;
};

// Returns one line of a report. Thread-safe.
std::string ToString(const Fault& fault);

struct ScheduleOptions {
  uint64_t seed = 0;
  Duration total{0};
  size_t gateways = 1;
  size_t groups = 1;
};

// Returns faults in the order of their begin, all of which end within the
// total; some follow each other, some overlap. Equal options give equal faults
// everywhere. One group has one failing instance at a time, because its
// instances promise no more, and one gateway one fault. Thread-safe.
std::vector<Fault> MakeSchedule(const ScheduleOptions& options);

}  // namespace jackdawturn::soak
