#pragma once

// Public header of the library runtime: the threads of a proxy.

#include "runtime/duty.h"           // IWYU pragma: export
#include "runtime/proxy_process.h"  // IWYU pragma: export
