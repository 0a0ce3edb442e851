#pragma once

#include <string>

#include "core/identifiers.h"

namespace jackdawturn {

// An object of the platform's store.
struct VersionedObject {
  std::string key;
  ObjectVersion version;
  std::string value;
};

enum class VmState { kLive, kLeaving };

struct ListedVm {
  VmName name;
  ZoneName zone;
  VmState state = VmState::kLive;
};

}  // namespace jackdawturn
