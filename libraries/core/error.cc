#include "core/error.h"

#include <cstdlib>

#include <glog/logging.h>

namespace jackdawturn {

std::string_view ToString(ErrorCode code) {
  switch (code) {
    case ErrorCode::kInvalidArgument:
      return "invalid_argument";
    case ErrorCode::kUnauthorized:
      return "unauthorized";
    case ErrorCode::kNotFound:
      return "not_found";
    case ErrorCode::kConflict:
      return "conflict";
    case ErrorCode::kWrongTerm:
      return "wrong_term";
    case ErrorCode::kUnavailable:
      return "unavailable";
    case ErrorCode::kTimeout:
      return "timeout";
    case ErrorCode::kExhausted:
      return "exhausted";
    case ErrorCode::kInternal:
      return "internal";
  }
  return "internal";
}

std::ostream& operator<<(std::ostream& out, const Error& error) {
  return out << "code=" << ToString(error.code) << " step=" << error.step
             << " peer=" << error.peer << " message=\"" << error.message << '"';
}

namespace internal {

void VerifyFailed(const char* condition, const char* file, int line) {
  LOG(ERROR) << "event=verify_failed condition=\"" << condition
             << "\" file=" << file << " line=" << line;
  std::abort();
}

}  // namespace internal

}  // namespace jackdawturn
