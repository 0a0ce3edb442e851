#pragma once

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/core.h"
#include "observe/hybrid_clock.h"

namespace jackdawturn {

enum class EventKind {
  kRequest,     // A request was accepted, queued, sent or resolved.
  kAnswer,      // A caller was answered.
  kRouting,     // An instance was chosen.
  kConnection,  // A connection was opened, closed or found silent.
  kSuspicion,   // The suspicion of a primary changed.
  kFailover,    // A step of a change of primary.
  kMembership,  // A node joined, was suspected, left or died.
  kShare,       // Shares of connections moved.
  kTargets,     // A version of the targets was accepted or refused.
  kPlatform,    // The platform became reachable or unreachable.
  kProcess,     // The proxy started, became ready, drained or stopped.
};

// Returns the name used in filters and files, for example "failover".
std::string_view ToString(EventKind kind);

// Returns the kind of that name, or nothing.
std::optional<EventKind> ParseEventKind(std::string_view name);

// Keys of fields that SummarizeFailovers reads.
inline constexpr std::string_view kTermField = "term";
inline constexpr std::string_view kInstanceField = "instance";
inline constexpr std::string_view kOutcomeField = "outcome";
inline constexpr std::string_view kRoleField = "role";
inline constexpr std::string_view kReasonField = "reason";

// Steps of the kind kFailover that SummarizeFailovers reads. Each has the field
// kTermField; kPromoteStep also has kInstanceField, and kClaimStep can have
// kReasonField.
inline constexpr std::string_view kClaimStep = "claim";
inline constexpr std::string_view kPromoteStep = "promote";
inline constexpr std::string_view kPublishStep = "publish";

// The steps of the kind kRequest of a request that was taken on, and of a write
// or commit whose success was passed on; other steps of this kind tell of
// trouble.
inline constexpr std::string_view kAcceptedStep = "accepted";
inline constexpr std::string_view kAcknowledgedStep = "acknowledged";

// An answer that a primary gave has the kind kAnswer, the fields kTermField and
// kInstanceField, and these values of kRoleField and kOutcomeField.
inline constexpr std::string_view kPrimaryRole = "primary";
inline constexpr std::string_view kDoneOutcome = "done";

// An event of one process. Members that do not apply are empty.
struct TimelineEvent {
  HybridStamp stamp;
  VmName vm;
  EventKind kind = EventKind::kProcess;
  GroupName group;
  RequestId request;
  std::string step;
  // Names the VM, instance or address that was involved.
  std::string peer;
  std::map<std::string, std::string> fields;

  // Returns the field of that key, or an empty string.
  std::string_view field(std::string_view key) const;

  friend bool operator==(const TimelineEvent&, const TimelineEvent&) = default;
};

// Returns `{"events": [...]}` with the events in the given order. Bytes that
// are not UTF-8 become question marks. Thread-safe.
std::string WriteEvents(const std::vector<TimelineEvent>& events);

// Reads what WriteEvents has written; other keys of the document are ignored.
// Errors: kInvalidArgument, with the JSON pointer of the fault. Thread-safe.
Result<std::vector<TimelineEvent>> ReadEvents(std::string_view json);

}  // namespace jackdawturn
