#include <array>
#include <utility>

#include <boost/json.hpp>

#include "ports/backend_codec.h"
#include "ports/caller_messages.h"
#include "ports/json_durations.h"

namespace jackdawturn {

namespace json = boost::json;

namespace {

constexpr const char* kStep = "caller.decode";
constexpr std::string_view kPrefix = "/v1/";
constexpr std::array<const char*, 7> kOperationNames = {
    "read", "write", "begin", "statement", "commit", "rollback", "outcome"};
constexpr std::array<const char*, 4> kOutcomeNames = {"done", "not_run",
                                                      "unknown", "invalid"};
// Longest accepted name of a group, class or transaction in bytes.
constexpr size_t kMaxNameLength = 128;

// Says which members an operation needs.
struct Needs {
  bool group = false;
  bool class_name = false;
  bool request = false;
  bool transaction = false;
  bool statement = false;
};

Needs NeedsOf(CallerOperation operation) {
  switch (operation) {
    case CallerOperation::kRead:
      return {.group = true, .class_name = true, .statement = true};
    case CallerOperation::kWrite:
      return {.group = true,
              .class_name = true,
              .request = true,
              .statement = true};
    case CallerOperation::kBegin:
      return {.group = true, .class_name = true};
    case CallerOperation::kStatement:
      return {.transaction = true, .statement = true};
    case CallerOperation::kCommit:
      return {.request = true, .transaction = true};
    case CallerOperation::kRollback:
      return {.transaction = true};
    case CallerOperation::kOutcome:
      return {.group = true, .class_name = true, .request = true};
  }
  return {};
}

Result<std::string> Name(const JsonFields& fields,
                         const char* member,
                         bool needed) {
  if (!needed)
    return fields.StringOr(member, "");
  TRY(auto name, fields.String(member));
  if (name.empty() || name.size() > kMaxNameLength)
    return Failure(ErrorCode::kInvalidArgument, kStep, "",
                   "/" + std::string(member) + ": expected 1 to " +
                       std::to_string(kMaxNameLength) + " bytes");
  return name;
}

// A retry of the same work has the same digest, whatever its deadline, token or
// proxy. The statement stands for the whole work.
uint64_t DigestOf(const CallerRequest& request) {
  return Hash64(request.statement, Hash64(request.class_name.value(),
                                          Hash64(request.group.value())));
}

Result<void> DecodeRequestId(const JsonFields& fields, CallerRequest& request) {
  TRY(auto id, fields.String("request"));
  request.request = RequestId(std::move(id));
  TRY(RequestTime(request.request));
  return Success();
}

unsigned StatusOf(const CallerAnswer& answer) {
  switch (answer.outcome) {
    case CallerOutcome::kDone:
      return kHttpOk;
    case CallerOutcome::kNotRun:
      return kHttpUnavailable;
    case CallerOutcome::kUnknown:
      return kHttpTimeout;
    case CallerOutcome::kInvalid:
      return answer.reason == "id_reused" ? kHttpConflict : kHttpBadRequest;
  }
  return kHttpInternal;
}

}  // namespace

std::string TargetOf(CallerOperation operation) {
  return std::string(kPrefix) + kOperationNames[static_cast<size_t>(operation)];
}

std::string_view ToString(CallerOutcome outcome) {
  return kOutcomeNames[static_cast<size_t>(outcome)];
}

CallerAnswer RefusalOf(const CallerRequest& request, std::string reason) {
  CallerAnswer answer;
  answer.outcome = CallerOutcome::kNotRun;
  answer.reason = std::move(reason);
  const bool commit = request.operation == CallerOperation::kCommit;
  const bool may_have_run =
      commit || request.operation == CallerOperation::kOutcome ||
      (request.operation == CallerOperation::kWrite && request.retry);
  if (may_have_run) {
    answer.outcome = CallerOutcome::kUnknown;
    answer.ask_at = TargetOf(CallerOperation::kOutcome);
    answer.digest =
        commit ? request.transaction_digest : std::optional(request.digest);
  }
  return answer;
}

std::string EncodeRequest(const CallerRequest& request) {
  json::object object;
  const auto add = [&object](const char* name, const std::string& value) {
    if (!value.empty())
      object[name] = value;
  };
  add("group", request.group.value());
  add("class", request.class_name.value());
  add("request", request.request.value());
  add("transaction", request.transaction.value());
  add("statement", request.statement);
  add("token", request.token);
  if (request.retry)
    object["retry"] = true;
  if (request.deadline)
    object["deadline_ms"] =
        std::chrono::ceil<std::chrono::milliseconds>(*request.deadline).count();
  if (request.operation == CallerOperation::kOutcome &&
      request.statement.empty())
    object["digest"] = request.digest;
  if (request.operation == CallerOperation::kCommit &&
      request.transaction_digest)
    object["digest"] = *request.transaction_digest;
  return json::serialize(object);
}

Result<CallerRequest> DecodeCallerRequest(std::string_view target,
                                          std::string_view body) {
  CallerRequest request;
  size_t index = 0;
  while (index < kOperationNames.size() &&
         target != std::string(kPrefix) + kOperationNames[index])
    ++index;
  if (index == kOperationNames.size())
    return Failure(ErrorCode::kNotFound, kStep, "", "no such operation");
  request.operation = static_cast<CallerOperation>(index);
  const Needs needs = NeedsOf(request.operation);
  TRY(const auto value, ParseJson(body, kStep));
  TRY(const auto fields, JsonFields::Create(value, kStep));
  TRY(auto group, Name(fields, "group", needs.group));
  TRY(auto class_name, Name(fields, "class", needs.class_name));
  TRY(auto transaction, Name(fields, "transaction", needs.transaction));
  request.group = GroupName(std::move(group));
  request.class_name = ClassName(std::move(class_name));
  request.transaction = TransactionId(std::move(transaction));
  if (needs.request) {
    TRY(DecodeRequestId(fields, request));
  }
  if (needs.statement) {
    TRY(request.statement, fields.String("statement"));
  } else {
    TRY(request.statement, fields.StringOr("statement", ""));
  }
  TRY(request.token, fields.StringOr("token", ""));
  TRY(request.retry, fields.BooleanOr("retry", false));
  if (fields.Has("deadline_ms")) {
    TRY(const auto deadline, fields.Number("deadline_ms"));
    constexpr uint64_t kMaxDeadlineMs = 3'600'000;
    if (deadline > kMaxDeadlineMs)
      return Failure(ErrorCode::kInvalidArgument, kStep, "",
                     "/deadline_ms: expected at most an hour");
    request.deadline = std::chrono::milliseconds(deadline);
  }
  request.digest = DigestOf(request);
  // The digest of a commit cannot be computed from one statement.
  if (request.operation == CallerOperation::kOutcome &&
      !fields.Has("statement")) {
    TRY(request.digest, fields.Number("digest"));
  }
  if (request.operation == CallerOperation::kCommit && fields.Has("digest")) {
    TRY(request.transaction_digest, fields.Number("digest"));
  }
  return request;
}

HttpResponse EncodeAnswer(const CallerAnswer& answer) {
  json::object object{{"outcome", ToString(answer.outcome)}};
  const auto add = [&object](const char* name, const std::string& value) {
    if (!value.empty())
      object[name] = value;
  };
  add("reason", answer.reason);
  add("message", answer.message);
  if (answer.value)
    object["value"] = *answer.value;
  add("token", answer.token);
  add("transaction", answer.transaction.value());
  if (answer.retry_after)
    object["retry_after_ms"] =
        std::chrono::ceil<std::chrono::milliseconds>(*answer.retry_after)
            .count();
  add("ask_at", answer.ask_at);
  if (answer.digest)
    object["digest"] = *answer.digest;
  return {StatusOf(answer), json::serialize(object)};
}

Result<CallerAnswer> DecodeAnswer(const HttpResponse& response) {
  TRY(const auto value, ParseJson(response.body, kStep));
  TRY(const auto fields, JsonFields::Create(value, kStep));
  TRY(const auto outcome, fields.String("outcome"));
  CallerAnswer answer;
  size_t index = 0;
  while (index < kOutcomeNames.size() && outcome != kOutcomeNames[index])
    ++index;
  if (index == kOutcomeNames.size())
    return Failure(ErrorCode::kInvalidArgument, kStep, "",
                   "/outcome: unknown value " + outcome);
  answer.outcome = static_cast<CallerOutcome>(index);
  TRY(answer.reason, fields.StringOr("reason", ""));
  TRY(answer.message, fields.StringOr("message", ""));
  if (fields.Has("value")) {
    TRY(answer.value, fields.String("value"));
  }
  TRY(answer.token, fields.StringOr("token", ""));
  TRY(auto transaction, fields.StringOr("transaction", ""));
  answer.transaction = TransactionId(std::move(transaction));
  TRY(answer.ask_at, fields.StringOr("ask_at", ""));
  if (fields.Has("digest")) {
    TRY(answer.digest, fields.Number("digest"));
  }
  if (fields.Has("retry_after_ms")) {
    TRY(const auto retry_after, fields.Number("retry_after_ms"));
    constexpr auto kLongestMs =
        std::chrono::duration_cast<std::chrono::milliseconds>(
            kLongestMessageDuration);
    if (retry_after > static_cast<uint64_t>(kLongestMs.count()))
      return Failure(ErrorCode::kInvalidArgument, kStep, "",
                     "/retry_after_ms: expected at most a day");
    answer.retry_after = std::chrono::milliseconds(retry_after);
  }
  return answer;
}

}  // namespace jackdawturn
