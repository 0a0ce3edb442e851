#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "core/core.h"

namespace jackdawturn::fleet {

enum class ShareMessageKind : uint8_t {
  kQuery = 1,   // Asks for a report, and for connections beyond the share.
  kReport = 2,  // Says what the sender holds or may still open.
  // The result of the first try to take over from a proxy that vanished.
  kTrialOpened = 3,
  kTrialRefused = 4,
};

// A message between the holders of a group.
struct ShareMessage {
  ShareMessageKind kind = ShareMessageKind::kQuery;
  GroupName group;
  // For each instance the larger of what the sender holds and its share.
  std::vector<std::pair<InstanceName, uint64_t>> reserved_connections;
};

// Thread-safe.
std::string EncodeShareMessage(const ShareMessage& message);
// Errors: kInvalidArgument. Thread-safe; never throws.
Result<ShareMessage> DecodeShareMessage(std::string_view bytes);

}  // namespace jackdawturn::fleet
