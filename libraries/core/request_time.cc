#include "core/request_time.h"

#include <exception>

#include <boost/uuid/string_generator.hpp>
#include <boost/uuid/uuid.hpp>
#include <boost/uuid/uuid_io.hpp>

#include "core/hash.h"

namespace jackdawturn {

Result<WallTime> RequestTime(const RequestId& request) {
  constexpr size_t kTextLength = 36;
  constexpr size_t kTimeBytes = 6;
  boost::uuids::uuid uuid{};
  bool valid = request.value().size() == kTextLength;
  if (valid) {
    try {
      uuid = boost::uuids::string_generator()(request.value());
    } catch (const std::exception&) {
      valid = false;
    }
  }
  if (!valid || (uuid.data[kTimeBytes] >> 4) != 7)
    return Failure(ErrorCode::kInvalidArgument, "request.id", "",
                   "request id is not a UUID version 7: " + request.value());
  uint64_t milliseconds = 0;
  for (size_t index = 0; index < kTimeBytes; ++index)
    milliseconds = (milliseconds << 8) | uuid.data[index];
  return WallTime(std::chrono::milliseconds(milliseconds));
}

RequestId MakeRequestId(WallTime time, uint64_t random) {
  constexpr size_t kTimeBytes = 6;
  boost::uuids::uuid uuid{};
  const auto milliseconds =
      static_cast<uint64_t>(time.time_since_epoch().count());
  for (size_t index = 0; index < kTimeBytes; ++index)
    uuid.data[index] =
        static_cast<uint8_t>(milliseconds >> (8 * (kTimeBytes - 1 - index)));
  for (size_t index = 0; index < 8; ++index)
    uuid.data[8 + index] = static_cast<uint8_t>(random >> (8 * index));
  const uint64_t more = Hash64("request id", random);
  uuid.data[6] = static_cast<uint8_t>(0x70 | (more & 0x0f));
  uuid.data[7] = static_cast<uint8_t>(more >> 8);
  uuid.data[8] = static_cast<uint8_t>(0x80 | (uuid.data[8] & 0x3f));
  return RequestId(boost::uuids::to_string(uuid));
}

}  // namespace jackdawturn
