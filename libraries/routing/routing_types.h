#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string_view>

#include "core/core.h"

namespace jackdawturn::routing {

using CallerName = Identifier<struct CallerNameTag>;

// Identifies a connection of this proxy to one instance. Unique during the
// lifetime of the RoutingMachine that assigned it; 0 means none.
using PoolConnectionId = Counter<struct PoolConnectionTag>;

// The operator's target for a class of requests. One version applies to a
// request from start to end, so requests share it by pointer.
struct NamedClassTarget {
  ClassName name;
  // How old the data of a read may be; empty when the class accepts no stale
  // data.
  std::optional<Duration> allowed_age;
  // How quickly a request must be answered, counted from its arrival.
  Duration answer_time{0};
  // True when a request may be sent again although it may have run.
  bool repeatable = false;
};

enum class Operation {
  kRead,
  kWrite,  // One write with its ledger entry in one transaction.
  // Begins a transaction; its connection is held until ConnectionReleased.
  kBegin,
  // A statement, commit or rollback on the held connection `held_connection`.
  kTransactionStep,
};

// A request without its statement, which stays with the caller port.
struct RoutedRequest {
  RequestId id;
  GroupName group;
  CallerName caller;
  // Never null.
  std::shared_ptr<const NamedClassTarget> target;
  Operation operation = Operation::kRead;
  // The confirmed position that a read must include; term 0 for none.
  TermPosition required;
  // The caller's deadline. The routing uses the earlier of this time and the
  // end of the class's answer time.
  TimePoint deadline;
  // The held connection, for kTransactionStep only.
  PoolConnectionId held_connection;
};

// Returns whether a log whose last entry is `held` contains `required`. The
// default relies on sessions recording only confirmed positions, which every
// later term contains; the library sessions replaces it by its term history.
using ContainsPosition =
    std::function<bool(const TermPosition& held, const TermPosition& required)>;

bool ContainsConfirmedPosition(const TermPosition& held,
                               const TermPosition& required);

enum class InstanceHealth {
  kHealthy,
  kSuspect,  // Used only when no healthy instance can answer in time.
  kDown,     // Gets no new requests.
};

// The description of an instance from the platform and the group's record.
struct InstanceView {
  InstanceName name;
  ZoneName zone;
  // A leaving instance gets no new requests.
  bool leaving = false;
  // Connections that this proxy may have open to the instance.
  size_t connection_share = 0;
};

// Why a request was refused. Every refusal means `not_run`: a write that was
// sent and not answered is handed over by ResolveUnknownOutcome instead.
enum class RefusalReason {
  kOverloaded,       // It cannot be answered in time under the current load.
  kShareExceeded,    // Its class, caller or group has used up its share.
  kDeadline,         // The deadline has passed.
  kNoPrimary,        // No primary was usable within the deadline.
  kNoFreshInstance,  // No instance was shown to be fresh enough.
  kRetryBudget,      // It did not run, and the retry budget is exhausted.
  kUnknownGroup,     // The proxy does not serve the group.
  kConnectionLost,   // The held connection of the transaction was lost.
};

// Returns the name used in answers and logs, for example "overloaded".
std::string_view ToString(RefusalReason reason);
std::string_view ToString(InstanceHealth health);

}  // namespace jackdawturn::routing
