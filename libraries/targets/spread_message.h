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
  kPeriodic = 0,  // Answered by kAnswer if the tables differ.
  kQuestion = 1,  // Answered by kAnswer in any case.
  kAnswer = 2,
};

// Summary of a proxy's table, sent to a random peer at each interval.
struct Digest {
  uint64_t hash = 0;
  uint64_t count = 0;
  // Time since this table was known to agree with the platform, in
  // microseconds; UINT64_MAX when never.
  uint64_t age_us = 0;
  // False while the sender is still catching up.
  bool ready = false;
  DigestPurpose purpose = DigestPurpose::kPeriodic;
};

// Hashes of all buckets, asked for when two digests differ.
struct BucketHashesRequest {};
struct BucketHashesReply {
  std::vector<uint64_t> hashes;
};

// Keys and versions of one bucket, a page at a time.
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

// The versions that the sender accepted last, sent when two digests differ:
// mostly the difference is among them.
struct RecentVersions {
  std::vector<KeyVersion> keys;
};

// Tells of a version without its value.
struct VersionAnnouncement {
  std::string key;
  uint64_t version = 0;
};
// Asks for the bytes of a version from `offset`.
struct PieceRequest {
  std::string key;
  uint64_t version = 0;
  uint64_t offset = 0;
};
// A piece of a value; a small value is one piece. `size` is the whole size.
struct Piece {
  std::string key;
  uint64_t version = 0;
  uint64_t offset = 0;
  uint64_t size = 0;
  std::string bytes;
};
// The sender serves too many; ask another peer, or later.
struct Busy {};

// Which proxies of the receiver's zone have not reached a version of a key.
struct SurveyRequest {
  uint64_t survey = 0;
  std::string key;
  uint64_t version = 0;
};
// The same question to one proxy of the own zone.
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
  // Names of some that are behind.
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

// Largest encoded message, in bytes; fits into a datagram of the fleet.
inline constexpr size_t kMaxSpreadMessage = 960;

// Thread-safe.
std::string EncodeSpread(const SpreadMessage& message);
// Errors: kInvalidArgument for malformed bytes and for kinds of message that
// this program does not know. Thread-safe; never throws.
Result<SpreadMessage> DecodeSpread(std::string_view bytes);

}  // namespace jackdawturn::targets
