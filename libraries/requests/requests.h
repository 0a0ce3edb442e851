#pragma once

// Public header of the library requests.

#include "requests/ledger_compare.h"             // IWYU pragma: export
#include "requests/ledger_reader.h"              // IWYU pragma: export
#include "requests/linearizable_read_machine.h"  // IWYU pragma: export
#include "requests/request_machine.h"            // IWYU pragma: export
#include "requests/request_types.h"              // IWYU pragma: export
#include "requests/retention_machine.h"          // IWYU pragma: export
#include "requests/tally.h"                      // IWYU pragma: export
#include "requests/transaction_machine.h"        // IWYU pragma: export
#include "requests/transaction_table.h"          // IWYU pragma: export
#include "requests/transaction_types.h"          // IWYU pragma: export
