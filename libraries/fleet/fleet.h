#pragma once

// Public header of the library fleet.

#include "fleet/datagram.h"            // IWYU pragma: export
#include "fleet/drain_machine.h"       // IWYU pragma: export
#include "fleet/group_ownership.h"     // IWYU pragma: export
#include "fleet/member.h"              // IWYU pragma: export
#include "fleet/membership_machine.h"  // IWYU pragma: export
#include "fleet/share_division.h"      // IWYU pragma: export
