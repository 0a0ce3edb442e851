#include <algorithm>
#include <cstdlib>
#include <functional>
#include <new>
#include <optional>
#include <string>
#include <vector>

#include "charts/charts.h"
#include "failover/failover.h"
#include "fleet/fleet.h"
#include "fleet/share_message.h"
#include "ports/ports.h"
#include "proxy/group_messages.h"
#include "sessions/sessions.h"
#include "targets/spread_message.h"
#include "targets/targets.h"

#include "support/mutations.h"
#include "support/table_test.h"

// The largest allocation since it was set to 0. Replacing the operators of this
// program is the only way to see what a decoder asks for.
static size_t g_largest_allocation = 0;

[[gnu::noinline]] void* operator new(size_t size) {
  g_largest_allocation = std::max(g_largest_allocation, size);
  if (void* memory = std::malloc(size))
    return memory;
  throw std::bad_alloc();
}
[[gnu::noinline]] void operator delete(void* memory) noexcept {
  std::free(memory);
}
[[gnu::noinline]] void operator delete(void* memory, size_t) noexcept {
  std::free(memory);
}

namespace jackdawturn {

namespace {

// What a decoder made of an input, encoded again; empty for an error.
using Decode = std::function<std::optional<std::string>(const std::string&)>;

struct Decoder {
  const char* name;
  std::vector<std::string> valid;
  Decode decode;
  bool json = false;
};

constexpr uint64_t kLargest = UINT64_MAX;
const RequestId kRequest("01890a5d-ac96-774b-bcce-b302099a8057");

template <typename T, typename Encode>
std::optional<std::string> Again(const Result<T>& decoded, Encode encode) {
  if (!decoded) {
    // An error names its step, so that a log line can be understood.
    cr_assert_not(decoded.error().step.empty());
    return std::nullopt;
  }
  return encode(decoded.value());
}

Decoder CallerRequests(CallerOperation operation) {
  CallerRequest request;
  request.operation = operation;
  request.group = GroupName("g");
  request.class_name = ClassName("c");
  // The other operations ignore the member.
  if (operation == CallerOperation::kWrite ||
      operation == CallerOperation::kCommit ||
      operation == CallerOperation::kOutcome)
    request.request = kRequest;
  request.transaction = TransactionId("t");
  request.statement = "put k \"\\u0000\xc3\xa9\"";
  request.token = "token";
  request.deadline = std::chrono::milliseconds(250);
  request.transaction_digest = kLargest;
  request.retry = true;
  const std::string target = TargetOf(operation);
  return {"caller request",
          {EncodeRequest(request)},
          [target](const std::string& body) {
            return Again(
                DecodeCallerRequest(target, body),
                [](const CallerRequest& item) { return EncodeRequest(item); });
          },
          true};
}

Decoder CallerAnswers() {
  CallerAnswer answer;
  answer.outcome = CallerOutcome::kUnknown;
  answer.reason = "overloaded";
  answer.message = "message";
  answer.value = "";
  answer.token = "token";
  answer.transaction = TransactionId("t");
  answer.retry_after = std::chrono::milliseconds(7);
  answer.ask_at = "/v1/outcome";
  answer.digest = kLargest;
  return {"caller answer",
          {EncodeAnswer(answer).body, EncodeAnswer({}).body},
          [](const std::string& body) {
            return Again(DecodeAnswer({kHttpOk, body}),
                         [](const CallerAnswer& item) {
                           return EncodeAnswer(item).body;
                         });
          },
          true};
}

WriteCommand Command() {
  return {Term{kLargest}, kRequest, ClassName("c"), kLargest, "add n 1"};
}

std::vector<BackendRequest> BackendRequests() {
  const TransactionId transaction("t");
  const LogSummary summary{
      InstanceName("a2"),
      Term{3},
      {{Term{1}, LogPosition{1}}, {Term{kLargest}, LogPosition{kLargest}}},
      LogPosition{9}};
  return {OpenCall{},
          ReportCall{LogPosition{kLargest}, std::chrono::hours(24)},
          ReportCall{},
          ReadCall{Term{2}, "get k"},
          WriteCall{Command()},
          RefuseCall{Command()},
          BeginCall{transaction, Term{2}},
          StatementCall{transaction, "get k"},
          CommitCall{transaction, Command()},
          RollbackCall{transaction},
          FenceCall{Term{2}},
          PromoteCall{Term{2}},
          FollowCall{Term{2}, InstanceName("a1")},
          LedgerCall{LogPosition{5}, 100},
          PurgeCall{Term{2}, WallTime(std::chrono::milliseconds(9)), kLargest},
          ReplicateCall{summary, Duration(200)}};
}

Decoder BackendRequestDecoder(const BackendRequest& request) {
  const std::string target = TargetOf(request);
  return {"backend request",
          {EncodeRequest(request)},
          [target](const std::string& body) {
            return Again(
                DecodeRequest(target, body),
                [](const BackendRequest& item) { return EncodeRequest(item); });
          },
          true};
}

Decoder BackendResponseDecoder(const BackendRequest& request,
                               const BackendResponse& response) {
  return {"backend response",
          {EncodeResponse(Result<BackendResponse>(response)).body},
          [request](const std::string& body) {
            const auto decoded = DecodeResponse(request, {kHttpOk, body}, "a1");
            cr_assert(decoded || decoded.error().code == ErrorCode::kInternal);
            return Again(decoded, [](const BackendResponse& item) {
              return EncodeResponse(Result<BackendResponse>(item)).body;
            });
          },
          true};
}

Decoder ErrorDecoder() {
  const Error error{ErrorCode::kWrongTerm, "write", "a1", "message"};
  return {"error",
          {EncodeError(error).body},
          [](const std::string& body) {
            // Any body gives an error.
            const Error decoded = DecodeError({kHttpConflict, body}, "a1");
            cr_assert_not(decoded.step.empty());
            cr_assert(decoded.peer == "a1");
            return std::optional(EncodeError(decoded).body);
          },
          true};
}

Decoder PlatformRequestDecoder(const PlatformRequest& request) {
  const std::string target = TargetOf(request);
  return {"platform request",
          {EncodeRequest(request)},
          [target](const std::string& body) {
            return Again(DecodePlatformRequest(target, body),
                         [](const PlatformRequest& item) {
                           return EncodeRequest(item);
                         });
          },
          true};
}

Decoder PlatformResponseDecoder(const PlatformRequest& request,
                                const PlatformResponse& response) {
  return {
      "platform response",
      {EncodeResponse(Result<PlatformResponse>(response)).body},
      [request](const std::string& body) {
        const auto decoded = DecodeResponse(request, {kHttpOk, body});
        cr_assert(decoded || (decoded.error().code == ErrorCode::kInternal &&
                              decoded.error().peer == "platform"));
        return Again(decoded, [](const PlatformResponse& item) {
          return EncodeResponse(Result<PlatformResponse>(item)).body;
        });
      },
      true};
}

Decoder GroupMessages() {
  using proxy::GroupMessage;
  const GroupName group("g");
  std::vector<std::string> valid;
  for (const GroupMessage& message : std::vector<GroupMessage>{
           proxy::WitnessQuestion{group, {kLargest}, InstanceName("a1")},
           proxy::WitnessReply{group, {7}, {Duration(12), true}},
           proxy::WitnessReply{group, {7}, {std::nullopt, false}},
           proxy::GroupNotice{proxy::GroupNoticeKind::kProgress, group,
                              Term{kLargest}, Duration(5'000)}})
    valid.push_back(proxy::EncodeGroupMessage(message));
  return {"peer message", valid, [](const std::string& bytes) {
            return Again(proxy::DecodeGroupMessage(bytes),
                         proxy::EncodeGroupMessage);
          }};
}

Decoder ShareMessages() {
  fleet::ShareMessage message;
  message.kind = fleet::ShareMessageKind::kReport;
  message.group = GroupName("g");
  message.reserved_connections = {{InstanceName("a1"), 4},
                                  {InstanceName("a2"), kLargest}};
  return {"share message",
          {fleet::EncodeShareMessage(message)},
          [](const std::string& bytes) {
            return Again(fleet::DecodeShareMessage(bytes),
                         fleet::EncodeShareMessage);
          }};
}

Decoder SpreadMessages() {
  using namespace targets;
  std::vector<std::string> valid;
  for (const SpreadMessage& message : std::vector<SpreadMessage>{
           Digest{kLargest, 2, kLargest, true, DigestPurpose::kAnswer},
           BucketHashesRequest{}, BucketHashesReply{{1, kLargest}},
           BucketPageRequest{3, "k"},
           BucketPage{3, "k", {{"key", kLargest}}, true},
           RecentVersions{{{"key", 1}}}, VersionAnnouncement{"key", 9},
           PieceRequest{"key", 9, kLargest},
           Piece{"key", 9, 0, 5, std::string("a\0b\xff", 4)}, Busy{},
           SurveyRequest{1, "key", 9}, MemberSurveyRequest{1, "key"},
           MemberSurveyReply{1, "key", 9}, SurveyReply{1, 8, 2, {"p1", "p2"}}})
    valid.push_back(EncodeSpread(message));
  return {"spread message", valid, [](const std::string& bytes) {
            return Again(DecodeSpread(bytes), EncodeSpread);
          }};
}

// Damaged bodies are signed, as those of a faulty peer are.
Decoder Datagrams() {
  static const auto codec =
      fleet::DatagramCodec::Create({std::string(16, 'k')}).value();
  const fleet::NodeInfo node{VmName("p1"), ZoneName("z"),
                             fleet::PeerAddress("127.0.0.1:1")};
  const fleet::Member member{node, kLargest, fleet::MemberState::kLeft, true};
  fleet::Datagram full;
  full.sender = node;
  full.stamp = {kLargest, 1};
  full.probe = fleet::Probe{kLargest, VmName("p2")};
  full.answer = fleet::ProbeAnswer{2};
  full.request = fleet::IndirectProbeRequest{3, node};
  full.sync_request = fleet::SyncRequest{VmName("p3")};
  full.sync_page = fleet::SyncPage{{member}, true};
  full.payloads = {{3, std::string("a\0b", 3)}};
  full.rumors = {member, member};
  constexpr size_t kBodyOffset = 2 + 32;  // Versions and signature.
  const std::string bytes = codec.Encode(full).value();
  const std::string signed_empty_body = codec.SignBody(1, 1, "");
  cr_assert_eq(signed_empty_body.size(), kBodyOffset);
  return {"datagram",
          {bytes.substr(kBodyOffset)},
          [](const std::string& body) -> std::optional<std::string> {
            const auto decoded = codec.Decode(codec.SignBody(1, 1, body));
            if (!decoded)
              return std::nullopt;
            const auto again = codec.Encode(decoded.value());
            // A body can decode to more than one datagram has room for.
            return again ? std::optional(again.value().substr(kBodyOffset))
                         : std::nullopt;
          }};
}

Decoder Tokens() {
  static const auto codec =
      SessionTokenCodec::Create({1, {{1, std::string(16, 's')}}}).value();
  SessionPositions positions;
  positions.Record(GroupName("g"), {Term{kLargest}, LogPosition{kLargest}});
  return {
      "session token", {codec.Encode(positions)}, [](const std::string& token) {
        return Again(codec.Decode(token), [](const SessionPositions& item) {
          return codec.Encode(item);
        });
      }};
}

Decoder GroupRecords() {
  GroupRecord record;
  record.group = GroupName("g");
  record.term = Term{9};
  record.primary = InstanceName("a1");
  record.instances = {InstanceName("a1"), InstanceName("a2")};
  record.history = {{Term{1}, LogPosition{1}}, {Term{9}, LogPosition{40}}};
  record.attempt = AttemptId("x");
  record.changed_by = VmName("p1");
  record.reason = "reason";
  return {"group record",
          {failover::GroupRecordToJson(record)},
          [](const std::string& text) {
            return Again(failover::GroupRecordFromJson(text),
                         failover::GroupRecordToJson);
          },
          true};
}

Decoder TargetDocuments() {
  return {"targets document",
          {R"({"classes": {"a": {"allowed_age_ms": "none",
              "answer_time_ms": 200, "repeatable": true},
              "b": {"allowed_age_ms": 500, "answer_time_ms": 300,
              "repeatable": false}}})"},
          [](const std::string& text) -> std::optional<std::string> {
            const auto parsed = targets::ParseTargets(text);
            if (!parsed.valid())
              return std::nullopt;
            return targets::ToText(parsed.classes);
          },
          true};
}

Decoder Charts() {
  std::vector<std::string> valid;
  for (const auto& [name, text] : BuiltInChartTexts())
    valid.push_back(text);
  return {"chart", valid,
          [](const std::string& text) {
            return Again(StateChart::Create(text), ChartToMermaid);
          },
          true};
}

std::vector<Decoder> AllDecoders() {
  std::vector<Decoder> all{
      CallerAnswers(), ErrorDecoder(),   GroupMessages(),
      ShareMessages(), SpreadMessages(), Datagrams(),
      Tokens(),        GroupRecords(),   TargetDocuments()};
  for (const CallerOperation operation :
       {CallerOperation::kRead, CallerOperation::kWrite,
        CallerOperation::kBegin, CallerOperation::kStatement,
        CallerOperation::kCommit, CallerOperation::kRollback,
        CallerOperation::kOutcome})
    all.push_back(CallerRequests(operation));
  for (const BackendRequest& request : BackendRequests())
    all.push_back(BackendRequestDecoder(request));
  const InstanceReport report{Term{kLargest}, Term{2}, LogPosition{3}, true};
  const LedgerEntry entry{kRequest,
                          ClassName("c"),
                          kLargest,
                          LedgerOutcome::kRefused,
                          {Term{1}, LogPosition{kLargest}}};
  LogEntry log{Term{4}, {{"k", "v"}}, entry, {}};
  log.low_water = WallTime(std::chrono::milliseconds(1'700'000'000'000));
  log.purged = kLargest;
  all.push_back(BackendResponseDecoder(ReportCall{}, report));
  all.push_back(BackendResponseDecoder(ReadCall{}, ReadResult{"v", report}));
  all.push_back(
      BackendResponseDecoder(WriteCall{}, LedgerResult{entry, true, "v"}));
  all.push_back(BackendResponseDecoder(BeginCall{}, StatementResult{"v"}));
  all.push_back(
      BackendResponseDecoder(LedgerCall{}, LedgerPage{{entry}, report}));
  all.push_back(BackendResponseDecoder(
      PurgeCall{}, PurgeResult{kLargest, *log.low_water, log.low_water}));
  all.push_back(BackendResponseDecoder(
      ReplicateCall{},
      LogBatch{InstanceName("a1"), Term{4}, LogPosition{7}, {log}}));
  const VersionedObject object{"k", ObjectVersion{kLargest}, "value"};
  const WatchObjects watch{"groups/", kLargest, std::chrono::hours(24)};
  const UpdateObject update{"k", ObjectVersion{kLargest}, "value"};
  for (const PlatformRequest& request :
       std::vector<PlatformRequest>{ReadObject{"k"}, update, watch, ListVms{}})
    all.push_back(PlatformRequestDecoder(request));
  all.push_back(PlatformResponseDecoder(ReadObject{}, object));
  all.push_back(PlatformResponseDecoder(
      watch, ObjectChanges{kLargest, {object, object}}));
  all.push_back(PlatformResponseDecoder(
      ListVms{}, VmList{{{VmName("p1"), ZoneName("z"), VmState::kLeaving}}}));
  return all;
}

uint64_t Seed() {
  const char* seed = std::getenv("SEED");
  return seed == nullptr ? 1 : std::strtoull(seed, nullptr, 10);
}

// Decodes `input`; what is accepted must mean the same when it is encoded and
// decoded again, and no single allocation may exceed the limit.
bool Check(const Decoder& decoder, const std::string& input) {
  // A text of the wire archive has at most 64 KB; a JSON value of Boost takes
  // less than 32 bytes for each byte of its text.
  const size_t limit = size_t{128} * 1024 + 32 * input.size();
  g_largest_allocation = 0;
  const auto once = decoder.decode(input);
  cr_assert_leq(g_largest_allocation, limit, "%s allocates %zu for %zu bytes",
                decoder.name, g_largest_allocation, input.size());
  if (!once)
    return false;
  if (std::string(decoder.name) == "chart")
    return true;  // A drawing cannot be decoded.
  const auto twice = decoder.decode(*once);
  cr_assert(twice.has_value(), "%s does not decode its own: %s", decoder.name,
            once->c_str());
  cr_assert(*twice == *once, "%s", decoder.name);
  return true;
}

}  // namespace

// Guards against a codec that loses or changes a part of a message.
Test(decoders, valid_messages_survive) {
  for (const Decoder& decoder : AllDecoders()) {
    for (const std::string& message : decoder.valid) {
      const auto again = decoder.decode(message);
      cr_assert(again.has_value(), "%s: %s", decoder.name, message.c_str());
      if (std::string(decoder.name) != "targets document")
        cr_assert(*again == message, "%s: %s", decoder.name, message.c_str());
    }
  }
  for (const std::string& text : Charts().valid)
    cr_assert(Charts().decode(text).has_value());
}

// Guards against input that ends the process, passes an exception out of a
// library, takes memory beyond the limit or is read as something that cannot be
// encoded, such as a negative time.
Test(decoders, damaged_messages_are_refused_or_sound) {
  constexpr int kRounds = 400;
  Mutator mutator(Seed());
  std::vector<Decoder> all = AllDecoders();
  all.push_back(Charts());
  for (const Decoder& decoder : all) {
    size_t refused = 0;
    for (int round = 0; round < kRounds; ++round) {
      const auto& valid = decoder.valid[round % decoder.valid.size()];
      refused += Check(decoder, mutator.Mutate(valid)) ? 0 : 1;
      refused += Check(decoder, mutator.Random(200)) ? 0 : 1;
      if (decoder.json && round % 20 == 0)
        refused += Check(decoder, mutator.HostileJson()) ? 0 : 1;
    }
    // An error body of any kind gives an error, never a refusal to decode.
    if (std::string(decoder.name) != "error")
      cr_assert_gt(refused, static_cast<size_t>(kRounds), "%s", decoder.name);
  }
}

}  // namespace jackdawturn
