#pragma once

#include <map>
#include <optional>
#include <string_view>

#include "gateway/gateway_types.h"

namespace jackdawturn::gateway {

// Why an instance should no longer lead its group.
enum class SuspicionReason {
  kRefused,  // It refuses connections.
  kSilent,   // It answers nothing.
  kStalled,  // It answers reads, but no write.
};

// Returns the name used in logs. Thread-safe.
std::string_view ToString(SuspicionReason reason);

// Collects from the requests of this proxy whether instances answer. Load
// pattern: a primary that crashes, falls silent or loses its replicas while
// requests queue in front of it. Thread safety: not thread-safe.
class PrimaryFailureDetector {
 public:
  // An instance that refuses connections has crashed or restarts.
  static constexpr Duration kRefusedTime = std::chrono::milliseconds(120);
  // Longer than the longest statement, with a full queue before it.
  static constexpr Duration kSilentTime = std::chrono::milliseconds(400);
  // A commit also waits for a replica.
  static constexpr Duration kStalledTime = std::chrono::milliseconds(600);

  void Sent(const InstanceName& id, bool write, TimePoint now);
  // Precondition: Sent was called for the same command.
  void Answered(const InstanceName& id, bool write, TimePoint now);
  // The command got no answer and none is expected any more.
  // Precondition: Sent was called for the same command.
  void Lost(const InstanceName& id, bool write, TimePoint now);
  void Refused(const InstanceName& id, TimePoint now);
  // A connection to the instance got no answer to its opening.
  void OpenTimedOut(const InstanceName& id, TimePoint now);
  void Opened(const InstanceName& id);
  void Forget(const InstanceName& id);

  // Writes get no answer, and one is in progress whose answer would show that
  // this has ended.
  bool WritesBlocked(const InstanceName& id, TimePoint now) const;

  std::optional<SuspicionReason> Check(const InstanceName& id,
                                       TimePoint now) const;

 private:
  // Commands without an answer, and since when none was answered.
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
