#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "core/core.h"
#include "ports/relay_port.h"

namespace jackdawturn {

// The frames of a relay connection: a length of 32 bits (little endian, of what
// follows), a type byte and a cereal body. A reader skips types that it does
// not know and fields that follow those it knows.

enum class RelayFrameType : uint8_t {
  kHello = 1,      // Opener: version, name, nonce.
  kChallenge = 2,  // Acceptor: version, nonce, proof of the key.
  kProof = 3,      // Opener: proof of the key.
  kReady = 4,      // Acceptor: requests may be sent now.
  kRequest = 5,
  kReply = 6,
  kProbe = 7,
  kProbeAnswer = 8,
};

// The format that this program writes, and the oldest one whose reader can use
// it.
inline constexpr uint8_t kRelayVersion = 1;
inline constexpr uint8_t kRelayReadableSince = 1;
inline constexpr size_t kRelayPrefixBytes = 5;
inline constexpr size_t kRelayNonceBytes = 32;

struct RelayHello {
  uint8_t version = kRelayVersion;
  uint8_t readable_since = kRelayReadableSince;
  VmName vm;
  std::string nonce;
};
struct RelayChallenge {
  uint8_t version = kRelayVersion;
  uint8_t readable_since = kRelayReadableSince;
  std::string nonce;
  std::string proof;
};
struct RelayRequestFrame {
  uint64_t id = 0;
  CallerRequest request;
  RelayStamp stamp;
};
struct RelayReplyFrame {
  uint64_t id = 0;
  RelayReply reply;
  RelayStamp stamp;
};

// All functions are thread-safe. Encoders return the whole frame; decoders take
// the body and return kInvalidArgument for one that is malformed.
std::string EncodeRelayFrame(RelayFrameType type, std::string_view body);
std::string EncodeRelay(const RelayHello& hello);
std::string EncodeRelay(const RelayChallenge& challenge);
std::string EncodeRelayProof(const std::string& proof);
std::string EncodeRelay(const RelayRequestFrame& frame);
std::string EncodeRelay(const RelayReplyFrame& frame);
Result<RelayHello> DecodeRelayHello(std::string_view body);
Result<RelayChallenge> DecodeRelayChallenge(std::string_view body);
Result<std::string> DecodeRelayProof(std::string_view body);
Result<RelayRequestFrame> DecodeRelayRequest(std::string_view body);
Result<RelayReplyFrame> DecodeRelayReply(std::string_view body);

// The two ends prove the key for different texts, so that a proof cannot be
// sent back to its maker.
enum class RelayRole { kOpener, kAcceptor };

// Returns the HMAC-SHA256 over the role, both nonces and the opener's name.
std::string RelayProof(const std::string& key,
                       RelayRole role,
                       const RelayHello& hello,
                       const std::string& acceptor_nonce);
// Returns true when a key makes this proof; compares in constant time.
bool IsRelayProof(const std::vector<std::string>& keys,
                  RelayRole role,
                  const RelayHello& hello,
                  const std::string& acceptor_nonce,
                  const std::string& proof);
std::string NewRelayNonce();

}  // namespace jackdawturn
