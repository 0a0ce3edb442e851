#pragma once

#include <chrono>
#include <cstdint>

namespace jackdawturn {

// All durations of the decision modules, in microseconds.
using Duration = std::chrono::microseconds;

// A monotonic clock of one VM. Decision modules never read it; they take a
// TimePoint as an argument, which is virtual in tests.
struct MonotonicClock {
  using duration = Duration;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<MonotonicClock, duration>;
  static constexpr bool is_steady = true;

  // Returns the current time of std::chrono::steady_clock. Thread-safe.
  static time_point now() {
    return time_point(std::chrono::duration_cast<duration>(
        std::chrono::steady_clock::now().time_since_epoch()));
  }
};

using TimePoint = MonotonicClock::time_point;

// A wall-clock time in milliseconds since the Unix epoch, as it stands in
// request ids (RFC 9562, section 5.7). No decision that guards a promise
// compares the wall clocks of two VMs.
using WallTime = std::chrono::sys_time<std::chrono::milliseconds>;

// Returns the duration in milliseconds with a fraction, for logs and reports.
inline double ToMilliseconds(Duration duration) {
  return std::chrono::duration<double, std::milli>(duration).count();
}

}  // namespace jackdawturn
