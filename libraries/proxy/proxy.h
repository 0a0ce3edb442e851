#pragma once

// Public header of the proxy library, which combines the decision libraries
// into one proxy.

#include "proxy/proxy_events.h"   // IWYU pragma: export
#include "proxy/proxy_machine.h"  // IWYU pragma: export
#include "proxy/proxy_options.h"  // IWYU pragma: export
