#include "routing/routing_types.h"

namespace jackdawturn::routing {

bool ContainsConfirmedPosition(const TermPosition& held,
                               const TermPosition& required) {
  return held.term >= required.term && held.position >= required.position;
}

std::string_view ToString(RefusalReason reason) {
  switch (reason) {
    case RefusalReason::kOverloaded:
      return "overloaded";
    case RefusalReason::kShareExceeded:
      return "share_exceeded";
    case RefusalReason::kDeadline:
      return "deadline";
    case RefusalReason::kNoPrimary:
      return "no_primary";
    case RefusalReason::kNoFreshInstance:
      return "no_fresh_instance";
    case RefusalReason::kRetryBudget:
      return "retry_budget";
    case RefusalReason::kUnknownGroup:
      return "unknown_group";
    case RefusalReason::kConnectionLost:
      return "connection_lost";
  }
  return "unknown";
}

std::string_view ToString(InstanceHealth health) {
  switch (health) {
    case InstanceHealth::kHealthy:
      return "healthy";
    case InstanceHealth::kSuspect:
      return "suspect";
    case InstanceHealth::kDown:
      return "down";
  }
  return "unknown";
}

}  // namespace jackdawturn::routing
