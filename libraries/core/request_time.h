#pragma once

#include <cstdint>

#include "core/error.h"
#include "core/identifiers.h"
#include "core/time.h"

namespace jackdawturn {

// Returns the time in the first 48 bits of a UUID version 7 (RFC 9562,
// section 5.7). Errors: kInvalidArgument when the text is not such a UUID.
// Thread-safe.
Result<WallTime> RequestTime(const RequestId& request);

// Returns a UUID version 7 with the given time; `random` fills the rest.
// Thread-safe.
RequestId MakeRequestId(WallTime time, uint64_t random);

}  // namespace jackdawturn
