#include "gateway/other_zone_reachability.h"

namespace jackdawturn::gateway {

namespace {

// A single unreachable instance has probably crashed.
constexpr size_t kMinUnreachableInstances = 2;

}  // namespace

void OtherZoneReachability::Reached(const InstanceName& id, TimePoint now) {
  Evidence& evidence = m_evidence[id];
  evidence.reached = now;
  evidence.failed.reset();
}

void OtherZoneReachability::Failed(const InstanceName& id, TimePoint now) {
  m_evidence[id].failed = now;
}

void OtherZoneReachability::ForgetFailures() {
  for (auto& [id, evidence] : m_evidence)
    evidence.failed.reset();
}

OtherZoneReachability::Verdict OtherZoneReachability::Check(
    const std::vector<InstanceName>& remote,
    TimePoint now) const {
  size_t failures = 0;
  for (const InstanceName& id : remote) {
    const auto found = m_evidence.find(id);
    if (found == m_evidence.end())
      continue;
    const Evidence& evidence = found->second;
    const bool failed =
        evidence.failed && *evidence.failed + kEvidenceTime > now;
    // A failure supersedes an earlier answer.
    if (!failed && evidence.reached && *evidence.reached + kEvidenceTime > now)
      return Verdict::kReached;
    failures += failed ? 1 : 0;
  }
  if (failures < kMinUnreachableInstances)
    return Verdict::kNone;
  return failures * 2 >= remote.size() ? Verdict::kIsolated : Verdict::kFailing;
}

}  // namespace jackdawturn::gateway
