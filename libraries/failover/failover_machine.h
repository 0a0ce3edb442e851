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

// Times of the change of a primary.
struct FailoverTimes {
  // Between probes of the primary after live traffic has stopped, and when
  // there has been none for a while. Live answers replace probes.
  Duration busy_probe_interval = std::chrono::milliseconds(30);
  Duration idle_probe_interval = std::chrono::milliseconds(200);
  // Between probes of replicas, and of the primary by proxies that are far back
  // in the order of candidates.
  Duration slow_probe_interval = std::chrono::milliseconds(1'000);
  // Between probes, and between questions to witnesses, during suspicion.
  Duration suspect_probe_interval = std::chrono::milliseconds(20);
  // Each candidate waits this long for each one before it in the order. It
  // covers a claim and the news of it.
  Duration candidate_stagger = std::chrono::milliseconds(30);
  // Without progress for this long the next candidate takes a change over.
  Duration takeover = std::chrono::milliseconds(250);
  // Extra wait when no witness can be asked.
  Duration no_witness_delay = std::chrono::milliseconds(300);
  // Timeouts of calls. Updates may wait behind those of other groups; after
  // `read_back` without an answer the record is read, which is cheaper.
  Duration platform_timeout = std::chrono::milliseconds(1'000);
  Duration read_back = std::chrono::milliseconds(300);
  // Between the messages of a proxy that makes a change to the next candidates.
  Duration progress_interval = std::chrono::milliseconds(80);
  Duration instance_timeout = std::chrono::milliseconds(60);
  // A chosen instance that does not answer `promote` for this long is given up.
  Duration promote_limit = std::chrono::milliseconds(200);
  // With n-1 reports, wait this long for an instance that is not suspected.
  Duration fence_grace = std::chrono::milliseconds(20);
  // Wait for the instances to follow, after which repair goes on.
  Duration follow_limit = std::chrono::milliseconds(200);
  // After each change.
  Duration back_off_after_change = std::chrono::milliseconds(300);
  // After failed attempts; doubles up to the maximum, with jitter.
  Duration back_off_initial = std::chrono::milliseconds(200);
  Duration back_off_maximum = std::chrono::milliseconds(4'000);
  // Planned change: wait for a level replica before writes are held, time for
  // held writes to end, wait for the replica while they are held, and the limit
  // after which proxies release writes by themselves.
  Duration prepare_limit = std::chrono::milliseconds(1'000);
  Duration hold_settle = std::chrono::milliseconds(6);
  Duration hold_level_limit = std::chrono::milliseconds(60);
  Duration hold_limit = std::chrono::milliseconds(1'000);
};

struct FailoverSettings {
  GroupName group;
  VmName self;
  ZoneName zone;
  // The instances of a group that has no record yet; else those of the record
  // count.
  std::vector<InstanceName> instances;
  // Seed of jitter and of attempt ids; must differ between proxies and between
  // the lives of one proxy.
  uint64_t seed = 0;
  FailoverTimes times;
  FailureDetectorSettings suspicion;
};

// Watches the primary of one group on one proxy and changes it through the
// platform's record (docs/design.md, section 5.2), as the chart
// charts/failover.json describes. Deterministic: reads no clock and draws from
// the seed only. Thread safety: not thread-safe; owned by the decision thread.
class FailoverMachine {
 public:
  // Precondition: group, self and instances are not empty.
  FailoverMachine(FailoverSettings settings, TimePoint now);

  // Takes an event at the time `now`, which never decreases, and returns what
  // is to be done, in order.
  std::vector<FailoverEffect> Handle(const FailoverEvent& event, TimePoint now);

  // When to send the next TimerFired; valid until the next Handle.
  TimePoint next_wakeup() const { return m_next_wakeup; }

  FailoverStatus Status(TimePoint now) const;
  // State of the chart.
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
  // What is known of an instance.
  struct Instance {
    std::optional<InstanceReport> report;
    TimePoint report_at;
    TimePoint next_probe;
    TimePoint next_follow;
    // The last probe had no answer, so the next one is fresh.
    bool probe_fresh = false;
    InstanceLogState log_state = InstanceLogState::kUnknown;
  };
  // The change that this proxy makes, or made last.
  struct Change {
    AttemptId attempt;
    std::string reason;
    bool planned = false;
    // The planned change that was asked for; its end is told unless it is
    // empty.
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
    // Planned change: the record was read again; position of the old primary
    // that a replica must reach, and when it was asked for.
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
  void Note(const std::string& event,
            const std::string& detail,
            const InstanceName& instance = InstanceName());
  Duration Jitter(Duration delay);
  Duration BackOffDelay();
  void PlanWakeup();

  // Records (failover_records.cc).
  void Accept(const VersionedRecord& seen);
  void AcceptSteady(const VersionedRecord& seen);
  void FollowOwnRecord(const VersionedRecord& seen);
  void FollowOthersRecord(const VersionedRecord& seen);
  std::vector<VmName> NextCandidates() const;
  void Announce();
  void ReadRecord();
  const std::vector<InstanceName>& Instances() const;
  // Reports of all instances but one include every acknowledged write.
  size_t Quorum() const;
  Term NextTerm() const;
  void UpdateCandidateRank();
  std::vector<std::string> Order() const;

  // Watching (failover_watch.cc).
  void Watch();
  void WatchInstance(const InstanceName& name);
  void SendProbe(const InstanceName& name, bool fresh);
  void ProbeAll();
  void ProbeAnswered(const PendingCall& call, const InstanceReport& report);
  void TakeReport(const InstanceName& name, const InstanceReport& report);
  void UpdateLogState(const InstanceName& name, Instance& instance);
  Duration ProbeInterval(const InstanceName& name) const;
  InstanceName Primary() const;
  bool Watcher() const;
  void Repair(const InstanceName& name, Instance& instance);
  void Suspect();
  void AskWitnesses();
  // Returns why no change may be started; empty when one may.
  std::string WhyNoChange() const;
  std::string WhyPrimaryStays(const InstanceName& primary) const;
  bool CanReachQuorum() const;
  Duration CandidateDelay() const;
  bool PlatformAnswersLately();

  // The change (failover_change.cc).
  // Timeouts of calls: those of FailoverTimes, longer where round trips are
  // long, timers late or changes not completed, up to back_off_maximum.
  Duration InstanceTimeout(const InstanceName& name) const;
  Duration ReadTimeout() const;
  Duration UpdateTimeout() const;
  Duration TakeoverTime() const;
  Duration PromoteLimit() const;
  Duration ExtendedTimeout(Duration time, Duration slow) const;
  // Returns `time`, doubled for each claim since the last completed change
  // after the first, at most FailoverTimes::back_off_maximum. Where all calls
  // are slow, proxies that take over after a fixed time replace each other's
  // claims without end.
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
  void Choose();
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
  std::optional<Error> WhyNoPlannedChange(Term expected_term) const;
  bool IsDone(const AttemptId& change) const;
  void AdvancePlanned();
  void TakeTarget(const PendingCall& call, const InstanceReport& report);
  bool ReplicaIsLevel() const;
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
  // Place of this proxy among the candidates of the next term.
  size_t m_candidate_rank = 0;
  std::vector<VmName> m_witnesses;
  TimePoint m_next_witness_question;
  std::optional<TimePoint> m_may_act_since;
  // No change is started before this time.
  TimePoint m_quiet_until;
  TimePoint m_next_read;
  TimePoint m_next_read_back;
  // The last answer of the platform, and whether a call had none since.
  TimePoint m_platform_answered_at;
  bool m_platform_silent = false;
  uint32_t m_platform_unanswered = 0;
  RttEstimator m_platform_rtt;
  // Until when another proxy's change gets on.
  TimePoint m_peer_progress_until;
  TimePoint m_next_progress;
  // Since when an instance reports a higher term than the newest record.
  std::optional<TimePoint> m_behind_since;
  TimePoint m_next_leaving;
  uint32_t m_failures = 0;
  std::string m_blocked_by;
  // The term whose writes are held, and until when.
  std::optional<Term> m_held_term;
  TimePoint m_held_until;
};

}  // namespace jackdawturn::failover
