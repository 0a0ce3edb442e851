#pragma once

#include <optional>
#include <vector>

#include "core/core.h"
#include "routing/routing_options.h"
#include "routing/routing_types.h"

namespace jackdawturn::routing {

// The state of one instance that the choice depends on.
struct Candidate {
  bool primary = false;
  bool excluded = false;
  bool exempt_from_zone_penalty = false;
  // True when the instance currently answers no probe.
  bool stalled = false;
  InstanceHealth health = InstanceHealth::kHealthy;
  // True when its log is known to contain the session's position.
  bool holds_position = false;
  // When it is expected to reach the position, if it has not yet.
  TimePoint expected_at;
  // Its data contains everything committed until this time; empty when no bound
  // is known.
  std::optional<TimePoint> covered_until;
  // Its estimated lag, for the forecast.
  Duration lag{0};
  // Expected time from now until its answer, including the time in the queue.
  Duration answer_time{0};
  // True when its queue has room for the request.
  bool has_place = true;
};

enum class ChoiceKind {
  kUse,     // Queue at `index` now.
  kWait,    // Decide again at `until` or when a new report arrives.
  kRefuse,  // No instance can answer in time.
};

struct Choice {
  ChoiceKind kind = ChoiceKind::kRefuse;
  // Index of the instance to use, or of the replica that is waited for.
  size_t index = 0;
  TimePoint until;
  RefusalReason reason = RefusalReason::kOverloaded;
};

// The constraints on the choice.
struct SelectionConstraints {
  // Empty when only the primary may be used.
  std::optional<Duration> allowed_age;
  TimePoint deadline;
  // Index of a candidate that was tried already and is avoided.
  std::optional<size_t> avoid;
  // False for a hedge, which is sent immediately or not at all.
  bool may_wait = true;
  // False for a hedge, which must not use the scarce capacity of the primary.
  bool may_use_primary = true;
};

// Chooses an instance for a read. An instance that is excluded, down, stalled
// or without room is never chosen. A replica is chosen only when the bound of
// its age shows that its answer will be within the allowed age. Thread-safe.
Choice ChooseInstance(const SelectionConstraints& constraints,
                      const std::vector<Candidate>& candidates,
                      TimePoint now,
                      const ChoiceOptions& options);

}  // namespace jackdawturn::routing
