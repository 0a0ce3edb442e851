#include "gateway/metadata_store.h"

namespace jackdawturn::gateway {

std::string_view ToString(RecordCollection collection) {
  switch (collection) {
    case RecordCollection::kConfiguration:
      return "configuration";
    case RecordCollection::kServers:
      return "servers";
    case RecordCollection::kPrimaryChanges:
      return "primary_changes";
    case RecordCollection::kPeers:
      return "peers";
    case RecordCollection::kGroupMembers:
      return "group_members";
  }
  return "";
}

}  // namespace jackdawturn::gateway
