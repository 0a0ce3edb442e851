#pragma once

// Public header of the library sessions.

#include "sessions/session_positions.h"  // IWYU pragma: export
#include "sessions/session_token.h"      // IWYU pragma: export
#include "sessions/term_history.h"       // IWYU pragma: export
