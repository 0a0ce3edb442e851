#include "gateway/read_selection.h"

#include <algorithm>
#include <tuple>

namespace jackdawturn::gateway {

namespace {

// Writes need the primary, so a read is sent there only when the replicas have
// this many more requests outstanding.
constexpr size_t kPrimaryReserve = 2;

// An instance that is held back counts as one with at least this many requests
// outstanding: it is full, although few of them are in progress.
constexpr size_t kHeldBackLoad = 16;

// Lower is better.
std::tuple<bool, size_t, bool> CostOf(const ReadCandidate& candidate) {
  const size_t outstanding =
      candidate.held_back ? std::max(candidate.outstanding, kHeldBackLoad)
                          : candidate.outstanding;
  const size_t load = outstanding + (candidate.primary ? kPrimaryReserve : 0) +
                      (candidate.connected ? 0 : 1);
  return {candidate.unreachable, load, !candidate.same_zone};
}

bool MayHaveApplied(const ReadCandidate& candidate,
                    CommitPosition required,
                    bool recently_written) {
  if (candidate.primary)
    return true;
  if (candidate.applied && *candidate.applied >= required)
    return true;
  return !candidate.lagging && !recently_written;
}

}  // namespace

std::optional<InstanceName> ChooseReadInstance(
    const std::vector<ReadCandidate>& candidates,
    const std::optional<CommitPosition>& required,
    bool recently_written,
    const std::set<InstanceName>& avoided) {
  const ReadCandidate* best = nullptr;
  for (const ReadCandidate& candidate : candidates) {
    if (avoided.contains(candidate.id))
      continue;
    if (!candidate.primary &&
        (!required || !MayHaveApplied(candidate, *required, recently_written)))
      continue;
    if (!best || CostOf(candidate) < CostOf(*best))
      best = &candidate;
  }
  if (!best)
    return std::nullopt;
  return best->id;
}

}  // namespace jackdawturn::gateway
