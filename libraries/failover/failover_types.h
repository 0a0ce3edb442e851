#pragma once

#include <optional>
#include <ostream>
#include <string>
#include <variant>
#include <vector>

#include "core/core.h"

namespace jackdawturn::failover {

// Matches the answer of a call to its effect; unique within one machine.
using FailoverCallId = Counter<struct FailoverCallIdTag>;

// A group's record with the version of its object in the platform's store.
struct VersionedRecord {
  ObjectVersion version;
  GroupRecord record;
};

// How one contact with an instance ended. The kinds of failure tell a process
// that ended from a host that is gone and from a process that is slow.
enum class CallOutcome {
  kAnswered,        // Any answer, also a refusal for a term or a limit.
  kRefused,         // The host answers, but nothing listens or it reset.
  kConnectTimeout,  // No handshake was completed in time.
  kNoAnswer,        // Connected, but no answer in time.
};

// A proxy of the fleet that may witness, or act as a candidate.
struct FailoverPeer {
  VmName vm;
  ZoneName zone;
};

// What a proxy says of an instance when another one asks.
struct WitnessView {
  // Time since the last answer of the instance; absent when there was none.
  std::optional<Duration> answered_ago;
  // True while contacts fail: one was refused, or has no answer for longer than
  // round trips of that instance explain.
  bool failing = false;
};

// Events: what the machine is told. The answer to each call is expected at the
// latest after the timeout of its effect; an answer that never comes only costs
// time, and a late one does no harm.
namespace failover_event {

// The time of FailoverMachine::next_wakeup() has come. Early or repeated calls
// do no harm; late ones count as a pause of this process.
struct TimerFired {};

// A watch, a peer or another module saw this version of the record.
struct RecordSeen {
  VersionedRecord seen;
};

// The proxies that hold this group, without those that are leaving. This proxy
// may be among them.
struct PeersChanged {
  std::vector<FailoverPeer> peers;
};

// Live traffic met an instance. `round_trip` is that of a report, and 0 for a
// statement, whose time says more of its work than of the instance. A busy
// proxy may report a sample, but at least one answer each 20 ms and the first
// failure at once. A closed connection is kRefused only when it was reset.
struct LiveRequestEnded {
  InstanceName instance;
  CallOutcome outcome = CallOutcome::kAnswered;
  Duration round_trip{0};
  std::optional<InstanceReport> report;
};

// Ends a SendProbe. `report` is set for kAnswered.
struct ProbeEnded {
  FailoverCallId call;
  CallOutcome outcome = CallOutcome::kNoAnswer;
  std::optional<InstanceReport> report;
};

// Another proxy's AskWitness arrived.
struct WitnessAsked {
  VmName from;
  FailoverCallId call;  // Of the asking machine.
  InstanceName instance;
};

// Another proxy's AnswerWitness arrived for an AskWitness of this machine.
struct WitnessAnswered {
  VmName from;
  FailoverCallId call;
  WitnessView view;
};

enum class PlatformOutcome {
  kDone,      // `current` is the record that was read or stored.
  kConflict,  // The update lost; `current` is set when it is known.
  kNoAnswer,  // Timeout or outage; an update may have taken effect.
};

// Ends a ReadRecord or UpdateRecord. An absent object is answered with kDone
// and version 0.
struct PlatformAnswered {
  FailoverCallId call;
  PlatformOutcome outcome = PlatformOutcome::kNoAnswer;
  std::optional<VersionedRecord> current;
};

// Ends a FenceInstance, PromoteInstance or FollowInstance. `report` is set when
// it succeeded, else `error` tells why not.
struct InstanceAnswered {
  FailoverCallId call;
  std::optional<InstanceReport> report;
  ErrorCode error = ErrorCode::kTimeout;
};

// An operator, or a drain, asks for another primary. The same `change` again is
// the same request. Conditional on `expected_term` unless that is 0.
struct ChangeRequested {
  AttemptId change;
  Term expected_term;
  std::string reason;
};

// The platform lists the server of this instance as leaving. When it is the
// primary, the proxies replace it in a planned change.
struct InstanceLeaving {
  InstanceName instance;
};

// Another proxy holds writes for a planned change (its HoldWrites).
struct PeerHoldsWrites {
  VmName from;
  Term term;  // The term that is about to end.
  Duration limit{0};
};

// Another proxy gave a planned change up (its ReleaseWrites).
struct PeerReleasesWrites {
  VmName from;
  Term term;
};

// Another proxy makes a change and still gets on (its AnnounceProgress).
struct PeerProgressAnnounced {
  VmName from;
  Term term;  // The term that it claims or has claimed.
  Duration limit{0};
};

}  // namespace failover_event

using FailoverEvent = std::variant<failover_event::TimerFired,
                                   failover_event::RecordSeen,
                                   failover_event::PeersChanged,
                                   failover_event::LiveRequestEnded,
                                   failover_event::ProbeEnded,
                                   failover_event::WitnessAsked,
                                   failover_event::WitnessAnswered,
                                   failover_event::PlatformAnswered,
                                   failover_event::InstanceAnswered,
                                   failover_event::ChangeRequested,
                                   failover_event::InstanceLeaving,
                                   failover_event::PeerHoldsWrites,
                                   failover_event::PeerReleasesWrites,
                                   failover_event::PeerProgressAnnounced>;

// Effects: what the machine asks for.
namespace failover_effect {

// Ask the instance for its report, at once and without waiting for a position;
// answer with ProbeEnded. A `fresh` probe opens a new connection and closes it
// again, so that a silent connection is told from a dead instance; a handshake
// that did not complete within `timeout` is kConnectTimeout, an answer that did
// not come is kNoAnswer. Other probes use a connection that is open.
struct SendProbe {
  FailoverCallId call;
  InstanceName instance;
  bool fresh = false;
  Duration timeout{0};
};

// Ask the machine of the same group on another proxy (WitnessAsked there).
struct AskWitness {
  FailoverCallId call;
  VmName to;
  InstanceName instance;
};

// Answer a WitnessAsked (WitnessAnswered there).
struct AnswerWitness {
  VmName to;
  FailoverCallId call;
  WitnessView view;
};

// Read the group's record; answer with PlatformAnswered.
struct ReadRecord {
  FailoverCallId call;
  Duration timeout{0};
};

// Store the record if its object has the version `expected`.
struct UpdateRecord {
  FailoverCallId call;
  ObjectVersion expected;
  GroupRecord record;
  Duration timeout{0};
};

// B3, B4 and B5 of docs/design.md; answer with InstanceAnswered. The calls are
// idempotent for their term.
struct FenceInstance {
  FailoverCallId call;
  InstanceName instance;
  Term term;
  Duration timeout{0};
};
struct PromoteInstance {
  FailoverCallId call;
  InstanceName instance;
  Term term;
  Duration timeout{0};
};
struct FollowInstance {
  FailoverCallId call;
  InstanceName instance;
  Term term;
  InstanceName primary;
  Duration timeout{0};
};

// The newest record that this proxy knows; every other module uses it from now
// on. A record in the phase kChanging means that the primary of the last steady
// record is being replaced.
struct RecordAccepted {
  VersionedRecord accepted;
};

// Send the record to the proxies of the group (RecordSeen there): to `first`
// directly, and to the others by gossip.
struct AnnounceRecord {
  VersionedRecord record;
  std::vector<VmName> first;
};

// Tell the proxies in `to` that this proxy makes a change
// (PeerProgressAnnounced there), so that they neither claim nor take over
// within `limit`. Lost messages only cost platform calls.
struct AnnounceProgress {
  Term term;
  Duration limit{0};
  std::vector<VmName> to;
};

// Keep new writes of this group in the queue until ReleaseWrites, or until
// `limit` has passed. With `announce`, tell the other proxies of the group
// (PeerHoldsWrites there).
struct HoldWrites {
  Term term;
  Duration limit{0};
  bool announce = false;
};

// End the hold. With `announce`, tell the other proxies of the group
// (PeerReleasesWrites there).
struct ReleaseWrites {
  Term term;
  bool announce = false;
};

// The end of a ChangeRequested: without `error` the record shows the change,
// else nothing was changed because of it.
struct ChangeEnded {
  AttemptId change;
  std::optional<Error> error;
};

// Whether reads may be sent to the instance. An instance that ran ahead in an
// old term is not readable until its log has reached the current term.
struct ReadableChanged {
  InstanceName instance;
  bool readable = true;
};

// An event for the time line: a step of the chart, or something worth noting
// in a state (then `from` equals `to`).
struct TimelineEntry {
  std::string from;
  std::string to;
  // The chart's event, or a name such as "pause_noticed".
  std::string event;
  Term term;
  AttemptId attempt;
  InstanceName instance;
  std::string detail;
};

}  // namespace failover_effect

using FailoverEffect = std::variant<failover_effect::SendProbe,
                                    failover_effect::AskWitness,
                                    failover_effect::AnswerWitness,
                                    failover_effect::ReadRecord,
                                    failover_effect::UpdateRecord,
                                    failover_effect::FenceInstance,
                                    failover_effect::PromoteInstance,
                                    failover_effect::FollowInstance,
                                    failover_effect::RecordAccepted,
                                    failover_effect::AnnounceRecord,
                                    failover_effect::AnnounceProgress,
                                    failover_effect::HoldWrites,
                                    failover_effect::ReleaseWrites,
                                    failover_effect::ChangeEnded,
                                    failover_effect::ReadableChanged,
                                    failover_effect::TimelineEntry>;

// What `jackdawturn status` shows of an instance.
struct InstanceFailoverStatus {
  InstanceName instance;
  // The last report and its age; absent when none was seen.
  std::optional<InstanceReport> report;
  Duration report_age{0};
  // Entries behind the newest known position of the primary.
  uint64_t lag = 0;
  // 0 without suspicion; at 1 or more the instance is taken for dead.
  double suspicion = 0;
  bool readable = true;
};

// What `jackdawturn status` shows of a group.
struct FailoverStatus {
  GroupName group;
  // State of the chart charts/failover.json.
  std::string state;
  // The newest record; its fields tell the last change, by whom and why.
  VersionedRecord newest;
  // The primary in use: that of the newest steady record, and its term.
  InstanceName primary;
  Term primary_term;
  std::vector<InstanceFailoverStatus> instances;
  // Whether this proxy was paused or cut off, so that it does not act.
  bool paused = false;
  bool cut_off = false;
  // Place of this proxy among the candidates of the next change, from 0.
  size_t candidate_rank = 0;
  // Why no change is made although the primary is suspected; else empty.
  std::string blocked_by;
};

}  // namespace jackdawturn::failover
