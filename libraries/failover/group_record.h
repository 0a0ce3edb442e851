#pragma once

#include <string>
#include <string_view>

#include "core/core.h"

namespace jackdawturn::failover {

// Returns the key of a group's record in the platform's store, "groups/NAME".
// Thread-safe.
std::string GroupRecordKey(const GroupName& group);

// Returns the JSON text that is written to the store. Thread-safe.
std::string GroupRecordToJson(const GroupRecord& record);

// Parses the text of GroupRecordToJson. Unknown members are ignored, so that
// versions of the program can be mixed during an upgrade. Errors:
// kInvalidArgument with the JSON pointer of the first fault. Thread-safe.
Result<GroupRecord> GroupRecordFromJson(std::string_view text);

// Returns whether a log that ends at `end` is a prefix of, or equal to, the log
// of the group's current term, as far as the history shows. An entry of an
// older term at or after the start of a later term has diverged. Thread-safe.
bool LogMatchesTermHistory(const GroupRecord& record, TermPosition end);

}  // namespace jackdawturn::failover
