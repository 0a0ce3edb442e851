#include "requests/request_types.h"

#include <algorithm>
#include <utility>

namespace jackdawturn::requests {

RequestId CanonicalRequestId(const RequestId& request) {
  std::string text = request.value();
  std::transform(text.begin(), text.end(), text.begin(), [](char c) {
    return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c;
  });
  return RequestId(std::move(text));
}

std::string_view ToString(Outcome outcome) {
  switch (outcome) {
    case Outcome::kDone:
      return "done";
    case Outcome::kNotRun:
      return "not_run";
    case Outcome::kUnknown:
      return "unknown";
  }
  return "unknown";
}

std::string_view ToString(Reason reason) {
  switch (reason) {
    case Reason::kNone:
      return "none";
    case Reason::kDeadline:
      return "deadline";
    case Reason::kNoPrimary:
      return "no_primary";
    case Reason::kNoReplica:
      return "no_replica";
    case Reason::kOverloaded:
      return "overloaded";
    case Reason::kDraining:
      return "draining";
    case Reason::kRefusedInLedger:
      return "refused_in_ledger";
    case Reason::kIdTooOld:
      return "id_too_old";
    case Reason::kInvalidRequest:
      return "invalid_request";
    case Reason::kIdReused:
      return "id_reused";
    case Reason::kTransactionEnded:
      return "transaction_ended";
    case Reason::kNoAnswer:
      return "no_answer";
  }
  return "none";
}

std::ostream& operator<<(std::ostream& out, Outcome outcome) {
  return out << ToString(outcome);
}

std::ostream& operator<<(std::ostream& out, Reason reason) {
  return out << ToString(reason);
}

}  // namespace jackdawturn::requests
