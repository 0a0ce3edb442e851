#pragma once

#include <cstddef>

#include "observe/observe.h"
#include "ports/ports.h"

namespace jackdawturn {

// Returns the event of a request that was refused because the ring to the
// decisions held `depth` events, of which `limit` may be new work. Such a
// request never reached the decisions and is not on the time line, only in the
// log. Thread-safe.
TimelineEvent FullRingEvent(const VmName& vm,
                            const CallerRequest& refused,
                            size_t depth,
                            size_t limit,
                            ClockTime now);

}  // namespace jackdawturn
