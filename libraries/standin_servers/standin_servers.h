#pragma once

// Public header of the library standin_servers: the stand-ins for a backend
// server instance and for the platform behind HTTP, for tests and the demo.

#include "standin_servers/instance_server.h"  // IWYU pragma: export
#include "standin_servers/platform_server.h"  // IWYU pragma: export
