#include "fleet/share_message.h"

#include "core/wire_archive.h"

namespace jackdawturn::fleet {

std::string EncodeShareMessage(const ShareMessage& message) {
  WireWriter writer;
  writer.Add(message.kind, message.group,
             static_cast<uint16_t>(message.reserved_connections.size()));
  for (const auto& [instance, reserved] : message.reserved_connections)
    writer.Add(instance, reserved);
  return writer.bytes();
}

Result<ShareMessage> DecodeShareMessage(std::string_view bytes) {
  const auto malformed = [] {
    return Failure(ErrorCode::kInvalidArgument, "fleet.share_message", "",
                   "malformed share message");
  };
  WireReader reader(bytes);
  ShareMessage message;
  uint8_t kind = 0;
  uint16_t count = 0;
  if (!reader.Read(kind, message.group, count))
    return malformed();
  if (kind < static_cast<uint8_t>(ShareMessageKind::kQuery) ||
      kind > static_cast<uint8_t>(ShareMessageKind::kTrialRefused))
    return malformed();
  message.kind = static_cast<ShareMessageKind>(kind);
  for (uint16_t index = 0; index < count; ++index) {
    InstanceName instance;
    uint64_t reserved = 0;
    if (!reader.Read(instance, reserved))
      return malformed();
    message.reserved_connections.emplace_back(std::move(instance), reserved);
  }
  return message;
}

}  // namespace jackdawturn::fleet
