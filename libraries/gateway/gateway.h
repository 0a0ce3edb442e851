#pragma once

// Public header of the library gateway: serves clients that speak a statement
// protocol, with session consistency over a group's primary and replicas.

#include "gateway/acknowledged_positions.h"       // IWYU pragma: export
#include "gateway/backend_pool.h"                 // IWYU pragma: export
#include "gateway/backend_session.h"              // IWYU pragma: export
#include "gateway/change_announcement.h"          // IWYU pragma: export
#include "gateway/claims_view.h"                  // IWYU pragma: export
#include "gateway/client_session.h"               // IWYU pragma: export
#include "gateway/commit_confirmation.h"          // IWYU pragma: export
#include "gateway/customer_limits.h"              // IWYU pragma: export
#include "gateway/drain_schedule.h"               // IWYU pragma: export
#include "gateway/gateway_context.h"              // IWYU pragma: export
#include "gateway/gateway_host.h"                 // IWYU pragma: export
#include "gateway/gateway_log.h"                  // IWYU pragma: export
#include "gateway/gateway_types.h"                // IWYU pragma: export
#include "gateway/group_members.h"                // IWYU pragma: export
#include "gateway/instance_status.h"              // IWYU pragma: export
#include "gateway/lease_renewal.h"                // IWYU pragma: export
#include "gateway/limit_messages.h"               // IWYU pragma: export
#include "gateway/local_statement_execution.h"    // IWYU pragma: export
#include "gateway/metadata_store.h"               // IWYU pragma: export
#include "gateway/other_zone_reachability.h"      // IWYU pragma: export
#include "gateway/peer_directory.h"               // IWYU pragma: export
#include "gateway/position_history.h"             // IWYU pragma: export
#include "gateway/primary_change.h"               // IWYU pragma: export
#include "gateway/primary_change_record.h"        // IWYU pragma: export
#include "gateway/primary_failure_detector.h"     // IWYU pragma: export
#include "gateway/primary_lease.h"                // IWYU pragma: export
#include "gateway/queue_rate.h"                   // IWYU pragma: export
#include "gateway/read_selection.h"               // IWYU pragma: export
#include "gateway/record_cache.h"                 // IWYU pragma: export
#include "gateway/relayed_statement_execution.h"  // IWYU pragma: export
#include "gateway/replica_confirmation.h"         // IWYU pragma: export
#include "gateway/replica_lag_monitor.h"          // IWYU pragma: export
#include "gateway/server_directory.h"             // IWYU pragma: export
#include "gateway/server_pace.h"                  // IWYU pragma: export
#include "gateway/session_state.h"                // IWYU pragma: export
#include "gateway/shared_watches.h"               // IWYU pragma: export
#include "gateway/store_contact.h"                // IWYU pragma: export
#include "gateway/store_era.h"                    // IWYU pragma: export
#include "gateway/store_sync.h"                   // IWYU pragma: export
#include "gateway/timers.h"                       // IWYU pragma: export
#include "gateway/zone_isolation.h"               // IWYU pragma: export
