#include <algorithm>
#include <sstream>

#include "failover/failover_machine.h"
#include "failover/group_record.h"

namespace jackdawturn::failover {

namespace {

// Proxies that probe the primary closely; those behind them in the order of
// candidates hear of a change long before it would be their turn.
constexpr size_t kWatchers = 8;
// Live traffic within this time makes a group busy.
constexpr Duration kBusyTime = std::chrono::milliseconds(1'000);
// During a change or suspicion, replicas are probed this often.
constexpr Duration kReplicaCheckInterval = std::chrono::milliseconds(40);
constexpr Duration kFarCheckInterval = std::chrono::milliseconds(500);
// An instance counts as reachable when it answered within this time.
constexpr Duration kReachableTime = std::chrono::milliseconds(200);
constexpr Duration kFarReachableTime = std::chrono::milliseconds(1'200);
// The same in intervals of probes and in round trips, where those are longer.
constexpr int kReachableIntervals = 3;
// An instance in a newer term shows that news of a record was lost when it has
// not arrived within this time.
constexpr Duration kNewsDelay = std::chrono::milliseconds(300);
// The platform counts as answering for this long after an answer.
constexpr Duration kPlatformTrust = std::chrono::milliseconds(100);
// Pause between repeated calls to follow.
constexpr Duration kRepairInterval = std::chrono::milliseconds(500);

}  // namespace

bool FailoverMachine::Watcher() const {
  return m_candidate_rank < kWatchers;
}

Duration FailoverMachine::ProbeInterval(const InstanceName& name) const {
  const FailoverTimes& times = m_settings.times;
  const bool watcher = Watcher();
  const bool checking = state() != "steady" && state() != "backing_off";
  // A probe that waits in the instance's queue needs no second one behind it.
  const auto limited = [&](Duration interval) {
    return std::max(m_detector.ScaledForTimerDelay(interval),
                    m_detector.SmoothedRoundTrip(name) / 2);
  };
  if (name == Primary() && m_detector.Failing(name, m_now))
    return limited(watcher ? times.suspect_probe_interval : kFarCheckInterval);
  if (checking)
    return limited(watcher ? kReplicaCheckInterval : kFarCheckInterval);
  if (name != Primary() || !watcher)
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
  TakeReport(call.instance, report);
  if (m_change.planned && (state() == "preparing" || state() == "holding"))
    TakeTarget(call, report);
}

void FailoverMachine::TakeReport(const InstanceName& name,
                                 const InstanceReport& report) {
  Instance& instance = m_instances[name];
  // Reports can overtake each other; terms and positions within one never
  // decrease, so an older one tells nothing.
  if (instance.report && report.accepted_term < instance.report->accepted_term)
    return;
  instance.report = report;
  instance.report_at = m_now;
  UpdateLogState(name, instance);
  // The news of a claim usually arrives soon after the fence.
  if (!m_newest || report.accepted_term <= m_newest->record.term)
    return;
  if (!m_behind_since)
    m_behind_since = m_now;
  if (m_now - *m_behind_since >= kNewsDelay + CandidateDelay() &&
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
  // proxy has not seen; nothing is known against it. While an instance is
  // rebuilt, a report may look like a log on the branch, so the chart lets only
  // a current log end a rebuild.
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
  Note(readable ? "rebuilt" : "rebuilding", "", name);
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
  instance.next_probe = m_now + kReplicaCheckInterval;
  Note("told_to_follow", record.primary.value(), name);
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
        std::max({Watcher() ? kReachableTime : kFarReachableTime,
                  kReachableIntervals * ProbeInterval(name),
                  kReachableIntervals * m_detector.SmoothedRoundTrip(name)});
    const auto last = m_detector.LastAnswer(name);
    return last && *last >= m_now - time;
  };
  return static_cast<size_t>(
             std::count_if(names.begin(), names.end(), answered)) >= Quorum();
}

std::string FailoverMachine::WhyPrimaryStays(
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

std::string FailoverMachine::WhyNoChange() const {
  if (!m_newest)
    return "the record is not known";
  if (m_detector.RecentlyPaused(m_now))
    return "this proxy was paused";
  if (m_now < m_quiet_until)
    return "backing off";
  if (m_now < m_peer_progress_until)
    return "another proxy makes a change";
  if (!CanReachQuorum())
    return "fewer than " + std::to_string(Quorum()) + " instances answer";
  if (m_newest->record.phase == GroupPhase::kSteady)
    return WhyPrimaryStays(m_newest->record.primary);
  // The own change that was given up needs no wait.
  const bool own = m_newest->record.changed_by == m_settings.self ||
                   m_newest->record.changed_by.empty();
  if (!own && m_now - m_newest_at < TakeoverTime())
    return m_newest->record.changed_by.value() + " makes a change";
  return "";
}

// The first candidate claims at once. The others have reason to think that the
// platform does not answer, and reads are cheaper than claims.
bool FailoverMachine::PlatformAnswersLately() {
  if ((m_candidate_rank == 0 && !m_platform_silent) ||
      m_now - m_platform_answered_at <= kPlatformTrust)
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
  m_blocked_by = WhyNoChange();
  if (!m_blocked_by.empty()) {
    m_may_act_since.reset();
    return;
  }
  if (!m_may_act_since)
    m_may_act_since = m_now;
  if (m_now < *m_may_act_since + CandidateDelay())
    return;
  if (!PlatformAnswersLately())
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
