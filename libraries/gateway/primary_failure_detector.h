#pragma once

#include <map>
#include <optional>
#include <string_view>

#include "gateway/gateway_types.h"

namespace jackdawturn::gateway {

// Why an instance should no longer be primary of its group.
enum class SuspicionReason {
  kRefused,  // It refuses connections.
  kSilent,   // It is unresponsive.
  kStalled,  // It answers reads, but no writes.
};

// Returns the name used in logs. Thread-safe.
std::string_view ToString(SuspicionReason reason);

// Determines from the requests of this proxy whether instances respond. Load
// pattern: a primary that crashes, becomes unresponsive or loses its replicas
// while requests are queued for it. Thread safety: not thread-safe.
class PrimaryFailureDetector {
 public:
  // Short, because an instance that refuses connections has crashed or is
  // restarting.
  static constexpr Duration kRefusedTime = std::chrono::milliseconds(120);
  // Longer than the longest statement takes behind a full queue.
  static constexpr Duration kSilentTime = std::chrono::milliseconds(400);
  // Longer than kSilentTime, because a commit also waits for a replica.
  static constexpr Duration kStalledTime = std::chrono::milliseconds(600);

  void Sent(const InstanceName& id, bool write, TimePoint now);
  // Precondition: Sent was called for the same command.
  void Answered(const InstanceName& id, bool write, TimePoint now);
  // Called when the command was not answered and no answer is expected any
  // more. Precondition: Sent was called for the same command.
  void Lost(const InstanceName& id, bool write, TimePoint now);
  void Refused(const InstanceName& id, TimePoint now);
  // Called when opening a connection to the instance timed out.
  void OpenTimedOut(const InstanceName& id, TimePoint now);
  void Opened(const InstanceName& id);
  void Forget(const InstanceName& id);

  // Returns whether writes have gone unanswered for kSilentTime and one is
  // still in flight, whose answer would show that writes are answered again.
  bool WritesBlocked(const InstanceName& id, TimePoint now) const;

  std::optional<SuspicionReason> Check(const InstanceName& id,
                                       TimePoint now) const;

 private:
  // The number of unanswered commands, and since when none was answered.
  struct Unanswered {
    size_t count = 0;
    std::optional<TimePoint> since;
  };

  struct Evidence {
    Unanswered all;
    Unanswered writes;
    std::optional<TimePoint> refused_since;
  };

  std::map<InstanceName, Evidence> m_evidence;
};

}  // namespace jackdawturn::gateway
