#pragma once

// Public header of the library failover.

#include "failover/failover_machine.h"    // IWYU pragma: export
#include "failover/failover_types.h"      // IWYU pragma: export
#include "failover/failure_detector.h"    // IWYU pragma: export
#include "failover/group_record.h"        // IWYU pragma: export
#include "failover/instance_log_state.h"  // IWYU pragma: export
