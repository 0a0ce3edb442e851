#include "gateway/primary_failure_detector.h"

namespace jackdawturn::gateway {

std::string_view ToString(SuspicionReason reason) {
  switch (reason) {
    case SuspicionReason::kRefused:
      return "refused";
    case SuspicionReason::kSilent:
      return "silent";
    case SuspicionReason::kStalled:
      return "stalled";
  }
  return "silent";
}

void PrimaryFailureDetector::Sent(const InstanceName& id,
                                  bool write,
                                  TimePoint now) {
  Evidence& evidence = m_evidence[id];
  for (Unanswered* kind : {&evidence.all, &evidence.writes}) {
    if (kind == &evidence.writes && !write)
      continue;
    ++kind->count;
    if (!kind->since)
      kind->since = now;
  }
}

void PrimaryFailureDetector::Answered(const InstanceName& id,
                                      bool write,
                                      TimePoint now) {
  Evidence& evidence = m_evidence[id];
  // Writes that were not answered while the instance was unreachable do not
  // indicate that it has lost its replicas.
  const bool was_unreachable =
      evidence.refused_since ||
      (evidence.all.since && *evidence.all.since + kSilentTime <= now);
  if (was_unreachable && evidence.writes.since)
    evidence.writes.since = now;
  evidence.refused_since.reset();
  for (Unanswered* kind : {&evidence.all, &evidence.writes}) {
    if (kind == &evidence.writes && !write)
      continue;
    kind->since.reset();
    // Forget may have been called since Sent.
    if (kind->count > 0 && --kind->count > 0)
      kind->since = now;
  }
}

void PrimaryFailureDetector::Lost(const InstanceName& id,
                                  bool write,
                                  TimePoint) {
  Evidence& evidence = m_evidence[id];
  // `since` is kept: the time without an answer runs until the next answer.
  if (evidence.all.count > 0)
    --evidence.all.count;
  if (write && evidence.writes.count > 0)
    --evidence.writes.count;
}

void PrimaryFailureDetector::Refused(const InstanceName& id, TimePoint now) {
  auto& since = m_evidence[id].refused_since;
  if (!since)
    since = now;
}

void PrimaryFailureDetector::OpenTimedOut(const InstanceName& id,
                                          TimePoint now) {
  auto& since = m_evidence[id].all.since;
  if (!since)
    since = now;
}

void PrimaryFailureDetector::Opened(const InstanceName& id) {
  Evidence& evidence = m_evidence[id];
  evidence.refused_since.reset();
  if (evidence.all.count == 0)
    evidence.all.since.reset();
}

void PrimaryFailureDetector::Forget(const InstanceName& id) {
  m_evidence.erase(id);
}

bool PrimaryFailureDetector::WritesBlocked(const InstanceName& id,
                                           TimePoint now) const {
  const auto found = m_evidence.find(id);
  if (found == m_evidence.end())
    return false;
  const Unanswered& writes = found->second.writes;
  return writes.count > 0 && writes.since && *writes.since + kSilentTime <= now;
}

std::optional<SuspicionReason> PrimaryFailureDetector::Check(
    const InstanceName& id,
    TimePoint now) const {
  const auto found = m_evidence.find(id);
  if (found == m_evidence.end())
    return std::nullopt;
  const Evidence& evidence = found->second;
  const auto has_lasted = [now](const std::optional<TimePoint>& since,
                                Duration limit) {
    return since && *since + limit <= now;
  };
  if (has_lasted(evidence.refused_since, kRefusedTime))
    return SuspicionReason::kRefused;
  if (has_lasted(evidence.all.since, kSilentTime))
    return SuspicionReason::kSilent;
  if (has_lasted(evidence.writes.since, kStalledTime))
    return SuspicionReason::kStalled;
  return std::nullopt;
}

}  // namespace jackdawturn::gateway
