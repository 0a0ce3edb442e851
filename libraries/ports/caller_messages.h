#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "core/core.h"
#include "http/http.h"

namespace jackdawturn {

enum class CallerOperation {
  kRead,
  kWrite,
  kBegin,
  kStatement,
  kCommit,
  kRollback,
  // Asks for the outcome of an earlier write or commit.
  kOutcome,
};

// A request of a caller; POST /v1/NAME with a JSON body. docs/interfaces.md
// describes which members each operation needs.
struct CallerRequest {
  CallerOperation operation = CallerOperation::kRead;
  GroupName group;
  ClassName class_name;
  RequestId request;
  TransactionId transaction;
  std::string statement;
  // The session token; empty for a new session.
  std::string token;
  // Time that is left when the request arrives; empty for the class's target.
  std::optional<Duration> deadline;
  // Hash of all that makes two requests with one id the same.
  uint64_t digest = 0;
  // For kCommit: the digest in the answer to the transaction's last statement.
  // Any proxy can name it in an answer, also one that never saw the
  // transaction.
  std::optional<uint64_t> transaction_digest;
  // The caller submitted this write before and has no final answer. Without it
  // `not_run` speaks of this submission only.
  bool retry = false;
  // IP address of the caller.
  std::string caller;
};

enum class CallerOutcome {
  kDone,
  kNotRun,
  kUnknown,
  // The request itself is wrong; nothing was changed (HTTP 4xx).
  kInvalid,
};

struct CallerAnswer {
  CallerOutcome outcome = CallerOutcome::kInvalid;
  // For every outcome but kDone, for example "overloaded".
  std::string reason;
  // For people.
  std::string message;
  // Absent when the request ran but its answer was lost.
  std::optional<std::string> value;
  // The session's new token.
  std::string token;
  TransactionId transaction;
  // When a retry or a question for the outcome is sensible.
  std::optional<Duration> retry_after;
  // For kUnknown: the path to ask at, on any proxy.
  std::string ask_at;
  // For kUnknown: to be sent with the question. For the statements of a
  // transaction: to be sent with its commit.
  std::optional<uint64_t> digest;
};

// Returns the answer to a request that was refused before anything was sent for
// it. It is kNotRun unless an earlier submission of the same request id may
// have run, in which case only kUnknown is true: a retried write, an outcome
// question, or a commit, which can repeat one whose answer was lost.
// Thread-safe.
CallerAnswer RefusalOf(const CallerRequest& request, std::string reason);

// Coding as HTTP and JSON. All functions are thread-safe.
std::string TargetOf(CallerOperation operation);
std::string EncodeRequest(const CallerRequest& request);
// Computes the digest. Errors: kNotFound (no such operation),
// kInvalidArgument with the name of the member.
Result<CallerRequest> DecodeCallerRequest(std::string_view target,
                                          std::string_view body);
HttpResponse EncodeAnswer(const CallerAnswer& answer);
Result<CallerAnswer> DecodeAnswer(const HttpResponse& response);
std::string_view ToString(CallerOutcome outcome);

}  // namespace jackdawturn
