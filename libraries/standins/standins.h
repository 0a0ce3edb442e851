#pragma once

// Public header of the library standins.

#include "standins/database_instance.h"  // IWYU pragma: export
#include "standins/platform_store.h"     // IWYU pragma: export
