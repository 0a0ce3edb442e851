#include "ports/relay_codec.h"

#include <array>
#include <utility>

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/rand.h>

#include "core/wire_archive.h"

namespace jackdawturn {

namespace {

constexpr const char* kStep = "relay.decode";
constexpr int64_t kNoDuration = -1;
constexpr int kBitsPerByte = 8;

auto Malformed(const char* what) {
  return Failure(ErrorCode::kInvalidArgument, kStep, "",
                 std::string("malformed ") + what);
}

int64_t ToWire(const std::optional<Duration>& duration) {
  return duration ? std::max<int64_t>(duration->count(), 0) : kNoDuration;
}

std::optional<Duration> DurationFrom(int64_t wire) {
  return wire < 0 ? std::nullopt : std::optional(Duration(wire));
}

// An optional number is a flag and a value.
void AddOptional(WireWriter& writer, const std::optional<uint64_t>& number) {
  writer.Add(number.has_value(), number.value_or(0));
}

bool ReadOptional(WireReader& reader, std::optional<uint64_t>& number) {
  bool present = false;
  uint64_t value = 0;
  if (!reader.Read(present, value))
    return false;
  number = present ? std::optional(value) : std::nullopt;
  return true;
}

template <typename Name>
bool ReadName(WireReader& reader, Name& name) {
  std::string text;
  if (!reader.ReadLong(text))
    return false;
  name = Name(std::move(text));
  return true;
}

void AddRequest(WireWriter& writer, const CallerRequest& request) {
  writer.Add(request.operation, ToWire(request.deadline), request.digest,
             request.retry);
  AddOptional(writer, request.transaction_digest);
  // Members that an operation does not need have no bound of their own.
  writer.AddLong(request.group.value())
      .AddLong(request.class_name.value())
      .AddLong(request.request.value())
      .AddLong(request.transaction.value())
      .AddLong(request.caller)
      .AddLong(request.statement)
      .AddLong(request.token);
}

bool ReadRequest(WireReader& reader, CallerRequest& request) {
  uint8_t operation = 0;
  int64_t deadline = kNoDuration;
  if (!reader.Read(operation, deadline, request.digest, request.retry) ||
      !ReadOptional(reader, request.transaction_digest) ||
      !ReadName(reader, request.group) ||
      !ReadName(reader, request.class_name) ||
      !ReadName(reader, request.request) ||
      !ReadName(reader, request.transaction) ||
      !reader.ReadLong(request.caller) || !reader.ReadLong(request.statement) ||
      !reader.ReadLong(request.token) ||
      operation > static_cast<uint8_t>(CallerOperation::kOutcome))
    return false;
  request.operation = static_cast<CallerOperation>(operation);
  request.deadline = DurationFrom(deadline);
  return true;
}

void AddAnswer(WireWriter& writer, const CallerAnswer& answer) {
  writer.Add(answer.outcome, answer.value.has_value(), answer.transaction,
             ToWire(answer.retry_after), answer.ask_at);
  AddOptional(writer, answer.digest);
  writer.AddLong(answer.reason)
      .AddLong(answer.message)
      .AddLong(answer.value.value_or(""))
      .AddLong(answer.token);
}

bool ReadAnswer(WireReader& reader, CallerAnswer& answer) {
  uint8_t outcome = 0;
  bool has_value = false;
  int64_t retry_after = kNoDuration;
  std::string value;
  if (!reader.Read(outcome, has_value, answer.transaction, retry_after,
                   answer.ask_at) ||
      !ReadOptional(reader, answer.digest) || !reader.ReadLong(answer.reason) ||
      !reader.ReadLong(answer.message) || !reader.ReadLong(value) ||
      !reader.ReadLong(answer.token) ||
      outcome > static_cast<uint8_t>(CallerOutcome::kInvalid))
    return false;
  answer.outcome = static_cast<CallerOutcome>(outcome);
  answer.retry_after = DurationFrom(retry_after);
  if (has_value)
    answer.value = std::move(value);
  return true;
}

}  // namespace

std::string EncodeRelayFrame(RelayFrameType type, std::string_view body) {
  std::string frame;
  frame.reserve(kRelayPrefixBytes + body.size());
  const auto length = static_cast<uint32_t>(body.size() + 1);
  for (size_t index = 0; index < sizeof(length); ++index)
    frame.push_back(static_cast<char>(length >> (kBitsPerByte * index)));
  frame.push_back(static_cast<char>(type));
  return frame.append(body);
}

std::string EncodeRelay(const RelayHello& hello) {
  WireWriter writer;
  writer.Add(hello.version, hello.readable_since, hello.vm, hello.nonce);
  return EncodeRelayFrame(RelayFrameType::kHello, writer.bytes());
}

std::string EncodeRelay(const RelayChallenge& challenge) {
  WireWriter writer;
  writer.Add(challenge.version, challenge.readable_since, challenge.nonce,
             challenge.proof);
  return EncodeRelayFrame(RelayFrameType::kChallenge, writer.bytes());
}

std::string EncodeRelayProof(const std::string& proof) {
  return EncodeRelayFrame(RelayFrameType::kProof,
                          WireWriter().Add(proof).bytes());
}

std::string EncodeRelay(const RelayRequestFrame& frame) {
  WireWriter writer;
  writer.Add(frame.id, frame.stamp.physical, frame.stamp.logical);
  AddRequest(writer, frame.request);
  return EncodeRelayFrame(RelayFrameType::kRequest, writer.bytes());
}

std::string EncodeRelay(const RelayReplyFrame& frame) {
  WireWriter writer;
  writer.Add(frame.id, frame.stamp.physical, frame.stamp.logical,
             frame.reply.verdict, frame.reply.holder,
             frame.reply.holder_address, frame.reply.reason);
  AddAnswer(writer, frame.reply.answer);
  return EncodeRelayFrame(RelayFrameType::kReply, writer.bytes());
}

Result<RelayHello> DecodeRelayHello(std::string_view body) {
  WireReader reader(body);
  RelayHello hello;
  if (!reader.Read(hello.version, hello.readable_since, hello.vm,
                   hello.nonce) ||
      hello.nonce.size() != kRelayNonceBytes || hello.vm.empty())
    return Malformed("hello");
  return hello;
}

Result<RelayChallenge> DecodeRelayChallenge(std::string_view body) {
  WireReader reader(body);
  RelayChallenge challenge;
  if (!reader.Read(challenge.version, challenge.readable_since, challenge.nonce,
                   challenge.proof) ||
      challenge.nonce.size() != kRelayNonceBytes)
    return Malformed("challenge");
  return challenge;
}

Result<std::string> DecodeRelayProof(std::string_view body) {
  WireReader reader(body);
  std::string proof;
  if (!reader.Read(proof))
    return Malformed("proof");
  return proof;
}

Result<RelayRequestFrame> DecodeRelayRequest(std::string_view body) {
  WireReader reader(body);
  RelayRequestFrame frame;
  if (!reader.Read(frame.id, frame.stamp.physical, frame.stamp.logical) ||
      !ReadRequest(reader, frame.request))
    return Malformed("request");
  return frame;
}

Result<RelayReplyFrame> DecodeRelayReply(std::string_view body) {
  WireReader reader(body);
  RelayReplyFrame frame;
  uint8_t verdict = 0;
  if (!reader.Read(frame.id, frame.stamp.physical, frame.stamp.logical, verdict,
                   frame.reply.holder, frame.reply.holder_address,
                   frame.reply.reason) ||
      !ReadAnswer(reader, frame.reply.answer) ||
      verdict > static_cast<uint8_t>(RelayVerdict::kRefused))
    return Malformed("reply");
  frame.reply.verdict = static_cast<RelayVerdict>(verdict);
  return frame;
}

std::string RelayProof(const std::string& key,
                       RelayRole role,
                       const RelayHello& hello,
                       const std::string& acceptor_nonce) {
  const std::string text =
      std::string(role == RelayRole::kOpener ? "jackdawturn relay opener "
                                             : "jackdawturn relay acceptor ") +
      hello.nonce + acceptor_nonce + hello.vm.value();
  std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
  unsigned int size = 0;
  VERIFY(HMAC(EVP_sha256(), key.data(), static_cast<int>(key.size()),
              reinterpret_cast<const unsigned char*>(text.data()), text.size(),
              digest.data(), &size) != nullptr);
  return std::string(reinterpret_cast<const char*>(digest.data()), size);
}

bool IsRelayProof(const std::vector<std::string>& keys,
                  RelayRole role,
                  const RelayHello& hello,
                  const std::string& acceptor_nonce,
                  const std::string& proof) {
  bool found = false;
  for (const std::string& key : keys) {
    const std::string expected = RelayProof(key, role, hello, acceptor_nonce);
    found |= expected.size() == proof.size() &&
             CRYPTO_memcmp(expected.data(), proof.data(), proof.size()) == 0;
  }
  return found;
}

std::string NewRelayNonce() {
  std::string nonce(kRelayNonceBytes, '\0');
  VERIFY(RAND_bytes(reinterpret_cast<unsigned char*>(nonce.data()),
                    static_cast<int>(nonce.size())) == 1);
  return nonce;
}

}  // namespace jackdawturn
