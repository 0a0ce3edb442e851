#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string_view>

#include "core/core.h"

namespace jackdawturn::routing {

using CallerName = Identifier<struct CallerNameTag>;

// A connection of this proxy to one instance, unique during the life of the
// RoutingMachine that chose the number; 0 means none.
using PoolConnectionId = Counter<struct PoolConnectionTag>;

// The operator's target for a class of work. One version applies to a request
// from start to end, so requests share it by pointer.
struct NamedClassTarget {
  ClassName name;
  // How old the data of a read may be; empty when the class accepts no age.
  std::optional<Duration> allowed_age;
  // How quickly a request must be answered, counted from its arrival.
  Duration answer_time{0};
  // Whether a request may be sent again although it may have run.
  bool repeatable = false;
};

enum class Operation {
  kRead,
  kWrite,  // One write with its ledger entry in one transaction.
  // Opens a transaction; its connection stays held until ConnectionReleased.
  kBegin,
  // A statement, commit or rollback on the held connection `held_connection`.
  kTransactionStep,
};

// A request as the routing sees it; the statement stays with the caller port.
struct RoutedRequest {
  RequestId id;
  GroupName group;
  CallerName caller;
  // Never null.
  std::shared_ptr<const NamedClassTarget> target;
  Operation operation = Operation::kRead;
  // The confirmed position that the session must see; term 0 for none.
  TermPosition required;
  // When the caller gives up. The routing uses the earlier one of this time and
  // the end of the class's answer time.
  TimePoint deadline;
  // The held connection, for kTransactionStep only.
  PoolConnectionId held_connection;
};

// Tells whether a log whose last entry is `held` contains `required`. The
// default uses that only confirmed positions enter a session, so that each
// later term contains them; the library sessions replaces it by its term
// history.
using ContainsPosition =
    std::function<bool(const TermPosition& held, const TermPosition& required)>;

bool ContainsConfirmedPosition(const TermPosition& held,
                               const TermPosition& required);

enum class InstanceHealth {
  kHealthy,
  kSuspect,  // Used only when no healthy instance can answer in time.
  kDown,     // Gets no new work.
};

// What is known of an instance from the platform and the group's record.
struct InstanceView {
  InstanceName name;
  ZoneName zone;
  // A leaving instance gets no new work.
  bool leaving = false;
  // Connections that this proxy may have open to the instance.
  size_t connection_share = 0;
};

// Why a request was refused. Every refusal is `not_run`: a write that was sent
// and has no answer is handed over by ResolveUnknownOutcome instead.
enum class RefusalReason {
  kOverloaded,       // It cannot be answered in time with the present load.
  kShareExceeded,    // Its class, caller or group holds its share of places.
  kDeadline,         // The deadline has passed.
  kNoPrimary,        // No primary could be used within the deadline.
  kNoFreshInstance,  // No instance could show that its data is fresh enough.
  kRetryBudget,      // It did not run, and the retry budget is used up.
  kUnknownGroup,     // The proxy does not serve the group.
  kConnectionLost,   // The held connection of the transaction is gone.
};

// Returns the name used in answers and logs, for example "overloaded".
std::string_view ToString(RefusalReason reason);
std::string_view ToString(InstanceHealth health);

}  // namespace jackdawturn::routing
