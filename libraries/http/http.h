#pragma once

// Public header of the library http: HTTP/1.1 with keep-alive on Boost.Beast.

#include "http/http_client.h"     // IWYU pragma: export
#include "http/http_server.h"     // IWYU pragma: export
#include "http/http_types.h"      // IWYU pragma: export
#include "http/socket_options.h"  // IWYU pragma: export
