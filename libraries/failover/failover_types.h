#pragma once

#include <optional>
#include <ostream>
#include <string>
#include <variant>
#include <vector>

#include "core/core.h"

namespace jackdawturn::failover {

// Correlates the answer of a call with its effect; unique within one machine.
using FailoverCallId = Counter<struct FailoverCallIdTag>;

// A group's record with the version of its object in the platform's store.
struct VersionedRecord {
  ObjectVersion version;
  GroupRecord record;
};

// Outcome of one contact with an instance. The kinds of failure distinguish a
// terminated process, an unreachable host and a slow process.
enum class CallOutcome {
  kAnswered,        // Any answer, including a refusal for a term or a limit.
  kRefused,         // The host is up but refused or reset the connection.
  kConnectTimeout,  // No handshake completed in time.
  kNoAnswer,        // Connected, but no answer in time.
};

// A proxy of the fleet that may be a witness or a candidate.
struct FailoverPeer {
  VmName vm;
  ZoneName zone;
};

// Answer of a witness: how it observes an instance.
struct WitnessView {
  // Time since the instance last answered; absent when it never did.
  std::optional<Duration> answered_ago;
  // True while contacts fail: one was refused, or has been unanswered for
  // longer than the round trips of that instance explain.
  bool failing = false;
};

// Inputs of the machine. The answer to a call is due within the timeout of its
// effect; a missing answer only costs time, and a late one is harmless.
namespace failover_event {

// The time of FailoverMachine::next_wakeup() has come. Early or repeated events
// are harmless; a late one may count as a pause of this process.
struct TimerFired {};

// A watch, a peer or another module received this version of the record.
struct RecordSeen {
  VersionedRecord seen;
};

// The proxies that hold this group, without those that are leaving. This proxy
// may be among them.
struct PeersChanged {
  std::vector<FailoverPeer> peers;
};

// A live request to an instance ended. `round_trip` is that of a report, and 0
// for a statement, whose duration depends more on its work than on the
// instance. A busy proxy may send a sample, but at least one answer every 20
// ms, and the first failure immediately. A closed connection is kRefused only
// when it was reset.
struct LiveRequestEnded {
  InstanceName instance;
  CallOutcome outcome = CallOutcome::kAnswered;
  Duration round_trip{0};
  std::optional<InstanceReport> report;
};

// Answers a SendProbe. `report` is set for kAnswered.
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
  kConflict,  // Another version is stored; `current` is set when known.
  kNoAnswer,  // Timeout or outage; an update may have taken effect.
};

// Answers a ReadRecord or UpdateRecord. An absent object gives kDone and
// version 0.
struct PlatformAnswered {
  FailoverCallId call;
  PlatformOutcome outcome = PlatformOutcome::kNoAnswer;
  std::optional<VersionedRecord> current;
};

// Answers a FenceInstance, PromoteInstance or FollowInstance. `report` is set
// on success, `error` on failure.
struct InstanceAnswered {
  FailoverCallId call;
  std::optional<InstanceReport> report;
  ErrorCode error = ErrorCode::kTimeout;
};

// An operator or a drain requests a planned change. Idempotent by `change`.
// Conditional on `expected_term` unless that is 0.
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

// Another proxy abandoned a planned change (its ReleaseWrites).
struct PeerReleasesWrites {
  VmName from;
  Term term;
};

// Another proxy's change is making progress (its AnnounceProgress).
struct PeerProgressAnnounced {
  VmName from;
  Term term;  // The term that the change claims or has claimed.
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

// Outputs of the machine, which its owner executes.
namespace failover_effect {

// Requests the instance's report immediately, without waiting for a position;
// answered with ProbeEnded. A `fresh` probe opens a new connection and closes
// it afterwards, which distinguishes an unresponsive connection from a dead
// instance; a handshake that does not complete within `timeout` is
// kConnectTimeout, a missing answer is kNoAnswer. Other probes use an open
// connection.
struct SendProbe {
  FailoverCallId call;
  InstanceName instance;
  bool fresh = false;
  Duration timeout{0};
};

// Asks the machine of the same group on another proxy (WitnessAsked there).
struct AskWitness {
  FailoverCallId call;
  VmName to;
  InstanceName instance;
};

// Answers a WitnessAsked (WitnessAnswered there).
struct AnswerWitness {
  VmName to;
  FailoverCallId call;
  WitnessView view;
};

// Reads the group's record; answered with PlatformAnswered.
struct ReadRecord {
  FailoverCallId call;
  Duration timeout{0};
};

// Stores the record if its object has the version `expected`.
struct UpdateRecord {
  FailoverCallId call;
  ObjectVersion expected;
  GroupRecord record;
  Duration timeout{0};
};

// B3, B4 and B5 of docs/design.md; answered with InstanceAnswered. The calls
// are idempotent for their term.
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

// The newest record that this proxy has received; all other modules use it from
// now on. A record in the phase kChanging means that the primary of the last
// steady record is being replaced.
struct RecordAccepted {
  VersionedRecord accepted;
};

// Sends the record to the proxies of the group (RecordSeen there): to `first`
// directly, and to the others by gossip.
struct AnnounceRecord {
  VersionedRecord record;
  std::vector<VmName> first;
};

// Notifies the proxies in `to` that this proxy's change is making progress
// (PeerProgressAnnounced there), so that they neither claim nor take over
// within `limit`. A lost message only costs platform calls.
struct AnnounceProgress {
  Term term;
  Duration limit{0};
  std::vector<VmName> to;
};

// Keeps new writes of this group queued until ReleaseWrites, or until `limit`
// has passed. With `announce`, notifies the other proxies of the group
// (PeerHoldsWrites there).
struct HoldWrites {
  Term term;
  Duration limit{0};
  bool announce = false;
};

// Ends the hold. With `announce`, notifies the other proxies of the group
// (PeerReleasesWrites there).
struct ReleaseWrites {
  Term term;
  bool announce = false;
};

// Outcome of a ChangeRequested: without `error` the change is in the record;
// with it, a claim that was not answered may still take effect.
struct ChangeEnded {
  AttemptId change;
  std::optional<Error> error;
};

// Whether reads may be sent to the instance. An instance whose log diverged in
// an old term is not readable until the log has reached the current term.
struct ReadableChanged {
  InstanceName instance;
  bool readable = true;
};

// An event of the timeline: a transition of the chart, or an event within a
// state (then `from` equals `to`).
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

// Status of an instance as `jackdawturn status` shows it.
struct InstanceFailoverStatus {
  InstanceName instance;
  // The last report and its age; absent when none was received.
  std::optional<InstanceReport> report;
  Duration report_age{0};
  // Lag in entries behind the last reported position of the primary.
  uint64_t lag = 0;
  // 0 without suspicion; at 1 or more the instance counts as dead.
  double suspicion = 0;
  bool readable = true;
};

// Status of a group as `jackdawturn status` shows it.
struct FailoverStatus {
  GroupName group;
  // State of the chart charts/failover.json.
  std::string state;
  // The newest record, which includes who made the last change and why.
  VersionedRecord newest;
  // The primary in use: that of the newest steady record, and its term.
  InstanceName primary;
  Term primary_term;
  std::vector<InstanceFailoverStatus> instances;
  // Whether this proxy was recently paused, or is partitioned, and therefore
  // starts no change.
  bool paused = false;
  bool cut_off = false;
  // Rank of this proxy among the candidates of the next change, from 0.
  size_t candidate_rank = 0;
  // Why no change is made although the primary is suspected; else empty.
  std::string blocked_by;
};

}  // namespace jackdawturn::failover
