#pragma once

#include "core/core.h"
#include "ports/ports.h"
#include "standins/standins.h"

namespace jackdawturn {

// Runs a call on the model of an instance, at once and without its waits.
// `connection` is used by calls of a transaction. Errors: those of
// DatabaseInstance; kInvalidArgument for OpenCall, because a caller of this
// function opens connections itself. Thread safety: that of `database`.
Result<BackendResponse> RunCall(DatabaseInstance& database,
                                ConnectionId connection,
                                const BackendRequest& request);

}  // namespace jackdawturn
