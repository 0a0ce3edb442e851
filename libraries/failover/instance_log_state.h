#pragma once

#include <cstdint>

#include "charts/charts.h"
#include "core/core.h"

namespace jackdawturn::failover {

// The states of charts/instance_health.json, in the order of its list: what the
// reports of an instance show of its log. Whether the instance answers is a
// separate question with a level as its answer (FailureDetector), so that
// silence does not end a rebuild.
enum class InstanceLogState : uint8_t {
  kUnknown,
  kCurrent,
  kBehind,
  kRebuilding,
};

// The events of charts/instance_health.json.
enum class InstanceLogEvent : uint8_t {
  kReportCurrent,  // The last entry is of the term of the group.
  kReportBehind,   // Another term, and nothing is known against the log.
  kReportAhead,    // The log has entries that the new primary does not have.
};

// Errors: those of TransitionTable::Create. Thread-safe.
Result<TransitionTable> CompileInstanceHealthChart(const StateChart& chart);

// The built-in chart. Ends the program when it does not agree with the code.
// Thread-safe.
const TransitionTable& InstanceHealthChart();

// Returns the state after `event`. Thread-safe.
InstanceLogState NextLogState(InstanceLogState log_state,
                              InstanceLogEvent event);

// True when reads may use the instance. Thread-safe.
constexpr bool Readable(InstanceLogState log_state) {
  return log_state != InstanceLogState::kRebuilding;
}

}  // namespace jackdawturn::failover
