#include "sessions/session_token.h"

#include <array>
#include <exception>
#include <optional>
#include <sstream>
#include <utility>
#include <vector>

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <cereal/archives/portable_binary.hpp>

namespace jackdawturn {

namespace {

constexpr const char* kStep = "sessions.token";
// Version of the token layout, which is: version, key id, flags, group count,
// groups, signature.
constexpr uint8_t kVersion = 1;
constexpr uint8_t kOverflowFlag = 1;
// HMAC-SHA256 truncated to half its length, as RFC 2104 section 5 allows.
constexpr size_t kSignatureBytes = 16;

std::string Sign(const std::string& secret, std::string_view bytes) {
  std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
  unsigned int length = 0;
  const auto* data = reinterpret_cast<const unsigned char*>(bytes.data());
  VERIFY(HMAC(EVP_sha256(), secret.data(), static_cast<int>(secret.size()),
              data, bytes.size(), digest.data(), &length) != nullptr);
  VERIFY(length >= kSignatureBytes);
  return std::string(reinterpret_cast<const char*>(digest.data()),
                     kSignatureBytes);
}

std::string ToBase64Url(const std::string& bytes) {
  std::string text((bytes.size() + 2) / 3 * 4 + 1, '\0');
  const int length =
      EVP_EncodeBlock(reinterpret_cast<unsigned char*>(text.data()),
                      reinterpret_cast<const unsigned char*>(bytes.data()),
                      static_cast<int>(bytes.size()));
  text.resize(static_cast<size_t>(length));
  text.erase(text.find_last_not_of('=') + 1);
  for (char& c : text)
    c = c == '+' ? '-' : c == '/' ? '_' : c;
  return text;
}

// Accepts only strings that ToBase64Url can return.
std::optional<std::string> FromBase64Url(std::string_view token) {
  if (token.find_first_not_of("ABCDEFGHIJKLMNOPQRSTUVWXYZ"
                              "abcdefghijklmnopqrstuvwxyz0123456789-_") !=
          std::string_view::npos ||
      token.size() % 4 == 1)
    return std::nullopt;
  std::string text(token);
  for (char& c : text)
    c = c == '-' ? '+' : c == '_' ? '/' : c;
  const size_t padding = (4 - text.size() % 4) % 4;
  text.append(padding, '=');
  std::string bytes(text.size() / 4 * 3, '\0');
  const int length =
      EVP_DecodeBlock(reinterpret_cast<unsigned char*>(bytes.data()),
                      reinterpret_cast<const unsigned char*>(text.data()),
                      static_cast<int>(text.size()));
  if (length < 0)
    return std::nullopt;
  bytes.resize(static_cast<size_t>(length) - padding);
  if (ToBase64Url(bytes) != token)
    return std::nullopt;
  return bytes;
}

auto Malformed() {
  return Failure(ErrorCode::kInvalidArgument, kStep, "",
                 "session token is malformed");
}

Result<SessionPositions> ReadPayload(const std::string& payload) {
  std::istringstream in(payload);
  std::vector<GroupPosition> groups;
  uint8_t version = 0;
  uint8_t key = 0;
  uint8_t flags = 0;
  uint8_t count = 0;
  try {
    cereal::PortableBinaryInputArchive archive(in);
    archive(version, key, flags, count);
    for (size_t index = 0; index < count; ++index) {
      uint8_t length = 0;
      archive(length);
      std::string name(length, '\0');
      archive(cereal::binary_data(name.data(), name.size()));
      GroupPosition item{GroupName(std::move(name)), TermPosition()};
      archive(item.at.term.value, item.at.position.value);
      groups.push_back(std::move(item));
    }
  } catch (const std::exception&) {
    return Malformed();
  }
  if (version != kVersion || count > SessionPositions::kMaxGroups ||
      in.peek() != std::istringstream::traits_type::eof())
    return Malformed();
  SessionPositions positions;
  for (auto item = groups.rbegin(); item != groups.rend(); ++item)
    positions.Record(item->group, item->at);
  if ((flags & kOverflowFlag) != 0)
    positions.MarkOverflow();
  return positions;
}

}  // namespace

Result<SessionTokenCodec> SessionTokenCodec::Create(TokenKeys keys) {
  if (keys.secrets.count(keys.current) == 0)
    return Failure(ErrorCode::kInvalidArgument, kStep, "",
                   "the secret of the current token key " +
                       std::to_string(keys.current) + " is missing");
  for (const auto& [id, secret] : keys.secrets) {
    if (secret.size() < TokenKeys::kMinSecretBytes)
      return Failure(ErrorCode::kInvalidArgument, kStep, "",
                     "the secret of token key " + std::to_string(id) +
                         " is too short: got " + std::to_string(secret.size()) +
                         " bytes, expected at least " +
                         std::to_string(TokenKeys::kMinSecretBytes));
  }
  return SessionTokenCodec(std::move(keys));
}

std::string SessionTokenCodec::Encode(const SessionPositions& positions) const {
  bool overflow = positions.overflow();
  std::vector<const GroupPosition*> groups;
  for (const GroupPosition& item : positions.groups()) {
    if (item.group.value().size() <= kMaxGroupNameLength)
      groups.push_back(&item);
    else
      overflow = true;
  }
  std::ostringstream out;
  {
    cereal::PortableBinaryOutputArchive archive(out);
    archive(kVersion, m_keys.current,
            static_cast<uint8_t>(overflow ? kOverflowFlag : 0),
            static_cast<uint8_t>(groups.size()));
    for (const GroupPosition* item : groups) {
      const std::string& name = item->group.value();
      archive(static_cast<uint8_t>(name.size()));
      archive(cereal::binary_data(name.data(), name.size()));
      archive(item->at.term.value, item->at.position.value);
    }
  }
  const std::string payload = out.str();
  return ToBase64Url(payload +
                     Sign(m_keys.secrets.at(m_keys.current), payload));
}

Result<SessionPositions> SessionTokenCodec::Decode(
    std::string_view token) const {
  // The archive starts with one byte for its byte order and one for the
  // version; the key id follows.
  constexpr size_t kKeyIdOffset = 2;
  constexpr size_t kMinPayloadBytes = 5;
  if (token.empty())
    return SessionPositions();
  if (token.size() > kMaxTokenLength)
    return Malformed();
  const auto bytes = FromBase64Url(token);
  if (!bytes || bytes->size() < kMinPayloadBytes + kSignatureBytes)
    return Malformed();
  const std::string payload = bytes->substr(0, bytes->size() - kSignatureBytes);
  const auto key =
      m_keys.secrets.find(static_cast<uint8_t>(payload[kKeyIdOffset]));
  if (key == m_keys.secrets.end() ||
      CRYPTO_memcmp(Sign(key->second, payload).data(),
                    bytes->data() + payload.size(), kSignatureBytes) != 0)
    return Failure(ErrorCode::kUnauthorized, kStep, "",
                   "session token is not signed with a known key");
  return ReadPayload(payload);
}

}  // namespace jackdawturn
