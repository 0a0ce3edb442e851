#pragma once

#include <cstdint>
#include <functional>

#include "core/core.h"

namespace jackdawturn::gateway {

// Interface of a clock and its timers. Thread safety: all methods and actions
// run on one thread.
class Timers {
 public:
  using TimerId = uint64_t;

  virtual ~Timers() = default;

  // Returns a monotonic time that includes suspensions of the VM, so that
  // observations from before a suspension do not count as recent.
  virtual TimePoint now() const = 0;

  // Runs the action once after the delay. Returns an id that is not 0.
  virtual TimerId After(Duration delay, std::function<void()> action) = 0;

  // Cancels a timer. Has no effect on 0 and on timers that have run.
  virtual void Cancel(TimerId timer) = 0;
};

}  // namespace jackdawturn::gateway
