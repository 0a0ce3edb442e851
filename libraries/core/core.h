#pragma once

// Public header of the library core.

#include "core/answer_times.h"    // IWYU pragma: export
#include "core/bounded_ring.h"    // IWYU pragma: export
#include "core/database_types.h"  // IWYU pragma: export
#include "core/error.h"           // IWYU pragma: export
#include "core/event_line.h"      // IWYU pragma: export
#include "core/hash.h"            // IWYU pragma: export
#include "core/identifiers.h"     // IWYU pragma: export
#include "core/json_fields.h"     // IWYU pragma: export
#include "core/json_split.h"      // IWYU pragma: export
#include "core/overloaded.h"      // IWYU pragma: export
#include "core/platform_types.h"  // IWYU pragma: export
#include "core/request_time.h"    // IWYU pragma: export
#include "core/time.h"            // IWYU pragma: export
