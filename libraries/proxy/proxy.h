#pragma once

// Public header of the library proxy: the decisions of one proxy, put together.

#include "proxy/proxy_events.h"   // IWYU pragma: export
#include "proxy/proxy_machine.h"  // IWYU pragma: export
#include "proxy/proxy_options.h"  // IWYU pragma: export
