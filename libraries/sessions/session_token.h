#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <utility>

#include "core/core.h"
#include "sessions/session_positions.h"

namespace jackdawturn {

// The keys that sign session tokens. To rotate a key, add the new one to
// `secrets` on every proxy, then make it `current`, then remove the old one
// when tokens signed with it need no longer be accepted.
struct TokenKeys {
  // Id of the key that signs new tokens.
  uint8_t current = 0;
  // Secrets by key id, each of at least kMinSecretBytes bytes.
  std::map<uint8_t, std::string> secrets;

  static constexpr size_t kMinSecretBytes = 16;
};

// Encodes and checks session tokens: session positions in cereal's portable
// binary form, signed with HMAC-SHA256 and written in base64url without
// padding. Thread-safe after construction.
class SessionTokenCodec {
 public:
  // Longest accepted token in characters; longer ones are rejected without
  // decoding.
  static constexpr size_t kMaxTokenLength = 2'048;
  // Longest group name in a token in bytes.
  static constexpr size_t kMaxGroupNameLength = 64;

  // Errors: kInvalidArgument when the current key is missing or a secret is
  // too short. The message never contains a secret.
  static Result<SessionTokenCodec> Create(TokenKeys keys);

  // Returns the token for `positions`. A group whose name is longer than
  // kMaxGroupNameLength is left out, which marks the token as overflowed.
  std::string Encode(const SessionPositions& positions) const;

  // Returns the positions of a token. An empty token starts a new session.
  // Errors: kUnauthorized when the signature or the key id does not match,
  // kInvalidArgument when the text is not a token.
  Result<SessionPositions> Decode(std::string_view token) const;

 private:
  explicit SessionTokenCodec(TokenKeys keys) : m_keys(std::move(keys)) {}

  TokenKeys m_keys;
};

}  // namespace jackdawturn
