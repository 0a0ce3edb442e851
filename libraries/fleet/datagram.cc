#include "fleet/datagram.h"

#include <array>
#include <utility>

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>

#include "core/wire_archive.h"

namespace jackdawturn::fleet {

namespace {

constexpr size_t kSignatureSize = 32;
constexpr size_t kVersionBytes = 2;
constexpr size_t kEnvelopeSize = kVersionBytes + kSignatureSize;

using Signature = std::array<unsigned char, kSignatureSize>;

// Section types on the wire; a number is never reused for another meaning.
enum class SectionType : uint16_t {
  kHeader = 1,
  kProbe = 2,
  kProbeAnswer = 3,
  kIndirectProbeRequest = 4,
  kSyncRequest = 5,
  kSyncPage = 6,
  kPageMember = 7,
  kPayload = 8,
  kRumor = 9,
};

// Each section has a type, a length and cereal's byte order mark.
constexpr size_t kArchiveOverhead = 1;
constexpr size_t kSectionOverhead = 4 + kArchiveOverhead;
constexpr size_t kTextOverhead = 2;

void AppendSection(std::string& body,
                   SectionType type,
                   const WireWriter& content) {
  const auto append = [&body](size_t number) {
    body.push_back(static_cast<char>(number & 0xff));
    body.push_back(static_cast<char>((number >> 8) & 0xff));
  };
  append(static_cast<size_t>(type));
  append(content.bytes().size());
  body += content.bytes();
}

void AddNode(WireWriter& writer, const NodeInfo& node) {
  writer.Add(node.vm, node.zone, node.address);
}

void AppendMember(std::string& body, SectionType type, const Member& member) {
  WireWriter writer;
  AddNode(writer, member.node);
  writer.Add(member.incarnation, member.state, member.leaving);
  AppendSection(body, type, writer);
}

bool ReadNode(WireReader& reader, NodeInfo& node) {
  return reader.Read(node.vm, node.zone, node.address);
}

// Sets `known` to false for a state added by a newer program version.
bool ReadMember(std::string_view bytes, Member& member, bool& known) {
  WireReader reader(bytes);
  uint8_t state = 0;
  if (!ReadNode(reader, member.node) ||
      !reader.Read(member.incarnation, state, member.leaving))
    return false;
  known = state <= static_cast<uint8_t>(MemberState::kLeft);
  if (known)
    member.state = static_cast<MemberState>(state);
  return true;
}

bool ReadHeader(std::string_view bytes, Datagram& datagram) {
  WireReader reader(bytes);
  return reader.Read(datagram.stamp.physical, datagram.stamp.logical) &&
         ReadNode(reader, datagram.sender) &&
         reader.Read(datagram.incarnation, datagram.leaving,
                     datagram.zone_hash);
}

// Returns false for a malformed section; unknown types are skipped.
bool ReadSection(uint16_t type, std::string_view bytes, Datagram& datagram) {
  WireReader reader(bytes);
  switch (static_cast<SectionType>(type)) {
    case SectionType::kHeader:
      return ReadHeader(bytes, datagram);
    case SectionType::kProbe: {
      Probe& probe = datagram.probe.emplace();
      return reader.Read(probe.sequence, probe.target);
    }
    case SectionType::kProbeAnswer:
      return reader.Read(datagram.answer.emplace().sequence);
    case SectionType::kIndirectProbeRequest: {
      IndirectProbeRequest& request = datagram.request.emplace();
      return reader.Read(request.sequence) && ReadNode(reader, request.target);
    }
    case SectionType::kSyncRequest:
      return reader.Read(datagram.sync_request.emplace().after);
    case SectionType::kSyncPage:
      if (!datagram.sync_page)
        datagram.sync_page.emplace();
      return reader.Read(datagram.sync_page->last);
    case SectionType::kPayload: {
      Payload& payload = datagram.payloads.emplace_back();
      return reader.Read(payload.channel, payload.bytes);
    }
    case SectionType::kPageMember:
    case SectionType::kRumor: {
      Member member;
      bool known = false;
      if (!ReadMember(bytes, member, known))
        return false;
      if (!known)
        return true;
      if (type == static_cast<uint16_t>(SectionType::kRumor)) {
        datagram.rumors.push_back(std::move(member));
      } else {
        if (!datagram.sync_page)
          datagram.sync_page.emplace();
        datagram.sync_page->members.push_back(std::move(member));
      }
      return true;
    }
  }
  return true;
}

bool ReadBody(std::string_view body, Datagram& datagram) {
  constexpr size_t kPrefixSize = 4;
  bool has_header = false;
  while (!body.empty()) {
    if (body.size() < kPrefixSize)
      return false;
    const auto number = [body](size_t index) {
      return static_cast<uint16_t>(
          static_cast<unsigned char>(body[index]) |
          (static_cast<unsigned char>(body[index + 1]) << 8));
    };
    const uint16_t type = number(0);
    const uint16_t size = number(2);
    if (body.size() - kPrefixSize < size)
      return false;
    if (!ReadSection(type, body.substr(kPrefixSize, size), datagram))
      return false;
    has_header |= type == static_cast<uint16_t>(SectionType::kHeader);
    body.remove_prefix(kPrefixSize + size);
  }
  return has_header && !datagram.sender.vm.empty();
}

Signature Sign(const std::string& key,
               std::string_view versions,
               std::string_view body) {
  std::string signed_bytes;
  signed_bytes.reserve(versions.size() + body.size());
  signed_bytes.append(versions).append(body);
  Signature signature{};
  unsigned int size = 0;
  const unsigned char* result =
      HMAC(EVP_sha256(), key.data(), static_cast<int>(key.size()),
           reinterpret_cast<const unsigned char*>(signed_bytes.data()),
           signed_bytes.size(), signature.data(), &size);
  VERIFY(result != nullptr && size == signature.size());
  return signature;
}

size_t NodeSize(const NodeInfo& node) {
  return 3 * kTextOverhead + node.vm.value().size() + node.zone.value().size() +
         node.address.value().size();
}

}  // namespace

size_t EncodedSize(const Member& member) {
  return kSectionOverhead + NodeSize(member.node) + sizeof(member.incarnation) +
         2;
}

size_t EncodedSize(const Datagram& datagram) {
  constexpr size_t kNumber = sizeof(uint64_t);
  size_t size = kEnvelopeSize + kSectionOverhead + 4 * kNumber + 1 +
                NodeSize(datagram.sender);
  if (datagram.probe)
    size += kSectionOverhead + kNumber + kTextOverhead +
            datagram.probe->target.value().size();
  if (datagram.answer)
    size += kSectionOverhead + kNumber;
  if (datagram.request)
    size += kSectionOverhead + kNumber + NodeSize(datagram.request->target);
  if (datagram.sync_request)
    size += kSectionOverhead + kTextOverhead +
            datagram.sync_request->after.value().size();
  if (datagram.sync_page) {
    size += kSectionOverhead + 1;
    for (const Member& member : datagram.sync_page->members)
      size += EncodedSize(member);
  }
  for (const Payload& payload : datagram.payloads)
    size += kSectionOverhead + 1 + kTextOverhead + payload.bytes.size();
  for (const Member& member : datagram.rumors)
    size += EncodedSize(member);
  return size;
}

Result<DatagramCodec> DatagramCodec::Create(std::vector<std::string> keys) {
  if (keys.empty())
    return Failure(ErrorCode::kInvalidArgument, "fleet.keys", "",
                   "at least one fleet key is needed");
  for (const std::string& key : keys) {
    if (key.size() < kMinKeySize)
      return Failure(ErrorCode::kInvalidArgument, "fleet.keys", "",
                     "fleet key too short: expected at least " +
                         std::to_string(kMinKeySize) + " bytes, got " +
                         std::to_string(key.size()));
  }
  return DatagramCodec(std::move(keys));
}

std::string DatagramCodec::SignBody(uint8_t version,
                                    uint8_t readable_since,
                                    std::string_view body) const {
  std::string bytes;
  bytes.reserve(kEnvelopeSize + body.size());
  bytes.push_back(static_cast<char>(version));
  bytes.push_back(static_cast<char>(readable_since));
  const Signature signature = Sign(m_keys.front(), bytes, body);
  bytes.append(signature.begin(), signature.end());
  bytes.append(body);
  return bytes;
}

Result<std::string> DatagramCodec::Encode(const Datagram& datagram) const {
  std::string body;
  body.reserve(kMaxSize);
  WireWriter header;
  header.Add(datagram.stamp.physical, datagram.stamp.logical);
  AddNode(header, datagram.sender);
  header.Add(datagram.incarnation, datagram.leaving, datagram.zone_hash);
  AppendSection(body, SectionType::kHeader, header);
  if (datagram.probe)
    AppendSection(
        body, SectionType::kProbe,
        WireWriter().Add(datagram.probe->sequence, datagram.probe->target));
  if (datagram.answer)
    AppendSection(body, SectionType::kProbeAnswer,
                  WireWriter().Add(datagram.answer->sequence));
  if (datagram.request) {
    WireWriter request;
    request.Add(datagram.request->sequence);
    AddNode(request, datagram.request->target);
    AppendSection(body, SectionType::kIndirectProbeRequest, request);
  }
  if (datagram.sync_request)
    AppendSection(body, SectionType::kSyncRequest,
                  WireWriter().Add(datagram.sync_request->after));
  if (datagram.sync_page) {
    AppendSection(body, SectionType::kSyncPage,
                  WireWriter().Add(datagram.sync_page->last));
    for (const Member& member : datagram.sync_page->members)
      AppendMember(body, SectionType::kPageMember, member);
  }
  for (const Payload& payload : datagram.payloads)
    AppendSection(body, SectionType::kPayload,
                  WireWriter().Add(payload.channel, payload.bytes));
  for (const Member& member : datagram.rumors)
    AppendMember(body, SectionType::kRumor, member);
  if (kEnvelopeSize + body.size() > kMaxSize)
    return Failure(ErrorCode::kExhausted, "fleet.encode", "",
                   "datagram too large: expected at most " +
                       std::to_string(kMaxSize) + " bytes, got " +
                       std::to_string(kEnvelopeSize + body.size()));
  return SignBody(datagram.version, datagram.readable_since, body);
}

Result<Datagram> DatagramCodec::Decode(std::string_view bytes) const {
  constexpr const char* kStep = "fleet.decode";
  if (bytes.size() < kEnvelopeSize || bytes.size() > kMaxSize)
    return Failure(ErrorCode::kInvalidArgument, kStep, "",
                   "datagram size out of range: expected " +
                       std::to_string(kEnvelopeSize) + " to " +
                       std::to_string(kMaxSize) + " bytes, got " +
                       std::to_string(bytes.size()));
  const std::string_view versions = bytes.substr(0, kVersionBytes);
  const std::string_view signature =
      bytes.substr(kVersionBytes, kSignatureSize);
  const std::string_view body = bytes.substr(kEnvelopeSize);
  bool authentic = false;
  for (const std::string& key : m_keys) {
    const Signature expected = Sign(key, versions, body);
    authentic |=
        CRYPTO_memcmp(expected.data(), signature.data(), kSignatureSize) == 0;
  }
  if (!authentic)
    return Failure(ErrorCode::kUnauthorized, kStep, "",
                   "no accepted fleet key matches the signature");
  Datagram datagram;
  datagram.version = static_cast<uint8_t>(versions[0]);
  datagram.readable_since = static_cast<uint8_t>(versions[1]);
  if (datagram.readable_since > kVersion)
    return Failure(ErrorCode::kInvalidArgument, kStep, "",
                   "unsupported datagram format " +
                       std::to_string(datagram.version) +
                       ": requires a reader of format " +
                       std::to_string(datagram.readable_since) + " or newer");
  if (!ReadBody(body, datagram))
    return Failure(ErrorCode::kInvalidArgument, kStep, "",
                   "malformed datagram body");
  return datagram;
}

}  // namespace jackdawturn::fleet
