#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "core/core.h"

namespace jackdawturn::fleet {

enum class ShareMessageKind : uint8_t {
  // Requests a report and the release of connections beyond the share.
  kQuery = 1,
  kReport = 2,  // Reports what the sender holds or may still open.
  // Result of the first takeover trial after a proxy was removed.
  kTrialOpened = 3,
  kTrialRefused = 4,
};

// A message between the holders of a group.
struct ShareMessage {
  ShareMessageKind kind = ShareMessageKind::kQuery;
  GroupName group;
  // For each instance, the larger of the sender's connections and its share.
  std::vector<std::pair<InstanceName, uint64_t>> reserved_connections;
};

// Thread-safe.
std::string EncodeShareMessage(const ShareMessage& message);
// Errors: kInvalidArgument. Thread-safe; never throws.
Result<ShareMessage> DecodeShareMessage(std::string_view bytes);

}  // namespace jackdawturn::fleet
