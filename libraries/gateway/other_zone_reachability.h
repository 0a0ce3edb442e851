#pragma once

#include <map>
#include <optional>
#include <vector>

#include "gateway/gateway_types.h"

namespace jackdawturn::gateway {

// Tells from this proxy's own requests whether the instances of other
// availability zones can be reached. Load pattern: a zone is cut off while its
// clients still reach its proxies; those can serve nearly nothing, while
// proxies of other zones can. Thread safety: not thread-safe.
class OtherZoneReachability {
 public:
  // Older evidence counts for nothing.
  static constexpr Duration kEvidenceTime = std::chrono::milliseconds(1'500);

  void Reached(const InstanceName& id, TimePoint now);
  void Failed(const InstanceName& id, TimePoint now);

  // What the instances of other zones have shown.
  enum class Verdict {
    kNone,
    kReached,
    // Those that were tried lately failed, at least two of them.
    kFailing,
    // As kFailing, and they are at least half of all.
    kIsolated,
  };

  Verdict Check(const std::vector<InstanceName>& remote, TimePoint now) const;

  // Drops the failures: the zone was shown to be connected.
  void ForgetFailures();

 private:
  struct Evidence {
    std::optional<TimePoint> reached;
    std::optional<TimePoint> failed;
  };

  std::map<InstanceName, Evidence> m_evidence;
};

}  // namespace jackdawturn::gateway
