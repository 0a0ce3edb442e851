#pragma once

#include "core/core.h"
#include "gateway/timers.h"

namespace jackdawturn::gateway {

// What a process that is to stop still does. Ordered by time.
enum class DrainPhase {
  // Serves everything: the balancer may still send new connections.
  kServing,
  // Ends sessions between two operations.
  kClosing,
  // Begins no transaction, rolls open ones back, and runs only statements that
  // end in time.
  kEndingTransactions,
  // Runs nothing more, and answers all statements that are still in progress.
  kAnswering,
  // Ends, whether or not its answers were read.
  kEnded,
};

// The times of the phases of one drain. Immutable, so thread-safe.
class DrainSchedule {
 public:
  // `grace` is the time from `started` until the process is killed;
  // `balancer_time` the time until no new connections come.
  DrainSchedule(TimePoint started, Duration grace, Duration balancer_time);

  DrainPhase PhaseAt(TimePoint now) const;

  // Returns whether a statement that starts now and takes up to `longest` is
  // answered before the last phases.
  bool HasTimeFor(TimePoint now, Duration longest) const {
    return now + longest <= m_answering;
  }

 private:
  const TimePoint m_closing;
  const TimePoint m_ending_transactions;
  const TimePoint m_answering;
  const TimePoint m_ended;
};

}  // namespace jackdawturn::gateway
