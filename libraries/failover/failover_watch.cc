#include <algorithm>
#include <sstream>

#include "failover/failover_machine.h"
#include "failover/group_record.h"

namespace jackdawturn::failover {

namespace {

// Number of proxies that probe the primary frequently. Candidates after them in
// the order receive the record of a change long before their own turn.
constexpr size_t kFrequentProbers = 8;
// A group is busy when it had live traffic within this time.
constexpr Duration kBusyTime = std::chrono::milliseconds(1'000);
// Probe interval of replicas during a change or suspicion.
constexpr Duration kReplicaProbeInterval = std::chrono::milliseconds(40);
constexpr Duration kDistantProbeInterval = std::chrono::milliseconds(500);
// An instance counts as reachable when it answered within this time.
constexpr Duration kReachableTime = std::chrono::milliseconds(200);
constexpr Duration kDistantReachableTime = std::chrono::milliseconds(1'200);
// The same in probe intervals and in round trips, where those are longer.
constexpr int kReachableIntervals = 3;
// When an instance reports a newer term and no record of that term arrives
// within this time, the announcement was lost.
constexpr Duration kAnnouncementDelay = std::chrono::milliseconds(300);
// The platform counts as responsive for this long after an answer.
constexpr Duration kPlatformAnswerLifetime = std::chrono::milliseconds(100);
// Minimum interval between repeated FollowInstance calls.
constexpr Duration kRepairInterval = std::chrono::milliseconds(500);

}  // namespace

bool FailoverMachine::ProbesFrequently() const {
  return m_candidate_rank < kFrequentProbers;
}

Duration FailoverMachine::ProbeInterval(const InstanceName& name) const {
  const FailoverTimes& times = m_settings.times;
  const bool frequent = ProbesFrequently();
  const bool checking = state() != "steady" && state() != "backing_off";
  // A second probe is useless while the first is queued at the instance.
  const auto limited = [&](Duration interval) {
    return std::max(m_detector.ScaledForTimerDelay(interval),
                    m_detector.SmoothedRoundTrip(name) / 2);
  };
  if (name == Primary() && m_detector.Failing(name, m_now))
    return limited(frequent ? times.suspect_probe_interval
                            : kDistantProbeInterval);
  if (checking)
    return limited(frequent ? kReplicaProbeInterval : kDistantProbeInterval);
  if (name != Primary() || !frequent)
    return times.slow_probe_interval;
  return limited(m_now - m_last_traffic < kBusyTime
                     ? times.busy_probe_interval
                     : times.idle_probe_interval);
}

void FailoverMachine::SendProbe(const InstanceName& name, bool fresh) {
  const Duration timeout = m_detector.ProbeTimeout(name, fresh);
  const FailoverCallId call = StartCall(CallKind::kProbe, name, timeout, fresh);
  m_detector.ProbeSent(name, m_now);
  m_effects.emplace_back(
      failover_effect::SendProbe{call, name, fresh, timeout});
}

void FailoverMachine::ProbeAll() {
  for (const InstanceName& name : Instances()) {
    m_instances[name].next_probe = m_now + ProbeInterval(name);
    SendProbe(name, false);
  }
}

void FailoverMachine::WatchInstance(const InstanceName& name) {
  Instance& instance = m_instances[name];
  const Duration interval = ProbeInterval(name);
  // The interval shrinks when suspicion begins.
  instance.next_probe = std::min(instance.next_probe, m_now + interval);
  if (instance.next_probe > m_now)
    return;
  const bool fresh = instance.probe_fresh || m_detector.Failing(name, m_now);
  SendProbe(name, fresh);
  instance.next_probe = m_now + interval;
}

void FailoverMachine::Watch() {
  for (const InstanceName& name : Instances()) {
    WatchInstance(name);
    Repair(name, m_instances[name]);
  }
}

void FailoverMachine::ProbeAnswered(const PendingCall& call,
                                    const InstanceReport& report) {
  m_instances[call.instance].probe_fresh = false;
  ApplyReport(call.instance, report);
  if (m_change.planned && (state() == "preparing" || state() == "holding"))
    UpdateTarget(call, report);
}

void FailoverMachine::ApplyReport(const InstanceName& name,
                                  const InstanceReport& report) {
  Instance& instance = m_instances[name];
  // Reports can arrive out of order. Accepted terms never decrease, nor do
  // positions within a term, so a report of a lower accepted term adds nothing.
  if (instance.report && report.accepted_term < instance.report->accepted_term)
    return;
  instance.report = report;
  instance.report_at = m_now;
  UpdateLogState(name, instance);
  // The record of a claim usually arrives soon after the fence.
  if (!m_newest || report.accepted_term <= m_newest->record.term)
    return;
  if (!m_higher_term_since)
    m_higher_term_since = m_now;
  if (m_now - *m_higher_term_since >= kAnnouncementDelay + CandidateDelay() &&
      m_now >= m_next_read)
    ReadRecord();
}

void FailoverMachine::UpdateLogState(const InstanceName& name,
                                     Instance& instance) {
  if (!instance.report || !m_steady)
    return;
  const InstanceReport& report = *instance.report;
  const GroupRecord& record = m_steady->record;
  // A log with a higher term than the record's belongs to a change that this
  // proxy has not observed, and is not known to diverge. During a rebuild a
  // report may look as if the log matched the history, so the chart ends a
  // rebuild only on a current log.
  const bool matches_history =
      report.log_term > record.term ||
      LogMatchesTermHistory(record, {report.log_term, report.position});
  const InstanceLogEvent event =
      report.log_term == record.term ? InstanceLogEvent::kReportCurrent
      : matches_history              ? InstanceLogEvent::kReportBehind
                                     : InstanceLogEvent::kReportAhead;
  const bool was_readable = Readable(instance.log_state);
  instance.log_state = NextLogState(instance.log_state, event);
  const bool readable = Readable(instance.log_state);
  if (readable == was_readable)
    return;
  m_effects.emplace_back(failover_effect::ReadableChanged{name, readable});
  AddTimelineEvent(readable ? "rebuilt" : "rebuilding", "", name);
}

void FailoverMachine::Repair(const InstanceName& name, Instance& instance) {
  if (!m_newest || m_newest->record.phase != GroupPhase::kSteady ||
      !instance.report || m_now < instance.next_follow)
    return;
  const GroupRecord& record = m_newest->record;
  const InstanceReport& report = *instance.report;
  const bool follows = report.accepted_term > record.term ||
                       (report.accepted_term == record.term &&
                        (report.log_term == record.term || report.primary));
  const bool recent =
      m_detector.LastAnswer(name) && !m_detector.Failing(name, m_now);
  if (name == record.primary || follows || !recent)
    return;
  const Duration timeout = InstanceTimeout(name);
  const FailoverCallId call = StartCall(CallKind::kFollow, name, timeout);
  m_effects.emplace_back(failover_effect::FollowInstance{
      call, name, record.term, record.primary, timeout});
  instance.next_follow =
      m_now + kRepairInterval * static_cast<int64_t>(1 + m_candidate_rank);
  instance.next_probe = m_now + kReplicaProbeInterval;
  AddTimelineEvent("told_to_follow", record.primary.value(), name);
}

void FailoverMachine::AskWitnesses() {
  const InstanceName primary = Primary();
  if (primary.empty() || m_now < m_next_witness_question ||
      !m_detector.Failing(primary, m_now))
    return;
  m_next_witness_question =
      m_now + std::max(m_detector.ScaledForTimerDelay(
                           m_settings.times.suspect_probe_interval),
                       m_detector.LongestRoundTrip() / 2);
  for (const VmName& witness : m_witnesses) {
    const FailoverCallId call =
        StartCall(CallKind::kWitness, primary, m_detector.WitnessLifetime());
    m_effects.emplace_back(failover_effect::AskWitness{call, witness, primary});
  }
}

bool FailoverMachine::CanReachQuorum() const {
  const std::vector<InstanceName>& names = Instances();
  const auto answered = [this](const InstanceName& name) {
    const Duration time =
        std::max({ProbesFrequently() ? kReachableTime : kDistantReachableTime,
                  kReachableIntervals * ProbeInterval(name),
                  kReachableIntervals * m_detector.SmoothedRoundTrip(name)});
    const auto last = m_detector.LastAnswer(name);
    return last && *last >= m_now - time;
  };
  return static_cast<size_t>(
             std::count_if(names.begin(), names.end(), answered)) >= Quorum();
}

std::string FailoverMachine::PrimaryKeptReason(
    const InstanceName& primary) const {
  const double level = m_detector.SuspicionLevel(primary, m_now);
  if (level < 1)
    return "suspicion of " + primary.value() + " is below the limit";
  const WitnessVerdict verdict =
      m_detector.CombinedWitnessVerdict(primary, m_now);
  if (verdict == WitnessVerdict::kDisagrees)
    return "a witness reaches " + primary.value();
  const TimePoint earlier = m_now - m_settings.times.no_witness_delay;
  if (verdict == WitnessVerdict::kUnknown &&
      m_detector.SuspicionLevel(primary, earlier) < 1)
    return "no witness has agreed";
  return "";
}

std::string FailoverMachine::ChangeBlockedReason() const {
  if (!m_newest)
    return "the record is not known";
  if (m_detector.RecentlyPaused(m_now))
    return "this proxy was paused";
  if (m_now < m_back_off_until)
    return "backing off";
  if (m_now < m_peer_progress_until)
    return "another proxy makes a change";
  if (!CanReachQuorum())
    return "fewer than " + std::to_string(Quorum()) + " instances answer";
  if (m_newest->record.phase == GroupPhase::kSteady)
    return PrimaryKeptReason(m_newest->record.primary);
  // An abandoned change of this proxy itself needs no takeover delay.
  const bool own = m_newest->record.changed_by == m_settings.self ||
                   m_newest->record.changed_by.empty();
  if (!own && m_now - m_newest_at < TakeoverTime())
    return m_newest->record.changed_by.value() + " makes a change";
  return "";
}

// The first candidate claims immediately. For the others, the missing claim
// suggests that the platform does not respond, and a read is cheaper than a
// claim.
bool FailoverMachine::PlatformAnsweredRecently() {
  if ((m_candidate_rank == 0 && !m_platform_silent) ||
      m_now - m_platform_answered_at <= kPlatformAnswerLifetime)
    return true;
  ReadRecord();
  m_blocked_by = "waiting for the platform";
  return false;
}

void FailoverMachine::Suspect() {
  AskWitnesses();
  const bool steady = m_newest && m_newest->record.phase == GroupPhase::kSteady;
  if (steady && !m_detector.Failing(m_newest->record.primary, m_now)) {
    Fire("cleared");
    return;
  }
  m_blocked_by = ChangeBlockedReason();
  if (!m_blocked_by.empty()) {
    m_eligible_since.reset();
    return;
  }
  if (!m_eligible_since)
    m_eligible_since = m_now;
  if (m_now < *m_eligible_since + CandidateDelay())
    return;
  if (!PlatformAnsweredRecently())
    return;
  m_change = Change();
  m_change.attempt = AttemptId(NewAttempt(m_settings.self.value()));
  std::ostringstream reason;
  if (steady)
    reason << "primary " << m_newest->record.primary << " silent for "
           << ToMilliseconds(m_now -
                             m_detector.SilentSince(Primary()).value_or(m_now))
           << " ms, suspicion " << m_detector.SuspicionLevel(Primary(), m_now);
  else
    reason << "change of term " << m_newest->record.term << " not completed";
  m_change.reason = reason.str();
  Fire("confirmed", m_change.reason);
  Claim();
}

}  // namespace jackdawturn::failover
