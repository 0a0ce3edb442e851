#pragma once

// Public header of the library routing.

#include "routing/admission_queue.h"      // IWYU pragma: export
#include "routing/concurrency_limiter.h"  // IWYU pragma: export
#include "routing/connection_pool.h"      // IWYU pragma: export
#include "routing/instance_choice.h"      // IWYU pragma: export
#include "routing/replica_freshness.h"    // IWYU pragma: export
#include "routing/retry_budget.h"         // IWYU pragma: export
#include "routing/routing_events.h"       // IWYU pragma: export
#include "routing/routing_machine.h"      // IWYU pragma: export
#include "routing/routing_options.h"      // IWYU pragma: export
#include "routing/routing_types.h"        // IWYU pragma: export
