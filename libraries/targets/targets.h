#pragma once

// Public header of the library targets.

#include "targets/class_targets.h"   // IWYU pragma: export
#include "targets/spread_message.h"  // IWYU pragma: export
#include "targets/stored_targets.h"  // IWYU pragma: export
#include "targets/targets_editor.h"  // IWYU pragma: export
#include "targets/version_spread.h"  // IWYU pragma: export
#include "targets/version_table.h"   // IWYU pragma: export
