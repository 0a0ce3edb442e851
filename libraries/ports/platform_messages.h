#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "core/core.h"
#include "http/http.h"

namespace jackdawturn {

// The calls to the platform's object API that the project uses; POST /v1/NAME
// with a JSON body. docs/interfaces.md describes them.

struct ReadObject {
  std::string key;
};
// Stores `value` if the object has the version `expected` (0: absent).
struct UpdateObject {
  std::string key;
  ObjectVersion expected;
  std::string value;
};
// Answers when an object under `prefix` changed after `after`, or after `wait`.
struct WatchObjects {
  std::string prefix;
  uint64_t after = 0;
  Duration wait{0};
};
struct ListVms {};

using PlatformRequest =
    std::variant<ReadObject, UpdateObject, WatchObjects, ListVms>;

struct ObjectChanges {
  // Pass it as `after` of the next watch.
  uint64_t revision = 0;
  std::vector<VersionedObject> objects;
};
struct VmList {
  std::vector<ListedVm> vms;
};

// Read and update answer with the object.
using PlatformResponse = std::variant<VersionedObject, ObjectChanges, VmList>;

// Coding as HTTP and JSON. All functions are thread-safe.
std::string TargetOf(const PlatformRequest& request);
std::string EncodeRequest(const PlatformRequest& request);
// Errors: kNotFound (no such call), kInvalidArgument.
Result<PlatformRequest> DecodePlatformRequest(std::string_view target,
                                              std::string_view body);
HttpResponse EncodeResponse(const Result<PlatformResponse>& response);
// Errors: the error that the platform sent, or kInternal when the answer is
// not understood.
Result<PlatformResponse> DecodeResponse(const PlatformRequest& request,
                                        const HttpResponse& response);

}  // namespace jackdawturn
