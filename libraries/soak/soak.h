#pragma once

// Public header of the library soak: gateway processes under faults from a
// seed, and the check of the rules that they keep.

#include "soak/checker.h"      // IWYU pragma: export
#include "soak/group_model.h"  // IWYU pragma: export
#include "soak/schedule.h"     // IWYU pragma: export
#include "soak/soak_run.h"     // IWYU pragma: export
