#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "core/core.h"
#include "targets/class_targets.h"

namespace jackdawturn::targets {

// Identifies one attempt of an operator to change targets. The operator's
// command draws it, so that a repeated command is recognised.
using ChangeId = Identifier<struct ChangeIdTag>;

// The value of the platform object "targets".
struct StoredTargets {
  // Changes that are remembered, which bounds how many later changes may pass
  // before a lost answer can no longer be recognised.
  static constexpr size_t kRememberedChanges = 32;

  ClassTargets classes;
  // The classes before the last change, for a rollback.
  ClassTargets previous;
  // The change ids of the last versions, newest first.
  std::vector<ChangeId> changes;
};

// Targets as they are in force, with the object's version.
struct Targets {
  ObjectVersion version;
  ChangeId change;
  ClassTargets classes;
};

// Errors: kInvalidArgument, naming the first fault; keys that a newer program
// has added are ignored. Thread-safe.
Result<StoredTargets> ParseStoredTargets(std::string_view value);
std::string SerializeStoredTargets(const StoredTargets& stored);

// Errors: as ParseStoredTargets.
Result<Targets> ReadTargets(ObjectVersion version, std::string_view value);

}  // namespace jackdawturn::targets
