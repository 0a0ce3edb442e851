#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/core.h"
#include "fleet/member.h"

namespace jackdawturn::fleet {

// A timestamp of a hybrid logical clock. The library observe implements the
// clock; datagrams only carry its timestamps.
struct ClockStamp {
  uint64_t physical = 0;  // Milliseconds since the Unix epoch.
  uint64_t logical = 0;

  friend auto operator<=>(const ClockStamp&, const ClockStamp&) = default;
};

// Asks `target` for a ProbeAnswer with the same sequence number.
struct Probe {
  uint64_t sequence = 0;
  VmName target;
};

struct ProbeAnswer {
  uint64_t sequence = 0;
};

// Asks the receiver to probe `target` and to forward its answer.
struct IndirectProbeRequest {
  uint64_t sequence = 0;
  NodeInfo target;
};

// Asks for the members of the receiver's zone with names after `after`.
struct SyncRequest {
  VmName after;
};

// A page of members, ordered by name. `last` is true on the final page.
struct SyncPage {
  std::vector<Member> members;
  bool last = false;
};

// An opaque message of another state machine (shares, versions), identified by
// its channel.
struct Payload {
  uint8_t channel = 0;
  std::string bytes;
};

// One gossip message. Absent parts are not encoded.
struct Datagram {
  // The sender's format version, and the oldest format version whose reader can
  // decode the datagram.
  uint8_t version = 1;
  uint8_t readable_since = 1;
  ClockStamp stamp;
  NodeInfo sender;
  uint64_t incarnation = 0;
  bool leaving = false;
  // MemberTable::zone_hash of the sender, including itself. Members of a zone
  // compare it to detect that their tables differ.
  uint64_t zone_hash = 0;
  std::optional<Probe> probe;
  std::optional<ProbeAnswer> answer;
  std::optional<IndirectProbeRequest> request;
  std::optional<SyncRequest> sync_request;
  std::optional<SyncPage> sync_page;
  std::vector<Payload> payloads;
  std::vector<Member> rumors;
};

// Returns the number of bytes that Encode will produce. Thread-safe.
size_t EncodedSize(const Datagram& datagram);
// Returns the number of bytes that a member adds to a datagram. Thread-safe.
size_t EncodedSize(const Member& member);

// Encodes and decodes datagrams: version bytes, HMAC-SHA256 over the rest, and
// a cereal body of numbered sections. A reader skips unknown sections and
// unknown trailing fields, so a newer format whose `readable_since` includes
// this one works in a mixed fleet.
// Thread safety: const methods are thread-safe.
class DatagramCodec {
 public:
  // The format written by this program.
  static constexpr uint8_t kVersion = 1;
  // Maximum datagram size in bytes, below the usual MTU of 1,500.
  static constexpr size_t kMaxSize = 1'200;
  // Minimum key size in bytes.
  static constexpr size_t kMinKeySize = 16;

  // Signs with the first key and accepts all of them, which allows rotation:
  // add the new key at the end everywhere, move it to the front, drop the old
  // one. Errors: kInvalidArgument without keys or with a key that is too short.
  static Result<DatagramCodec> Create(std::vector<std::string> keys);

  // Errors: kExhausted when the datagram is larger than kMaxSize.
  Result<std::string> Encode(const Datagram& datagram) const;

  // Errors: kUnauthorized (no key matches), kInvalidArgument (malformed, too
  // large, or of a format that this program cannot read). Never throws.
  Result<Datagram> Decode(std::string_view bytes) const;

  // Prepends version bytes and signature to an encoded body; tests use it to
  // produce datagrams of other format versions.
  std::string SignBody(uint8_t version,
                       uint8_t readable_since,
                       std::string_view body) const;

 private:
  explicit DatagramCodec(std::vector<std::string> keys)
      : m_keys(std::move(keys)) {}

  std::vector<std::string> m_keys;
};

}  // namespace jackdawturn::fleet
