#pragma once

// Public header of the library ports: the interfaces between the decisions and
// the outside, with their HTTP adapters.

#include "ports/backend_codec.h"      // IWYU pragma: export
#include "ports/backend_json.h"       // IWYU pragma: export
#include "ports/backend_messages.h"   // IWYU pragma: export
#include "ports/backend_port.h"       // IWYU pragma: export
#include "ports/caller_messages.h"    // IWYU pragma: export
#include "ports/datagram_port.h"      // IWYU pragma: export
#include "ports/platform_messages.h"  // IWYU pragma: export
#include "ports/platform_port.h"      // IWYU pragma: export
#include "ports/relay_port.h"         // IWYU pragma: export
