#include "routing/instance_choice.h"

#include <algorithm>

namespace jackdawturn::routing {

namespace {

constexpr Duration kMinWait{1'000};

// A candidate schedule of the read: it is queued at `start` and answered by
// `end`.
struct Plan {
  size_t index = 0;
  TimePoint start;
  TimePoint end;
};

bool Usable(const Candidate& candidate) {
  return !candidate.excluded && !candidate.stalled && candidate.has_place &&
         candidate.health != InstanceHealth::kDown;
}

Duration AnswerTime(const Candidate& candidate, const ChoiceOptions& options) {
  Duration time = candidate.answer_time;
  if (!candidate.exempt_from_zone_penalty)
    time += options.other_zone_penalty;
  if (candidate.health == InstanceHealth::kSuspect)
    time += options.suspect_penalty;
  return time;
}

// Returns the earliest time at which the replica can be used so that its answer
// is within the allowed age; empty when the replica lags too far for that.
std::optional<TimePoint> ReplicaStart(const Candidate& replica,
                                      Duration allowed_age,
                                      TimePoint now) {
  const bool fresh =
      replica.covered_until &&
      now + replica.answer_time - *replica.covered_until <= allowed_age;
  if (fresh)
    return replica.holds_position
               ? now
               : std::max(replica.expected_at, now + kMinWait);
  // The next report arrives after about one answer time and gives a bound of
  // about the lag.
  if (replica.lag + 2 * replica.answer_time > allowed_age)
    return std::nullopt;
  const TimePoint reported = now + std::max(replica.answer_time, kMinWait);
  return replica.holds_position ? reported
                                : std::max(reported, replica.expected_at);
}

void KeepEarlier(std::optional<Plan>& best, const Plan& plan) {
  if (!best || plan.end < best->end)
    best = plan;
}

}  // namespace

Choice ChooseInstance(const SelectionConstraints& constraints,
                      const std::vector<Candidate>& candidates,
                      TimePoint now,
                      const ChoiceOptions& options) {
  std::optional<Plan> replica;
  std::optional<Plan> primary;
  bool primary_usable = false;
  bool replica_usable = false;
  for (size_t index = 0; index < candidates.size(); ++index) {
    const Candidate& candidate = candidates[index];
    if (!Usable(candidate) || constraints.avoid == index)
      continue;
    const Duration answer_time = AnswerTime(candidate, options);
    if (candidate.primary) {
      if (!constraints.may_use_primary)
        continue;
      primary_usable = true;
      if (now + answer_time <= constraints.deadline)
        primary = Plan{index, now, now + answer_time};
      continue;
    }
    if (!constraints.allowed_age)
      continue;
    const auto start = ReplicaStart(candidate, *constraints.allowed_age, now);
    if (!start || *start == TimePoint::max())
      continue;
    replica_usable = true;
    if ((*start > now && !constraints.may_wait) ||
        *start + answer_time > constraints.deadline)
      continue;
    KeepEarlier(replica, Plan{index, *start, *start + answer_time});
  }

  // The capacity of the primary is scarce. The primary is used only when
  // waiting for a replica would take more than `wait_share` of the remaining
  // time, or would leave too little time for the primary if the replica is
  // late.
  const auto wait_end =
      now + std::chrono::duration_cast<Duration>((constraints.deadline - now) *
                                                 options.wait_share);
  const bool replica_in_time =
      replica &&
      (!primary || replica->start == now ||
       (replica->start <= wait_end &&
        replica->start + (primary->end - now) <= constraints.deadline));
  if (replica_in_time && replica->start == now)
    return {ChoiceKind::kUse, replica->index, now, RefusalReason::kOverloaded};
  if (replica_in_time)
    return {ChoiceKind::kWait, replica->index, replica->start,
            RefusalReason::kNoFreshInstance};
  if (primary)
    return {ChoiceKind::kUse, primary->index, now, RefusalReason::kOverloaded};
  if (primary_usable || replica_usable)
    return {ChoiceKind::kRefuse, 0, now, RefusalReason::kOverloaded};
  return {ChoiceKind::kRefuse, 0, now,
          constraints.allowed_age ? RefusalReason::kNoFreshInstance
                                  : RefusalReason::kNoPrimary};
}

}  // namespace jackdawturn::routing
