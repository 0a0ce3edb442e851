#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>

#include "core/core.h"
#include "failover/failover.h"

namespace jackdawturn::proxy {

// Messages between the GroupHosts of two proxies, carried in gossip payloads
// and encoded in cereal's portable binary format.

struct WitnessQuestion {
  GroupName group;
  failover::FailoverCallId call;
  InstanceName instance;
};
struct WitnessReply {
  GroupName group;
  failover::FailoverCallId call;
  failover::WitnessView view;
};
enum class GroupNoticeKind : uint8_t {
  kHold,      // Writes of `term` are held until `limit` has passed.
  kRelease,   // The hold has ended.
  kProgress,  // The sender runs the change to `term` and still makes progress.
};
struct GroupNotice {
  GroupNoticeKind kind = GroupNoticeKind::kHold;
  GroupName group;
  Term term;
  Duration limit{0};
};

using GroupMessage = std::variant<WitnessQuestion, WitnessReply, GroupNotice>;

// Thread-safe.
std::string EncodeGroupMessage(const GroupMessage& message);
// Errors: kInvalidArgument if the bytes are not a valid message. Never throws.
Result<GroupMessage> DecodeGroupMessage(std::string_view bytes);

}  // namespace jackdawturn::proxy
