#pragma once

#include <chrono>
#include <cstdint>
#include <mutex>

namespace jackdawturn {

// A reading of a VM's wall clock in microseconds since the Unix epoch.
using ClockTime = std::chrono::sys_time<std::chrono::microseconds>;

// A stamp of a hybrid logical clock. If one event can have caused another, its
// stamp is lower; the reverse does not hold.
struct HybridStamp {
  ClockTime physical;
  uint32_t logical = 0;

  friend auto operator<=>(const HybridStamp&, const HybridStamp&) = default;
};

// The clock of one process, after Kulkarni et al., "Logical Physical Clocks",
// 2014. Its stamps grow strictly, also when the wall clock steps back. No
// decision depends on it; it only orders events for display. Thread safety:
// every method can be called from any thread.
class HybridLogicalClock {
 public:
  // A stamp that is further ahead of the local wall clock than `max_skew` is
  // not adopted, so that one VM with a wrong clock cannot move all others.
  // Precondition: max_skew is not negative.
  explicit HybridLogicalClock(std::chrono::microseconds max_skew);

  // Returns the stamp of a local event or of a message to send. `now` is the
  // reading of the wall clock.
  HybridStamp Send(ClockTime now);

  // Returns the stamp of the receipt of a message that carries `remote`. It is
  // higher than `remote`, unless `remote` is beyond the allowed skew.
  HybridStamp Receive(const HybridStamp& remote, ClockTime now);

  // Number of received stamps that were beyond the allowed skew.
  uint64_t rejected() const;

 private:
  HybridStamp Advance(ClockTime now);

  const std::chrono::microseconds m_max_skew;
  mutable std::mutex m_mutex;
  HybridStamp m_last;
  uint64_t m_rejected = 0;
};

}  // namespace jackdawturn
