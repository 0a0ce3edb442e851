#pragma once

// Public header of the library observe.

#include "observe/escape.h"             // IWYU pragma: export
#include "observe/event_log.h"          // IWYU pragma: export
#include "observe/event_log_queue.h"    // IWYU pragma: export
#include "observe/event_ring.h"         // IWYU pragma: export
#include "observe/hybrid_clock.h"       // IWYU pragma: export
#include "observe/latency_quantiles.h"  // IWYU pragma: export
#include "observe/metrics.h"            // IWYU pragma: export
#include "observe/proxy_metrics.h"      // IWYU pragma: export
#include "observe/timeline.h"           // IWYU pragma: export
#include "observe/timeline_event.h"     // IWYU pragma: export
#include "observe/timeline_render.h"    // IWYU pragma: export
