#include "gateway/limit_messages.h"

#include <algorithm>
#include <chrono>

#include <boost/json.hpp>

#include "core/json_fields.h"

namespace jackdawturn::gateway {

namespace {

namespace json = boost::json;
using Kind = LimitQuestion::Kind;

constexpr const char* kStep = "limits.message";
// Bounds of what another proxy may state, far beyond what is useful.
constexpr uint64_t kMaxOperations = 1'000'000;
constexpr uint64_t kMaxMilliseconds = 3'600'000;
constexpr uint64_t kMaxHops = 100;

uint64_t WholeMilliseconds(Duration duration) {
  const auto count =
      std::chrono::floor<std::chrono::milliseconds>(duration).count();
  return static_cast<uint64_t>(std::max<int64_t>(count, 0));
}

Result<uint64_t> NumberUpTo(const JsonFields& fields,
                            std::string_view name,
                            uint64_t max) {
  TRY(const uint64_t number, fields.NumberOr(name, 0));
  if (number > max)
    return Failure(ErrorCode::kInvalidArgument, kStep, "",
                   std::string(name) + ": too large");
  return number;
}

Result<Duration> DurationOf(const JsonFields& fields, std::string_view name) {
  TRY(const uint64_t count, NumberUpTo(fields, name, kMaxMilliseconds));
  return Duration(std::chrono::milliseconds(count));
}

}  // namespace

std::string EncodeLimitQuestion(const LimitQuestion& question) {
  json::object body{{"customer", question.customer.value()},
                    {"wait_ms", WholeMilliseconds(question.time_limit)}};
  if (question.kind == Kind::kVote) {
    body["vote"] = question.asker.value();
    return json::serialize(body);
  }
  body["need"] = question.needed;
  if (question.wanted != question.needed)
    body["want"] = question.wanted;
  if (question.kind == Kind::kLoan)
    body["loan"] = true;
  if (question.hops > 0)
    body["hops"] = question.hops;
  return json::serialize(body);
}

Result<LimitQuestion> DecodeLimitQuestion(const std::string& text) {
  TRY(const json::value value, ParseJson(text, kStep));
  TRY(const JsonFields fields, JsonFields::Create(value, kStep));
  LimitQuestion question;
  TRY(const std::string customer, fields.String("customer"));
  question.customer = CustomerName(customer);
  TRY(question.time_limit, DurationOf(fields, "wait_ms"));
  if (fields.Has("vote")) {
    question.kind = Kind::kVote;
    TRY(const std::string asker, fields.String("vote"));
    question.asker = VmName(asker);
    return question;
  }
  TRY(const bool loan, fields.BooleanOr("loan", false));
  question.kind = loan ? Kind::kLoan : Kind::kPermits;
  TRY(question.needed, NumberUpTo(fields, "need", kMaxOperations));
  TRY(const uint64_t wanted, NumberUpTo(fields, "want", kMaxOperations));
  question.wanted = std::max<size_t>(question.needed, wanted);
  TRY(const uint64_t hops, NumberUpTo(fields, "hops", kMaxHops));
  question.hops = static_cast<unsigned>(hops);
  return question;
}

std::string EncodeLimitAnswer(const LimitAnswer& answer) {
  json::object body;
  if (answer.granted > 0)
    body["granted"] = answer.granted;
  if (answer.retry_after > Duration(0))
    body["retry_ms"] = WholeMilliseconds(answer.retry_after);
  if (answer.vote_given)
    body["free_ms"] = WholeMilliseconds(answer.free_for);
  return json::serialize(body);
}

Result<LimitAnswer> DecodeLimitAnswer(const std::string& text) {
  TRY(const json::value value, ParseJson(text, kStep));
  TRY(const JsonFields fields, JsonFields::Create(value, kStep));
  LimitAnswer answer;
  TRY(answer.granted, NumberUpTo(fields, "granted", kMaxOperations));
  TRY(answer.retry_after, DurationOf(fields, "retry_ms"));
  answer.vote_given = fields.Has("free_ms");
  TRY(answer.free_for, DurationOf(fields, "free_ms"));
  return answer;
}

}  // namespace jackdawturn::gateway
