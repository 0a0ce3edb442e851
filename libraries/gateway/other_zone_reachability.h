#pragma once

#include <map>
#include <optional>
#include <vector>

#include "gateway/gateway_types.h"

namespace jackdawturn::gateway {

// Determines from this proxy's own requests whether the instances of other
// availability zones are reachable. Load pattern: a zone is partitioned while
// its clients still reach its proxies; those can serve almost no requests,
// while proxies of other zones can. Thread safety: not thread-safe.
class OtherZoneReachability {
 public:
  // Evidence older than this is ignored.
  static constexpr Duration kEvidenceTime = std::chrono::milliseconds(1'500);

  void Reached(const InstanceName& id, TimePoint now);
  void Failed(const InstanceName& id, TimePoint now);

  // What the recent requests to instances of other zones indicate.
  enum class Verdict {
    kNone,
    kReached,
    // The last recent request to each instance failed, on at least two.
    kFailing,
    // As kFailing, and on at least half of all instances of other zones.
    kIsolated,
  };

  Verdict Check(const std::vector<InstanceName>& remote, TimePoint now) const;

  // Drops the recorded failures. Called when another zone was reached.
  void ForgetFailures();

 private:
  struct Evidence {
    std::optional<TimePoint> reached;
    std::optional<TimePoint> failed;
  };

  std::map<InstanceName, Evidence> m_evidence;
};

}  // namespace jackdawturn::gateway
