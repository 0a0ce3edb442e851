#pragma once

#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "charts/charts.h"
#include "core/core.h"
#include "failover/failover_types.h"
#include "failover/failure_detector.h"
#include "failover/instance_log_state.h"

namespace jackdawturn::failover {

// Timeouts and intervals of a primary change.
struct FailoverTimes {
  // Probe interval of the primary: shortly after live traffic stops, and once
  // the group is idle. Answers to live requests replace probes.
  Duration busy_probe_interval = std::chrono::milliseconds(30);
  Duration idle_probe_interval = std::chrono::milliseconds(200);
  // Probe interval of replicas, and of the primary on proxies with a high
  // candidate rank.
  Duration slow_probe_interval = std::chrono::milliseconds(1'000);
  // Interval of probes and of witness requests during suspicion.
  Duration suspect_probe_interval = std::chrono::milliseconds(20);
  // Delay of a candidate's claim for each candidate before it in the order.
  // Covers a claim and the announcement of its record.
  Duration candidate_stagger = std::chrono::milliseconds(30);
  // The next candidate takes over a change that makes no progress for this
  // long.
  Duration takeover = std::chrono::milliseconds(250);
  // Additional delay before a change when no witness has agreed.
  Duration no_witness_delay = std::chrono::milliseconds(300);
  // Call timeouts. Updates may queue behind those of other groups; when an
  // update is unanswered for `read_back`, the record is read, which is cheaper
  // than another update.
  Duration platform_timeout = std::chrono::milliseconds(1'000);
  Duration read_back = std::chrono::milliseconds(300);
  // Interval of the progress messages from the proxy that makes a change to the
  // next candidates.
  Duration progress_interval = std::chrono::milliseconds(80);
  Duration instance_timeout = std::chrono::milliseconds(60);
  // The change is claimed anew when the chosen instance does not answer
  // `promote` for this long.
  Duration promote_limit = std::chrono::milliseconds(200);
  // With n-1 reports, how long to wait for the last instance unless it is
  // suspected.
  Duration fence_grace = std::chrono::milliseconds(20);
  // How long the change waits for the instances to follow; repair handles the
  // rest.
  Duration follow_limit = std::chrono::milliseconds(200);
  // No unplanned change is started for this long after a change.
  Duration back_off_after_change = std::chrono::milliseconds(300);
  // Back-off after failed attempts; doubles up to the maximum, with jitter.
  Duration back_off_initial = std::chrono::milliseconds(200);
  Duration back_off_maximum = std::chrono::milliseconds(4'000);
  // Planned change: how long to wait for a replica to catch up before writes
  // are held, for writes in flight to finish, and for the replica while writes
  // are held; and the limit after which each proxy releases writes without a
  // message.
  Duration prepare_limit = std::chrono::milliseconds(1'000);
  Duration hold_settle = std::chrono::milliseconds(6);
  Duration hold_level_limit = std::chrono::milliseconds(60);
  Duration hold_limit = std::chrono::milliseconds(1'000);
};

struct FailoverSettings {
  GroupName group;
  VmName self;
  ZoneName zone;
  // The instances of a group that has no record yet; otherwise the record lists
  // them.
  std::vector<InstanceName> instances;
  // Seed of jitter and of attempt ids; must differ between proxies and between
  // restarts of one proxy.
  uint64_t seed = 0;
  FailoverTimes times;
  FailureDetectorSettings suspicion;
};

// Monitors the primary of one group on one proxy and replaces it through the
// group's record in the store (docs/design.md, section 5.2), as the chart
// charts/failover.json describes. Deterministic: reads no clock and draws from
// the seed only. Thread safety: not thread-safe; owned by the decision thread.
class FailoverMachine {
 public:
  // Precondition: group, self and instances are not empty.
  FailoverMachine(FailoverSettings settings, TimePoint now);

  // Handles an event at the time `now`, which never decreases, and returns the
  // effects to execute, in order.
  std::vector<FailoverEffect> Handle(const FailoverEvent& event, TimePoint now);

  // Returns when to send the next TimerFired; valid until the next Handle.
  TimePoint next_wakeup() const { return m_next_wakeup; }

  FailoverStatus Status(TimePoint now) const;
  // Returns the state of the chart charts/failover.json.
  const std::string& state() const { return m_state_chart.state(); }

 private:
  enum class CallKind {
    kProbe,
    kWitness,
    kClaim,
    kPublish,
    kRead,
    kFence,
    kPromote,
    kFollow,
  };
  struct PendingCall {
    CallKind kind;
    InstanceName instance;
    bool fresh = false;
    TimePoint sent;
    TimePoint deadline;
  };
  // The last report of an instance and the schedule of its calls.
  struct Instance {
    std::optional<InstanceReport> report;
    TimePoint report_at;
    TimePoint next_probe;
    TimePoint next_follow;
    // The last probe was not answered, so the next one opens a new connection.
    bool probe_fresh = false;
    InstanceLogState log_state = InstanceLogState::kUnknown;
  };
  // The current or last change of this proxy.
  struct Change {
    AttemptId attempt;
    std::string reason;
    bool planned = false;
    // Id of the ChangeRequested that is answered with ChangeEnded; else empty.
    AttemptId requested;
    Term old_term;
    InstanceName old_primary;
    Term term;
    ObjectVersion claimed_version;
    GroupRecord record;
    std::map<InstanceName, InstanceReport> reports;
    std::set<InstanceName> following;
    InstanceName chosen;
    TimePoint step_started;
    TimePoint next_retry;
    std::optional<TimePoint> enough_reports_at;
    Duration retry_delay{0};
    // Planned change: whether the record was read again, the position of the
    // old primary that a replica must reach, and when that position was set or
    // last requested.
    bool record_read = false;
    std::optional<LogPosition> target;
    TimePoint target_at;
  };

  // Events (failover_machine.cc).
  void On(const failover_event::TimerFired& event);
  void On(const failover_event::RecordSeen& event);
  void On(const failover_event::PeersChanged& event);
  void On(const failover_event::LiveRequestEnded& event);
  void On(const failover_event::ProbeEnded& event);
  void On(const failover_event::WitnessAsked& event);
  void On(const failover_event::WitnessAnswered& event);
  void On(const failover_event::PlatformAnswered& event);
  void On(const failover_event::InstanceAnswered& event);
  void On(const failover_event::ChangeRequested& event);
  void On(const failover_event::InstanceLeaving& event);
  void On(const failover_event::PeerHoldsWrites& event);
  void On(const failover_event::PeerReleasesWrites& event);
  void On(const failover_event::PeerProgressAnnounced& event);

  // Calls and steps (failover_machine.cc).
  FailoverCallId StartCall(CallKind kind,
                           const InstanceName& instance,
                           Duration timeout,
                           bool fresh = false);
  std::optional<PendingCall> EndCall(FailoverCallId call);
  void DropCalls(CallKind kind);
  bool HasCall(CallKind kind) const;
  void ExpireCalls();
  void Fire(const std::string& event, const std::string& detail = "");
  void AddTimelineEvent(const std::string& event,
                        const std::string& detail,
                        const InstanceName& instance = InstanceName());
  Duration Jitter(Duration delay);
  Duration BackOffDelay();
  void PlanWakeup();

  // Records (failover_records.cc).
  void Accept(const VersionedRecord& seen);
  void AcceptSteady(const VersionedRecord& seen);
  void HandleOwnRecord(const VersionedRecord& seen);
  void HandleOtherRecord(const VersionedRecord& seen);
  std::vector<VmName> NextCandidates() const;
  void Announce();
  void ReadRecord();
  const std::vector<InstanceName>& Instances() const;
  // Number of reports that include every acknowledged write: all instances but
  // one.
  size_t Quorum() const;
  Term NextTerm() const;
  void UpdateCandidateRank();
  std::vector<std::string> Order() const;

  // Monitoring (failover_watch.cc).
  void Watch();
  void WatchInstance(const InstanceName& name);
  void SendProbe(const InstanceName& name, bool fresh);
  void ProbeAll();
  void ProbeAnswered(const PendingCall& call, const InstanceReport& report);
  void ApplyReport(const InstanceName& name, const InstanceReport& report);
  void UpdateLogState(const InstanceName& name, Instance& instance);
  Duration ProbeInterval(const InstanceName& name) const;
  InstanceName Primary() const;
  bool ProbesFrequently() const;
  void Repair(const InstanceName& name, Instance& instance);
  void Suspect();
  void AskWitnesses();
  // Returns what prevents a change; empty when one may start.
  std::string ChangeBlockedReason() const;
  std::string PrimaryKeptReason(const InstanceName& primary) const;
  bool CanReachQuorum() const;
  Duration CandidateDelay() const;
  bool PlatformAnsweredRecently();

  // The change (failover_change.cc). Timeouts: those of FailoverTimes, extended
  // for long round trips, late timers or changes that did not complete, up to
  // back_off_maximum.
  Duration InstanceTimeout(const InstanceName& name) const;
  Duration ReadTimeout() const;
  Duration UpdateTimeout() const;
  Duration TakeoverTime() const;
  Duration PromoteLimit() const;
  Duration ExtendedTimeout(Duration time, Duration slow) const;
  // Returns `time`, doubled for each claim after the first since the last
  // completed change, at most FailoverTimes::back_off_maximum. With a fixed
  // takeover time, proxies would supersede each other's claims forever when all
  // calls are slow.
  Duration ScaledTimeout(Duration time) const;
  std::string NewAttempt(const std::string& prefix);
  void Claim();
  void OnClaimAnswer(const failover_event::PlatformAnswered& event);
  void OnPublishAnswer(const failover_event::PlatformAnswered& event);
  void OnReadAnswer(const failover_event::PlatformAnswered& event);
  void Claimed(const VersionedRecord& claimed);
  void SendFences();
  void RetryFences();
  void OnFenceAnswer(const InstanceName& name,
                     const failover_event::InstanceAnswered& event);
  void ChooseIfFenced();
  void ChoosePrimary();
  void SendPromote();
  void OnPromoteAnswer(const failover_event::InstanceAnswered& event);
  void SendPublish();
  void Published();
  void SendFollows();
  void OnFollowAnswer(const InstanceName& name,
                      const failover_event::InstanceAnswered& event);
  void RetryPromote();
  void RetryPublish();
  void EndFollowing();
  void AnnounceProgress();
  void ReadBack();
  void Superseded(const std::string& detail);
  void BackOff(const std::string& event, const std::string& detail);
  void Advance();

  // Planned change (failover_planned.cc).
  void StartPlanned(const AttemptId& change,
                    const std::string& reason,
                    bool requested);
  std::optional<Error> CheckPlannedChange(Term expected_term) const;
  bool IsDone(const AttemptId& change) const;
  void AdvancePlanned();
  void UpdateTarget(const PendingCall& call, const InstanceReport& report);
  bool ReplicaHasCaughtUp() const;
  void RefusePlanned(const std::string& message);
  void EndPlanned(std::optional<Error> error);
  void Release(bool announce);
  void ReplaceLeavingPrimary();

  FailoverSettings m_settings;
  StateChartInstance m_state_chart;
  FailureDetector m_detector;
  std::mt19937_64 m_random;
  TimePoint m_now;
  TimePoint m_next_wakeup;
  std::vector<FailoverEffect> m_effects;

  std::vector<FailoverPeer> m_peers;
  std::optional<VersionedRecord> m_newest;
  std::optional<VersionedRecord> m_steady;
  TimePoint m_newest_at;
  std::map<InstanceName, Instance> m_instances;
  std::set<InstanceName> m_leaving;
  TimePoint m_last_traffic;

  FailoverCallId m_last_call;
  std::map<FailoverCallId, PendingCall> m_calls;

  Change m_change;
  // Rank of this proxy among the candidates of the next term, from 0.
  size_t m_candidate_rank = 0;
  std::vector<VmName> m_witnesses;
  TimePoint m_next_witness_question;
  std::optional<TimePoint> m_eligible_since;
  // No unplanned change is started before this time.
  TimePoint m_back_off_until;
  TimePoint m_next_read;
  TimePoint m_next_read_back;
  // Time of the platform's last answer, and whether a later call was
  // unanswered.
  TimePoint m_platform_answered_at;
  bool m_platform_silent = false;
  uint32_t m_platform_unanswered = 0;
  RttEstimator m_platform_rtt;
  // Until when another proxy's change counts as making progress.
  TimePoint m_peer_progress_until;
  TimePoint m_next_progress;
  // When an instance first reported a higher term than the newest record.
  std::optional<TimePoint> m_higher_term_since;
  TimePoint m_next_leaving;
  uint32_t m_failures = 0;
  std::string m_blocked_by;
  // The term in which writes are held, and until when.
  std::optional<Term> m_held_term;
  TimePoint m_held_until;
};

}  // namespace jackdawturn::failover
