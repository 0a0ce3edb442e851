#pragma once

#include <cstdint>

#include "charts/charts.h"
#include "core/core.h"

namespace jackdawturn::failover {

// The states of charts/instance_health.json, in the same order: the state of an
// instance's log according to its reports. FailureDetector tracks separately,
// as a level, whether the instance answers, so that silence does not end a
// rebuild.
enum class InstanceLogState : uint8_t {
  kUnknown,
  kCurrent,
  kBehind,
  kRebuilding,
};

// The events of charts/instance_health.json.
enum class InstanceLogEvent : uint8_t {
  kReportCurrent,  // The last entry is of the group's current term.
  kReportBehind,   // Another term, but the log is not known to diverge.
  kReportAhead,    // The log has entries that the new primary does not have.
};

// Errors: those of TransitionTable::Create. Thread-safe.
Result<TransitionTable> CompileInstanceHealthChart(const StateChart& chart);

// Returns the built-in chart. Terminates the program when it does not match the
// code. Thread-safe.
const TransitionTable& InstanceHealthChart();

// Returns the state after `event`. Thread-safe.
InstanceLogState NextLogState(InstanceLogState log_state,
                              InstanceLogEvent event);

// True when reads may use the instance. Thread-safe.
constexpr bool Readable(InstanceLogState log_state) {
  return log_state != InstanceLogState::kRebuilding;
}

}  // namespace jackdawturn::failover
