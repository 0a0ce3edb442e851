#pragma once

// Public header of the library rate_limits: decides how many operations of a
// customer may start, so that the proxies of all zones together keep to the
// customer's limit. Nothing here does I/O or reads a clock.

#include "rate_limits/grant_votes.h"    // IWYU pragma: export
#include "rate_limits/grantor.h"        // IWYU pragma: export
#include "rate_limits/permit_client.h"  // IWYU pragma: export
#include "rate_limits/recent_count.h"   // IWYU pragma: export
#include "rate_limits/token_bucket.h"   // IWYU pragma: export
