#include <algorithm>

#include "failover/failover_machine.h"

namespace jackdawturn::failover {

namespace {

// A replica that reaches a position of the primary within this time can catch
// up while writes are held.
constexpr Duration kHeldCatchUpTime = std::chrono::milliseconds(25);
constexpr Duration kLeavingRetry = std::chrono::milliseconds(1'000);

Error Refusal(ErrorCode code, const std::string& message) {
  return Error{code, "failover.planned_change", "", message};
}

}  // namespace

bool FailoverMachine::IsDone(const AttemptId& change) const {
  return m_newest && !change.empty() &&
         m_newest->record.phase == GroupPhase::kSteady &&
         m_newest->record.attempt.value().starts_with(change.value() + '/');
}

std::optional<Error> FailoverMachine::CheckPlannedChange(
    Term expected_term) const {
  if (!m_newest || !m_steady)
    return Refusal(ErrorCode::kUnavailable, "the record is not known");
  const GroupRecord& record = m_newest->record;
  if (record.phase != GroupPhase::kSteady)
    return Refusal(ErrorCode::kConflict,
                   "a change is under way, by " + record.changed_by.value());
  if (expected_term != Term() && expected_term != record.term)
    return Refusal(ErrorCode::kConflict,
                   "the term is " + std::to_string(record.term.value));
  if (m_detector.RecentlyPaused(m_now))
    return Refusal(ErrorCode::kUnavailable, "this proxy was paused");
  if (m_detector.Failing(record.primary, m_now))
    return Refusal(ErrorCode::kUnavailable,
                   "primary " + record.primary.value() + " is suspected");
  if (m_held_term)
    return Refusal(ErrorCode::kConflict, "another planned change holds writes");
  if (state() != "steady")
    return Refusal(ErrorCode::kConflict, "the machine is " + state());
  return std::nullopt;
}

void FailoverMachine::StartPlanned(const AttemptId& change,
                                   const std::string& reason,
                                   bool requested) {
  m_change = Change();
  m_change.planned = true;
  m_change.attempt = AttemptId(NewAttempt(change.value()));
  m_change.requested = requested ? change : AttemptId();
  m_change.reason = reason;
  Fire("change_requested", reason);
  ReadRecord();
  ProbeAll();
}

void FailoverMachine::UpdateTarget(const PendingCall& call,
                                   const InstanceReport& report) {
  if (call.instance == Primary()) {
    const bool holding = state() == "holding";
    const TimePoint settled =
        m_change.step_started + m_settings.times.hold_settle;
    const bool valid = report.primary && (!holding || call.sent >= settled);
    const bool stale =
        !m_change.target ||
        (!holding && m_now - m_change.target_at > kHeldCatchUpTime);
    if (valid && stale) {
      m_change.target = report.position;
      m_change.target_at = m_now;
    }
  } else if (m_change.target && !ReplicaHasCaughtUp()) {
    SendProbe(call.instance, false);
  }
}

bool FailoverMachine::ReplicaHasCaughtUp() const {
  if (!m_change.target)
    return false;
  const GroupRecord& record = m_steady->record;
  return std::any_of(record.instances.begin(), record.instances.end(),
                     [&](const InstanceName& name) {
                       const auto found = m_instances.find(name);
                       if (name == record.primary ||
                           m_leaving.count(name) != 0 ||
                           found == m_instances.end() || !found->second.report)
                         return false;
                       const InstanceReport& report = *found->second.report;
                       return report.accepted_term == record.term &&
                              report.log_term == record.term &&
                              report.position >= *m_change.target &&
                              found->second.report_at >= m_change.step_started;
                     });
}

void FailoverMachine::AdvancePlanned() {
  const FailoverTimes& times = m_settings.times;
  const Duration elapsed = m_now - m_change.step_started;
  if (m_detector.RecentlyPaused(m_now)) {
    RefusePlanned("this proxy was paused");
  } else if (state() == "preparing") {
    if (m_change.record_read && ReplicaHasCaughtUp() && CanReachQuorum()) {
      Fire("replica_level");
      m_change.target.reset();
      m_held_term = m_steady->record.term;
      m_held_until = m_now + times.hold_limit;
      m_effects.emplace_back(
          failover_effect::HoldWrites{*m_held_term, times.hold_limit, true});
    } else if (elapsed >= times.prepare_limit) {
      RefusePlanned("no replica is level with the primary");
    }
  } else if (ReplicaHasCaughtUp()) {
    Fire("replica_level");
    Claim();
  } else if (elapsed >= times.hold_level_limit) {
    RefusePlanned("no replica became level while writes were held");
  } else if (elapsed >= times.hold_settle && !m_change.target &&
             m_now - m_change.target_at > times.hold_settle) {
    m_change.target_at = m_now;
    ProbeAll();
  }
}

void FailoverMachine::RefusePlanned(const std::string& message) {
  EndPlanned(Refusal(ErrorCode::kUnavailable, message));
  Fire("change_refused", message);
}

void FailoverMachine::EndPlanned(std::optional<Error> error) {
  if (!m_change.planned)
    return;
  if (error && m_held_term)
    Release(true);
  if (!m_change.requested.empty())
    m_effects.emplace_back(
        failover_effect::ChangeEnded{m_change.requested, std::move(error)});
  m_change.requested = AttemptId();
  m_next_leaving = m_now + kLeavingRetry + CandidateDelay();
}

void FailoverMachine::Release(bool announce) {
  m_effects.emplace_back(
      failover_effect::ReleaseWrites{m_held_term.value_or(Term()), announce});
  m_held_term.reset();
}

void FailoverMachine::ReplaceLeavingPrimary() {
  if (m_leaving.count(Primary()) == 0 || m_now < m_next_leaving)
    return;
  m_next_leaving = m_now + kLeavingRetry + CandidateDelay();
  const auto error = CheckPlannedChange(Term());
  if (error)
    return;
  const GroupRecord& record = m_newest->record;
  StartPlanned(AttemptId("leaving-" + record.primary.value() + '-' +
                         std::to_string(record.term.value)),
               "primary " + record.primary.value() + " is leaving", false);
}

FailoverStatus FailoverMachine::Status(TimePoint now) const {
  FailoverStatus status;
  status.group = m_settings.group;
  status.state = state();
  if (m_newest)
    status.newest = *m_newest;
  if (m_steady) {
    status.primary = m_steady->record.primary;
    status.primary_term = m_steady->record.term;
  }
  status.paused = m_detector.RecentlyPaused(now);
  status.cut_off = state() == "suspecting" && !CanReachQuorum();
  status.candidate_rank = m_candidate_rank;
  status.blocked_by = m_blocked_by;
  LogPosition newest;
  for (const auto& [name, instance] : m_instances) {
    if (name == status.primary && instance.report)
      newest = instance.report->position;
  }
  for (const InstanceName& name : Instances()) {
    InstanceFailoverStatus shown;
    shown.instance = name;
    shown.suspicion = m_detector.SuspicionLevel(name, now);
    const auto found = m_instances.find(name);
    if (found != m_instances.end() && found->second.report) {
      shown.report = found->second.report;
      shown.report_age = now - found->second.report_at;
      shown.readable = Readable(found->second.log_state);
      shown.lag =
          newest.value - std::min(newest.value, shown.report->position.value);
    }
    status.instances.push_back(std::move(shown));
  }
  return status;
}

}  // namespace jackdawturn::failover
