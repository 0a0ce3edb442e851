#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "core/core.h"
#include "targets/version_table.h"

namespace jackdawturn::targets {

enum class DigestPurpose : uint8_t {
  kPeriodic = 0,  // Answered with kAnswer if the tables differ.
  kQuestion = 1,  // Always answered with kAnswer.
  kAnswer = 2,
};

// Summary of a proxy's version table, sent to a random peer at each interval.
struct Digest {
  uint64_t hash = 0;
  uint64_t count = 0;
  // Time in microseconds since this table was last confirmed to agree with the
  // store; UINT64_MAX if it never was.
  uint64_t age_us = 0;
  // False while the sender is still catching up.
  bool ready = false;
  DigestPurpose purpose = DigestPurpose::kPeriodic;
};

// Requests the hashes of all buckets, when two digests differ.
struct BucketHashesRequest {};
struct BucketHashesReply {
  std::vector<uint64_t> hashes;
};

// Requests the keys and versions of one bucket, a page at a time.
struct BucketPageRequest {
  uint32_t bucket = 0;
  std::string after;
};
struct KeyVersion {
  std::string key;
  uint64_t version = 0;
};
struct BucketPage {
  uint32_t bucket = 0;
  std::string after;
  std::vector<KeyVersion> keys;
  bool last = false;
};

// The versions that the sender accepted most recently. Sent when two digests
// differ, because these usually include the difference.
struct RecentVersions {
  std::vector<KeyVersion> keys;
};

// Announces a version without its value.
struct VersionAnnouncement {
  std::string key;
  uint64_t version = 0;
};
// Requests the bytes of a version from `offset`.
struct PieceRequest {
  std::string key;
  uint64_t version = 0;
  uint64_t offset = 0;
};
// A piece of a value; a small value is sent as one piece. `size` is the size of
// the whole value.
struct Piece {
  std::string key;
  uint64_t version = 0;
  uint64_t offset = 0;
  uint64_t size = 0;
  std::string bytes;
};
// The sender has reached its rate limit; retry later or with another peer.
struct Busy {};

// Asks which proxies of the receiver's zone lag behind a version of a key.
struct SurveyRequest {
  uint64_t survey = 0;
  std::string key;
  uint64_t version = 0;
};
// Asks one proxy of the local zone for its version of a key.
struct MemberSurveyRequest {
  uint64_t survey = 0;
  std::string key;
};
struct MemberSurveyReply {
  uint64_t survey = 0;
  std::string key;
  uint64_t version = 0;
};
struct SurveyReply {
  uint64_t survey = 0;
  uint64_t total = 0;
  uint64_t behind = 0;
  // Names of some of the proxies that lag.
  std::vector<std::string> names;
};

using SpreadMessage = std::variant<Digest,
                                   BucketHashesRequest,
                                   BucketHashesReply,
                                   BucketPageRequest,
                                   BucketPage,
                                   RecentVersions,
                                   VersionAnnouncement,
                                   PieceRequest,
                                   Piece,
                                   Busy,
                                   SurveyRequest,
                                   MemberSurveyRequest,
                                   MemberSurveyReply,
                                   SurveyReply>;

// Maximum encoded message size in bytes; fits into a fleet datagram.
inline constexpr size_t kMaxSpreadMessage = 960;

// Thread-safe.
std::string EncodeSpread(const SpreadMessage& message);
// Errors: kInvalidArgument for malformed bytes and unknown message kinds.
// Thread-safe; never throws.
Result<SpreadMessage> DecodeSpread(std::string_view bytes);

}  // namespace jackdawturn::targets
