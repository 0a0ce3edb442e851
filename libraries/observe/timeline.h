#pragma once

#include <optional>
#include <string>
#include <vector>

#include "observe/timeline_event.h"

namespace jackdawturn {

// Selects events; a member that is not set selects all.
struct TimelineFilter {
  std::optional<GroupName> group;
  std::optional<RequestId> request;
  std::optional<VmName> vm;
  std::optional<EventKind> kind;
};

// Returns the events of all processes in causal order: by stamp, and by VM for
// equal stamps, which cannot have caused each other. Events that are equal in
// every member are kept once, so overlapping copies of a ring can be merged.
// Thread-safe.
std::vector<TimelineEvent> MergeTimelines(
    std::vector<std::vector<TimelineEvent>> timelines);

// Returns the selected events in their order. Thread-safe.
std::vector<TimelineEvent> FilterTimeline(
    const std::vector<TimelineEvent>& events,
    const TimelineFilter& filter);

// A change of primary, as the events show it.
struct FailoverSummary {
  GroupName group;
  Term term;
  // The new primary.
  InstanceName promoted;
  // The primary before it; empty if no event names it.
  InstanceName replaced;
  // The proxy that made the change, and why.
  VmName changed_by;
  std::string reason;
  std::optional<ClockTime> claimed;
  ClockTime promotion;
  std::optional<ClockTime> published;
  // The last answer of an earlier primary and the first one of the new one.
  std::optional<ClockTime> last_old_answer;
  std::optional<ClockTime> first_new_answer;

  // The failover gap; nothing if one of the answers is missing. It is 0 when
  // the last answer of the old primary was given after the first new one. Its
  // error is the difference of the clocks of the VMs that gave the answers.
  std::optional<Duration> gap() const;
};

// Returns the changes of primary in `events`, in the order of the promotions.
// Precondition: `events` are in the order of MergeTimelines. Thread-safe.
std::vector<FailoverSummary> SummarizeFailovers(
    const std::vector<TimelineEvent>& events);

}  // namespace jackdawturn
