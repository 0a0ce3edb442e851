#pragma once

#include <map>
#include <optional>
#include <vector>

#include "gateway/gateway_types.h"

namespace jackdawturn::gateway {

// Tells whether this proxy is cut off from the instances of other availability
// zones. Load pattern: a zone is cut off while its clients still reach its
// proxies; those can serve nearly nothing, while proxies of other zones can.
// Thread safety: not thread-safe.
class ZoneReach {
 public:
  // Older evidence counts for nothing.
  static constexpr Duration kEvidenceTime = std::chrono::milliseconds(1'500);

  void Reached(const InstanceName& id, TimePoint now);
  void Failed(const InstanceName& id, TimePoint now);

  // Returns whether at least two and at least half of the instances of other
  // zones were tried lately, all without success.
  bool Isolated(const std::vector<InstanceName>& remote, TimePoint now) const;

 private:
  struct Evidence {
    std::optional<TimePoint> reached;
    std::optional<TimePoint> failed;
  };

  std::map<InstanceName, Evidence> m_evidence;
};

}  // namespace jackdawturn::gateway
