#pragma once

#include <ostream>
#include <string>
#include <string_view>
#include <utility>

#include <boost/outcome/result.hpp>
#include <boost/outcome/try.hpp>

namespace jackdawturn {

enum class ErrorCode {
  kInvalidArgument,  // The request itself is wrong; a retry cannot help.
  kUnauthorized,     // A key or signature did not match.
  kNotFound,
  kConflict,     // A conditional update or unique key lost against another.
  kWrongTerm,    // The instance is not in the term that the call names.
  kUnavailable,  // The peer is known not to have done the work.
  kTimeout,      // No answer in time; the work may have been done.
  kExhausted,    // A limit, queue or budget is full.
  kInternal,
};

// Returns the name used in logs and on the wire, for example "wrong_term".
std::string_view ToString(ErrorCode code);

// An error, with the step at which it arose and the peer that was involved.
struct Error {
  ErrorCode code = ErrorCode::kInternal;
  // Names what was being done, for example "failover.fence".
  std::string step;
  // Names the VM, instance or address; empty when no peer was involved.
  std::string peer;
  std::string message;
};

std::ostream& operator<<(std::ostream& out, const Error& error);

// The value of a fallible call, or its Error. Errors never cross a library's
// edge as exceptions.
template <typename T>
using Result = boost::outcome_v2::
    basic_result<T, Error, boost::outcome_v2::policy::terminate>;

inline auto Success() {
  return boost::outcome_v2::success();
}

inline auto Failure(ErrorCode code,
                    std::string step,
                    std::string peer,
                    std::string message) {
  return boost::outcome_v2::failure(
      Error{code, std::move(step), std::move(peer), std::move(message)});
}

namespace internal {
[[noreturn]] void VerifyFailed(const char* condition,
                               const char* file,
                               int line);
}  // namespace internal

}  // namespace jackdawturn

// TRY(call) returns the error of `call` to the caller of this function;
// TRY(auto value, call) also declares the value.
#define TRY(...) BOOST_OUTCOME_TRY(__VA_ARGS__)

// Ends the process when an invariant does not hold; stays on in release builds.
#define VERIFY(condition)                                                \
  (static_cast<bool>(condition) ? static_cast<void>(0)                   \
                                : ::jackdawturn::internal::VerifyFailed( \
                                      #condition, __FILE__, __LINE__))
