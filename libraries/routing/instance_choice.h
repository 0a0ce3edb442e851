#pragma once

#include <optional>
#include <vector>

#include "core/core.h"
#include "routing/routing_options.h"
#include "routing/routing_types.h"

namespace jackdawturn::routing {

// What the choice needs to know of one instance at one time.
struct Candidate {
  bool primary = false;
  bool excluded = false;
  bool exempt_from_zone_penalty = false;
  // The instance answers nothing at present.
  bool stalled = false;
  InstanceHealth health = InstanceHealth::kHealthy;
  // True when its data is known to hold the session's position.
  bool holds_position = false;
  // When it will hold the position, if it does not yet.
  TimePoint expected_at;
  // All that was committed until then is in its data; empty for no bound.
  std::optional<TimePoint> covered_until;
  // Its estimated lag, for the forecast.
  Duration lag{0};
  // Expected time from now until its answer, queue included.
  Duration answer_time{0};
  // True when its queue has a place for the request.
  bool has_place = true;
};

enum class ChoiceKind {
  kUse,     // Queue at `index` now.
  kWait,    // Decide again at `until` or when new evidence comes.
  kRefuse,  // No instance can answer in time.
};

struct Choice {
  ChoiceKind kind = ChoiceKind::kRefuse;
  // Index of the instance to use, or of the replica that is waited for.
  size_t index = 0;
  TimePoint until;
  RefusalReason reason = RefusalReason::kOverloaded;
};

// What is asked of the choice.
struct SelectionConstraints {
  // Empty when only the primary may be used.
  std::optional<Duration> allowed_age;
  TimePoint deadline;
  // Candidate that was tried already and is avoided.
  std::optional<size_t> avoid;
  // False for a hedge, which is sent at once or not at all.
  bool may_wait = true;
  // False for a hedge, which must not take the scarce primary.
  bool may_use_primary = true;
};

// Chooses an instance for a read. An instance that is leaving, down or stalled
// is never chosen, and a replica only when its bound shows that its answer will
// be within the allowed age. Thread-safe.
Choice ChooseInstance(const SelectionConstraints& constraints,
                      const std::vector<Candidate>& candidates,
                      TimePoint now,
                      const ChoiceOptions& options);

}  // namespace jackdawturn::routing
