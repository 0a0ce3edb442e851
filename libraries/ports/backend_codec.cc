#include "ports/backend_codec.h"

#include <array>
#include <utility>

#include "ports/backend_json.h"
#include "ports/json_durations.h"

namespace jackdawturn {

namespace json = boost::json;

namespace {

constexpr const char* kStep = kBackendDecodeStep;

// Names of the calls, in the order of BackendRequest.
constexpr std::array<const char*, std::variant_size_v<BackendRequest>>
    kCallNames = {"open",    "report",    "read",   "write",    "refuse",
                  "begin",   "statement", "commit", "rollback", "fence",
                  "promote", "follow",    "ledger", "purge",    "replicate"};

constexpr std::string_view kPrefix = "/v1/";

Result<BackendRequest> OpenCallFrom(const JsonFields&) {
  return BackendRequest(OpenCall{});
}

Result<BackendRequest> ReportCallFrom(const JsonFields& fields) {
  ReportCall call;
  if (fields.Has("wait_position")) {
    TRY(const auto position, fields.Number("wait_position"));
    call.wait_position = LogPosition{position};
  }
  TRY(call.wait, MicrosecondsOrZero(fields, "wait_us", kStep));
  return BackendRequest(call);
}

Result<BackendRequest> ReadCallFrom(const JsonFields& fields) {
  ReadCall call;
  if (fields.Has("term")) {
    TRY(const auto term, fields.Number("term"));
    call.term = Term{term};
  }
  TRY(call.statement, fields.String("statement"));
  return BackendRequest(std::move(call));
}

template <typename Call>
Result<BackendRequest> CommandCallFrom(const JsonFields& fields) {
  TRY(auto command, CommandFrom(fields));
  return BackendRequest(Call{std::move(command)});
}

Result<TransactionId> TransactionFrom(const JsonFields& fields) {
  TRY(auto id, fields.String("transaction"));
  return TransactionId(std::move(id));
}

Result<BackendRequest> BeginCallFrom(const JsonFields& fields) {
  TRY(auto transaction, TransactionFrom(fields));
  TRY(const auto term, fields.Number("term"));
  return BackendRequest(BeginCall{std::move(transaction), Term{term}});
}

Result<BackendRequest> StatementCallFrom(const JsonFields& fields) {
  TRY(auto transaction, TransactionFrom(fields));
  TRY(auto statement, fields.String("statement"));
  return BackendRequest(
      StatementCall{std::move(transaction), std::move(statement)});
}

Result<BackendRequest> CommitCallFrom(const JsonFields& fields) {
  TRY(auto transaction, TransactionFrom(fields));
  TRY(auto command, CommandFrom(fields));
  return BackendRequest(CommitCall{std::move(transaction), std::move(command)});
}

Result<BackendRequest> RollbackCallFrom(const JsonFields& fields) {
  TRY(auto transaction, TransactionFrom(fields));
  return BackendRequest(RollbackCall{std::move(transaction)});
}

template <typename Call>
Result<BackendRequest> TermCallFrom(const JsonFields& fields) {
  TRY(const auto term, fields.Number("term"));
  return BackendRequest(Call{Term{term}});
}

Result<BackendRequest> FollowCallFrom(const JsonFields& fields) {
  TRY(const auto term, fields.Number("term"));
  TRY(auto primary, fields.String("primary"));
  return BackendRequest(
      FollowCall{Term{term}, InstanceName(std::move(primary))});
}

Result<BackendRequest> LedgerCallFrom(const JsonFields& fields) {
  TRY(const auto after, fields.NumberOr("after", 0));
  TRY(const auto limit, fields.Number("limit"));
  return BackendRequest(LedgerCall{LogPosition{after}, limit});
}

Result<BackendRequest> PurgeCallFrom(const JsonFields& fields) {
  PurgeCall call;
  TRY(call.term.value, fields.Number("term"));
  TRY(call.low_water, WallTimeFrom(fields, "low_water_ms"));
  TRY(call.limit, fields.Number("limit"));
  return BackendRequest(call);
}

Result<BackendRequest> ReplicateCallFrom(const JsonFields& fields) {
  TRY(auto summary, SummaryFrom(fields));
  TRY(const auto wait, MicrosecondsOrZero(fields, "wait_us", kStep));
  return BackendRequest(ReplicateCall{std::move(summary), wait});
}

using Decoder = Result<BackendRequest> (*)(const JsonFields&);

// In the order of BackendRequest.
constexpr std::array<Decoder, std::variant_size_v<BackendRequest>> kDecoders = {
    OpenCallFrom,
    ReportCallFrom,
    ReadCallFrom,
    CommandCallFrom<WriteCall>,
    CommandCallFrom<RefuseCall>,
    BeginCallFrom,
    StatementCallFrom,
    CommitCallFrom,
    RollbackCallFrom,
    TermCallFrom<FenceCall>,
    TermCallFrom<PromoteCall>,
    FollowCallFrom,
    LedgerCallFrom,
    PurgeCallFrom,
    ReplicateCallFrom};

json::object RequestToJson(const BackendRequest& request) {
  return std::visit(
      Overloaded{
          [](const OpenCall&) { return json::object(); },
          [](const ReportCall& call) {
            json::object object{{"wait_us", call.wait.count()}};
            if (call.wait_position)
              object["wait_position"] = call.wait_position->value;
            return object;
          },
          [](const ReadCall& call) {
            json::object object{{"statement", call.statement}};
            if (call.term)
              object["term"] = call.term->value;
            return object;
          },
          [](const WriteCall& call) { return ToJson(call.command); },
          [](const RefuseCall& call) { return ToJson(call.command); },
          [](const BeginCall& call) {
            return json::object{{"transaction", call.transaction.value()},
                                {"term", call.term.value}};
          },
          [](const StatementCall& call) {
            return json::object{{"transaction", call.transaction.value()},
                                {"statement", call.statement}};
          },
          [](const CommitCall& call) {
            json::object object = ToJson(call.command);
            object["transaction"] = call.transaction.value();
            return object;
          },
          [](const RollbackCall& call) {
            return json::object{{"transaction", call.transaction.value()}};
          },
          [](const FenceCall& call) {
            return json::object{{"term", call.term.value}};
          },
          [](const PromoteCall& call) {
            return json::object{{"term", call.term.value}};
          },
          [](const FollowCall& call) {
            return json::object{{"term", call.term.value},
                                {"primary", call.primary.value()}};
          },
          [](const LedgerCall& call) {
            return json::object{{"after", call.after.value},
                                {"limit", call.limit}};
          },
          [](const PurgeCall& call) {
            return json::object{
                {"term", call.term.value},
                {"low_water_ms", call.low_water.time_since_epoch().count()},
                {"limit", call.limit}};
          },
          [](const ReplicateCall& call) {
            json::object object = ToJson(call.summary);
            object["wait_us"] = call.wait.count();
            return object;
          }},
      request);
}

json::object ResponseToJson(const BackendResponse& response) {
  return std::visit(
      Overloaded{[](const InstanceReport& report) { return ToJson(report); },
                 [](const ReadResult& result) {
                   return json::object{{"value", result.value},
                                       {"report", ToJson(result.report)}};
                 },
                 [](const LedgerResult& result) {
                   return json::object{{"entry", ToJson(result.entry)},
                                       {"existing", result.existing},
                                       {"value", result.value}};
                 },
                 [](const StatementResult& result) {
                   return json::object{{"value", result.value}};
                 },
                 [](const LedgerPage& page) { return ToJson(page); },
                 [](const PurgeResult& result) { return ToJson(result); },
                 [](const LogBatch& batch) { return ToJson(batch); }},
      response);
}

Result<BackendResponse> ReadResultFrom(const JsonFields& fields) {
  ReadResult result;
  TRY(result.value, fields.String("value"));
  TRY(const auto report, fields.Object("report"));
  TRY(result.report, ReportFrom(report));
  return BackendResponse(std::move(result));
}

Result<BackendResponse> LedgerResultFrom(const JsonFields& fields) {
  LedgerResult result;
  TRY(const auto entry, fields.Object("entry"));
  TRY(result.entry, EntryFrom(entry));
  TRY(result.existing, fields.Boolean("existing"));
  TRY(result.value, fields.String("value"));
  return BackendResponse(std::move(result));
}

Result<BackendResponse> ResponseFrom(const BackendRequest& request,
                                     const JsonFields& fields) {
  if (std::holds_alternative<ReadCall>(request))
    return ReadResultFrom(fields);
  if (std::holds_alternative<WriteCall>(request) ||
      std::holds_alternative<RefuseCall>(request) ||
      std::holds_alternative<CommitCall>(request))
    return LedgerResultFrom(fields);
  if (std::holds_alternative<LedgerCall>(request)) {
    TRY(auto page, PageFrom(fields));
    return BackendResponse(std::move(page));
  }
  if (std::holds_alternative<PurgeCall>(request)) {
    TRY(const auto purged, PurgeResultFrom(fields));
    return BackendResponse(purged);
  }
  if (std::holds_alternative<ReplicateCall>(request)) {
    TRY(auto batch, BatchFrom(fields));
    return BackendResponse(std::move(batch));
  }
  if (std::holds_alternative<OpenCall>(request) ||
      std::holds_alternative<BeginCall>(request) ||
      std::holds_alternative<StatementCall>(request) ||
      std::holds_alternative<RollbackCall>(request)) {
    TRY(auto value, fields.String("value"));
    return BackendResponse(StatementResult{std::move(value)});
  }
  TRY(const auto report, ReportFrom(fields));
  return BackendResponse(report);
}

constexpr std::array kAllErrorCodes = {
    ErrorCode::kInvalidArgument, ErrorCode::kUnauthorized,
    ErrorCode::kNotFound,        ErrorCode::kConflict,
    ErrorCode::kWrongTerm,       ErrorCode::kUnavailable,
    ErrorCode::kTimeout,         ErrorCode::kExhausted,
    ErrorCode::kInternal};

// The code of an answer without an error of ours. The HTTP server refuses
// requests that are too large or too many before it handles them.
ErrorCode CodeOfStatus(unsigned status) {
  if (status == kHttpPayloadTooLarge)
    return ErrorCode::kInvalidArgument;
  if (status == kHttpTooManyRequests)
    return ErrorCode::kExhausted;
  return ErrorCode::kInternal;
}

}  // namespace

bool UsesConnection(const BackendRequest& request) {
  return std::visit(Overloaded{[](const ReportCall&) { return false; },
                               [](const FenceCall&) { return false; },
                               [](const PromoteCall&) { return false; },
                               [](const FollowCall&) { return false; },
                               [](const LedgerCall&) { return false; },
                               [](const PurgeCall&) { return false; },
                               [](const ReplicateCall&) { return false; },
                               [](const auto&) { return true; }},
                    request);
}

std::string TargetOf(const BackendRequest& request) {
  return std::string(kPrefix) + kCallNames[request.index()];
}

std::string EncodeRequest(const BackendRequest& request) {
  return json::serialize(RequestToJson(request));
}

Result<BackendRequest> DecodeRequest(std::string_view target,
                                     std::string_view body) {
  if (!target.starts_with(kPrefix))
    return Failure(ErrorCode::kNotFound, kStep, "", "no such call");
  const std::string_view name = target.substr(kPrefix.size());
  for (size_t index = 0; index < kCallNames.size(); ++index) {
    if (name != kCallNames[index])
      continue;
    TRY(const auto value, ParseJson(body, kStep));
    TRY(const auto fields, JsonFields::Create(value, kStep));
    return kDecoders[index](fields);
  }
  return Failure(ErrorCode::kNotFound, kStep, "", "no such call");
}

HttpResponse EncodeResponse(const Result<BackendResponse>& response) {
  if (!response)
    return EncodeError(response.error());
  return {kHttpOk, json::serialize(ResponseToJson(response.value()))};
}

Result<BackendResponse> DecodeResponse(const BackendRequest& request,
                                       const HttpResponse& response,
                                       const std::string& peer) {
  if (response.status != kHttpOk)
    return DecodeError(response, peer);
  const auto not_understood = [&peer](const Error& error) {
    return Failure(ErrorCode::kInternal, kStep, peer, error.message);
  };
  const auto value = ParseJson(response.body, kStep);
  if (!value)
    return not_understood(value.error());
  const auto fields = JsonFields::Create(value.value(), kStep);
  if (!fields)
    return not_understood(fields.error());
  auto decoded = ResponseFrom(request, fields.value());
  if (!decoded)
    return not_understood(decoded.error());
  return decoded;
}

HttpResponse EncodeError(const Error& error) {
  const json::object object{{"code", ToString(error.code)},
                            {"step", error.step},
                            {"peer", error.peer},
                            {"message", error.message}};
  return {StatusOf(error.code), json::serialize(object)};
}

Error DecodeError(const HttpResponse& response, const std::string& peer) {
  Error error{CodeOfStatus(response.status), kStep, peer,
              "HTTP status " + std::to_string(response.status)};
  const auto value = ParseJson(response.body, kStep);
  if (!value)
    return error;
  const auto fields = JsonFields::Create(value.value(), kStep);
  if (!fields)
    return error;
  const auto code = fields.value().String("code");
  for (const ErrorCode known : kAllErrorCodes) {
    if (code && code.value() == ToString(known))
      error.code = known;
  }
  if (auto step = fields.value().String("step"))
    error.step = std::move(step).value();
  if (auto message = fields.value().String("message"))
    error.message = std::move(message).value();
  return error;
}

unsigned StatusOf(ErrorCode code) {
  switch (code) {
    case ErrorCode::kInvalidArgument:
      return kHttpBadRequest;
    case ErrorCode::kUnauthorized:
      return kHttpUnauthorized;
    case ErrorCode::kNotFound:
      return kHttpNotFound;
    case ErrorCode::kConflict:
    case ErrorCode::kWrongTerm:
      return kHttpConflict;
    case ErrorCode::kUnavailable:
    case ErrorCode::kExhausted:
      return kHttpUnavailable;
    case ErrorCode::kTimeout:
      return kHttpTimeout;
    case ErrorCode::kInternal:
      return kHttpInternal;
  }
  return kHttpInternal;
}

}  // namespace jackdawturn
