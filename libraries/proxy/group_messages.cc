#include "proxy/group_messages.h"

#include <algorithm>
#include <exception>
#include <sstream>

#include <cereal/archives/portable_binary.hpp>

namespace jackdawturn::proxy {

namespace {

constexpr size_t kMaxNameLength = 128;

// A string in cereal's string encoding. Decoding allocates at most
// kMaxNameLength bytes, whatever the length field claims.
struct WireName {
  std::string text;

  template <typename Archive>
  void save(Archive& archive) const {
    archive(static_cast<uint64_t>(text.size()));
    archive(cereal::binary_data(text.data(), text.size()));
  }
  template <typename Archive>
  void load(Archive& archive) {
    uint64_t size = 0;
    archive(size);
    if (size > kMaxNameLength)
      throw cereal::Exception("name exceeds the maximum length");
    text.resize(size);
    archive(cereal::binary_data(text.data(), text.size()));
  }
};

// The common encoding of all messages; fields that a kind does not use are
// empty.
struct Wire {
  uint8_t kind = 0;
  WireName group;
  uint64_t number = 0;
  WireName instance;
  int64_t time_us = -1;
  // 0 or 1.
  uint8_t flag = 0;
  uint8_t notice = 0;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(kind, group, number, instance, time_us, flag, notice);
  }
};

// Longer durations would overflow when they are added to a time point.
constexpr int64_t kLongestTimeUs =
    Duration(std::chrono::hours(24 * 365)).count();

Wire ToWire(const GroupMessage& message) {
  Wire wire;
  wire.kind = static_cast<uint8_t>(message.index());
  std::visit(Overloaded{[&wire](const WitnessQuestion& item) {
                          wire.group.text = item.group.value();
                          wire.number = item.call.value;
                          wire.instance.text = item.instance.value();
                        },
                        [&wire](const WitnessReply& item) {
                          wire.group.text = item.group.value();
                          wire.number = item.call.value;
                          wire.flag = item.view.failing ? 1 : 0;
                          if (item.view.answered_ago)
                            wire.time_us =
                                std::min(item.view.answered_ago->count(),
                                         kLongestTimeUs);
                        },
                        [&wire](const GroupNotice& item) {
                          wire.group.text = item.group.value();
                          wire.number = item.term.value;
                          wire.time_us = item.limit.count();
                          wire.notice = static_cast<uint8_t>(item.kind);
                        }},
             message);
  return wire;
}

}  // namespace

std::string EncodeGroupMessage(const GroupMessage& message) {
  std::ostringstream out;
  cereal::PortableBinaryOutputArchive archive(out);
  archive(ToWire(message));
  return out.str();
}

Result<GroupMessage> DecodeGroupMessage(std::string_view bytes) {
  const auto fail = [] {
    return Failure(ErrorCode::kInvalidArgument, "peer.decode", "",
                   "not a message between proxies");
  };
  constexpr size_t kMaxMessage = 1'200;
  if (bytes.size() > kMaxMessage)
    return fail();
  Wire wire;
  try {
    std::istringstream in{std::string(bytes)};
    cereal::PortableBinaryInputArchive archive(in);
    archive(wire);
  } catch (const std::exception&) {
    return fail();
  }
  if (wire.group.text.empty() || wire.flag > 1 || wire.time_us < -1 ||
      wire.time_us > kLongestTimeUs)
    return fail();
  const GroupName group(wire.group.text);
  switch (wire.kind) {
    case 0:
      return GroupMessage(WitnessQuestion{
          group, {wire.number}, InstanceName(wire.instance.text)});
    case 1: {
      failover::WitnessView view;
      view.failing = wire.flag == 1;
      if (wire.time_us >= 0)
        view.answered_ago = Duration(wire.time_us);
      return GroupMessage(WitnessReply{group, {wire.number}, view});
    }
    case 2:
      if (wire.time_us < 0 ||
          wire.notice > static_cast<uint8_t>(GroupNoticeKind::kProgress))
        return fail();
      return GroupMessage(GroupNotice{static_cast<GroupNoticeKind>(wire.notice),
                                      group, Term{wire.number},
                                      Duration(wire.time_us)});
    default:
      return fail();
  }
}

}  // namespace jackdawturn::proxy
