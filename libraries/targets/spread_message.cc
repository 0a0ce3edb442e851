#include "targets/spread_message.h"

#include <type_traits>
#include <utility>

// FIXME: WireWriter and WireReader belong into the library core, because this
// library depends on the header of another one only for them.
#include "core/wire_archive.h"

namespace jackdawturn::targets {

namespace {

// Message kinds on the wire; a number is never reused.
enum class Kind : uint8_t {
  kDigest = 1,
  kBucketHashesRequest = 2,
  kBucketHashesReply = 3,
  kBucketPageRequest = 4,
  kBucketPage = 5,
  kRecentVersions = 6,
  kVersionAnnouncement = 7,
  kPieceRequest = 8,
  kPiece = 9,
  kBusy = 10,
  kSurveyRequest = 11,
  kMemberSurveyRequest = 12,
  kMemberSurveyReply = 13,
  kSurveyReply = 14,
};

struct Encoder {
  WireWriter writer;

  void Keys(const std::vector<KeyVersion>& keys) {
    writer.Add(static_cast<uint16_t>(keys.size()));
    for (const KeyVersion& item : keys)
      writer.Add(item.key, item.version);
  }

  void operator()(const Digest& m) {
    writer.Add(Kind::kDigest, m.hash, m.count, m.age_us, m.ready, m.purpose);
  }
  void operator()(const BucketHashesRequest& /*message*/) {
    writer.Add(Kind::kBucketHashesRequest);
  }
  void operator()(const BucketHashesReply& m) {
    writer.Add(Kind::kBucketHashesReply,
               static_cast<uint16_t>(m.hashes.size()));
    for (const uint64_t hash : m.hashes)
      writer.Add(hash);
  }
  void operator()(const BucketPageRequest& m) {
    writer.Add(Kind::kBucketPageRequest, m.bucket, m.after);
  }
  void operator()(const BucketPage& m) {
    writer.Add(Kind::kBucketPage, m.bucket, m.after, m.last);
    Keys(m.keys);
  }
  void operator()(const RecentVersions& m) {
    writer.Add(Kind::kRecentVersions);
    Keys(m.keys);
  }
  void operator()(const VersionAnnouncement& m) {
    writer.Add(Kind::kVersionAnnouncement, m.key, m.version);
  }
  void operator()(const PieceRequest& m) {
    writer.Add(Kind::kPieceRequest, m.key, m.version, m.offset);
  }
  void operator()(const Piece& m) {
    writer.Add(Kind::kPiece, m.key, m.version, m.offset, m.size, m.bytes);
  }
  void operator()(const Busy& /*message*/) { writer.Add(Kind::kBusy); }
  void operator()(const SurveyRequest& m) {
    writer.Add(Kind::kSurveyRequest, m.survey, m.key, m.version);
  }
  void operator()(const MemberSurveyRequest& m) {
    writer.Add(Kind::kMemberSurveyRequest, m.survey, m.key);
  }
  void operator()(const MemberSurveyReply& m) {
    writer.Add(Kind::kMemberSurveyReply, m.survey, m.key, m.version);
  }
  void operator()(const SurveyReply& m) {
    writer.Add(Kind::kSurveyReply, m.survey, m.total, m.behind,
               static_cast<uint16_t>(m.names.size()));
    for (const std::string& name : m.names)
      writer.Add(name);
  }
};

bool ReadKeys(WireReader& reader, std::vector<KeyVersion>& keys) {
  uint16_t count = 0;
  if (!reader.Read(count))
    return false;
  for (uint16_t index = 0; index < count; ++index) {
    KeyVersion& item = keys.emplace_back();
    if (!reader.Read(item.key, item.version))
      return false;
  }
  return true;
}

bool ReadBucketHashes(WireReader& reader, std::vector<uint64_t>& hashes) {
  uint16_t count = 0;
  if (!reader.Read(count))
    return false;
  for (uint16_t index = 0; index < count; ++index) {
    if (!reader.Read(hashes.emplace_back()))
      return false;
  }
  return true;
}

bool ReadNames(WireReader& reader, std::vector<std::string>& names) {
  uint16_t count = 0;
  if (!reader.Read(count))
    return false;
  for (uint16_t index = 0; index < count; ++index) {
    if (!reader.Read(names.emplace_back()))
      return false;
  }
  return true;
}

bool ReadMessage(Kind kind, WireReader& reader, SpreadMessage& message) {
  switch (kind) {
    case Kind::kDigest: {
      auto& m = message.emplace<Digest>();
      uint8_t purpose = 0;
      if (!reader.Read(m.hash, m.count, m.age_us, m.ready, purpose) ||
          purpose > static_cast<uint8_t>(DigestPurpose::kAnswer))
        return false;
      m.purpose = static_cast<DigestPurpose>(purpose);
      return true;
    }
    case Kind::kBucketHashesRequest:
      message.emplace<BucketHashesRequest>();
      return true;
    case Kind::kBucketHashesReply:
      return ReadBucketHashes(reader,
                              message.emplace<BucketHashesReply>().hashes);
    case Kind::kBucketPageRequest: {
      auto& m = message.emplace<BucketPageRequest>();
      return reader.Read(m.bucket, m.after);
    }
    case Kind::kBucketPage: {
      auto& m = message.emplace<BucketPage>();
      return reader.Read(m.bucket, m.after, m.last) && ReadKeys(reader, m.keys);
    }
    case Kind::kRecentVersions:
      return ReadKeys(reader, message.emplace<RecentVersions>().keys);
    case Kind::kVersionAnnouncement: {
      auto& m = message.emplace<VersionAnnouncement>();
      return reader.Read(m.key, m.version);
    }
    case Kind::kPieceRequest: {
      auto& m = message.emplace<PieceRequest>();
      return reader.Read(m.key, m.version, m.offset);
    }
    case Kind::kPiece: {
      auto& m = message.emplace<Piece>();
      return reader.Read(m.key, m.version, m.offset, m.size, m.bytes);
    }
    case Kind::kBusy:
      message.emplace<Busy>();
      return true;
    case Kind::kSurveyRequest: {
      auto& m = message.emplace<SurveyRequest>();
      return reader.Read(m.survey, m.key, m.version);
    }
    case Kind::kMemberSurveyRequest: {
      auto& m = message.emplace<MemberSurveyRequest>();
      return reader.Read(m.survey, m.key);
    }
    case Kind::kMemberSurveyReply: {
      auto& m = message.emplace<MemberSurveyReply>();
      return reader.Read(m.survey, m.key, m.version);
    }
    case Kind::kSurveyReply: {
      auto& m = message.emplace<SurveyReply>();
      return reader.Read(m.survey, m.total, m.behind) &&
             ReadNames(reader, m.names);
    }
  }
  return false;
}

}  // namespace

std::string EncodeSpread(const SpreadMessage& message) {
  Encoder encoder;
  std::visit(encoder, message);
  return encoder.writer.bytes();
}

Result<SpreadMessage> DecodeSpread(std::string_view bytes) {
  constexpr const char* kStep = "targets.spread_message";
  WireReader reader(bytes);
  uint8_t kind = 0;
  SpreadMessage message;
  if (!reader.Read(kind))
    return Failure(ErrorCode::kInvalidArgument, kStep, "",
                   "empty spread message");
  if (!ReadMessage(static_cast<Kind>(kind), reader, message))
    return Failure(
        ErrorCode::kInvalidArgument, kStep, "",
        "malformed or unknown spread message of kind " + std::to_string(kind));
  return message;
}

}  // namespace jackdawturn::targets
