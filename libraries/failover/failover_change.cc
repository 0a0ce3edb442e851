#include <algorithm>
#include <sstream>
#include <tuple>

#include "failover/failover_machine.h"

namespace jackdawturn::failover {

namespace {

// Maximum number of term starts in a record.
constexpr size_t kHistoryLimit = 256;
constexpr Duration kInitialRetryDelay = std::chrono::milliseconds(40);
constexpr Duration kMaxRetryDelay = std::chrono::milliseconds(1'000);
// After another proxy's change superseded this one, a short delay lets its
// record arrive.
constexpr Duration kSupersededBackOff = std::chrono::milliseconds(50);

// Lower bounds of timeouts, in round trips and in median delays of this
// process's timers.
constexpr int kTimeoutRoundTrips = 3;
constexpr int kTimeoutTimerDelays = 16;
// Claim, fences, promotion and publication each announce progress; one of them
// and its announcement take this many instance timeouts.
constexpr int kTimeoutSteps = 2;
constexpr uint32_t kMaxReadDoublings = 2;

// Returns `time` doubled `times` times, at most `most`.
Duration Doubled(Duration time, uint64_t times, Duration most) {
  constexpr uint64_t kMaxDoublings = 10;
  return std::min(time * (int64_t{1} << std::min(times, kMaxDoublings)), most);
}

}  // namespace

std::string FailoverMachine::NewAttempt(const std::string& prefix) {
  std::ostringstream text;
  text << prefix << '/' << std::hex << m_random();
  return text.str();
}

void FailoverMachine::Claim() {
  m_change.old_primary = Primary();
  m_change.old_term = m_steady ? m_steady->record.term : Term();
  m_change.term = NextTerm();
  m_change.reports.clear();
  m_change.following.clear();
  m_change.chosen = InstanceName();
  m_change.enough_reports_at.reset();
  GroupRecord record = m_newest->record;
  record.term = m_change.term;
  record.phase = GroupPhase::kChanging;
  record.primary = InstanceName();
  record.attempt = m_change.attempt;
  record.changed_by = m_settings.self;
  record.reason = m_change.reason;
  const Duration timeout = UpdateTimeout();
  const FailoverCallId call =
      StartCall(CallKind::kClaim, InstanceName(), timeout);
  m_effects.emplace_back(failover_effect::UpdateRecord{
      call, m_newest->version, std::move(record), timeout});
}

void FailoverMachine::OnClaimAnswer(
    const failover_event::PlatformAnswered& event) {
  if (event.current)
    Accept(*event.current);
  if (state() != "claiming")
    return;
  if (event.outcome == failover_event::PlatformOutcome::kNoAnswer) {
    ReadRecord();
    return;
  }
  EndPlanned(Error{ErrorCode::kConflict, "failover.claim", "platform",
                   "another proxy changed the record"});
  Fire("claim_lost");
  ReadRecord();
}

void FailoverMachine::Claimed(const VersionedRecord& claimed) {
  DropCalls(CallKind::kClaim);
  m_change.claimed_version = claimed.version;
  m_change.record = claimed.record;
  m_failures = 0;
  Fire("claimed", m_change.reason);
  Announce();
  m_change.retry_delay = kInitialRetryDelay;
  SendFences();
}

// The terms claimed since the last completed change follow from the record, so
// all proxies agree on the scale without messages.
Duration FailoverMachine::ScaledTimeout(Duration time) const {
  if (!m_newest || !m_steady ||
      m_newest->record.term <= m_steady->record.term.Next())
    return time;
  const uint64_t unfinished =
      m_newest->record.term.value - m_steady->record.term.value - 1;
  return std::max(time,
                  Doubled(time, unfinished, m_settings.times.back_off_maximum));
}

Duration FailoverMachine::ExtendedTimeout(Duration time, Duration slow) const {
  return std::max(time, std::min(slow, m_settings.times.back_off_maximum));
}

Duration FailoverMachine::InstanceTimeout(const InstanceName& name) const {
  return ExtendedTimeout(
      ScaledTimeout(m_settings.times.instance_timeout),
      std::max(kTimeoutRoundTrips * m_detector.SmoothedRoundTrip(name),
               kTimeoutTimerDelays * m_detector.median_timer_delay()));
}

// The timeout grows with each unanswered call, because a platform that is
// slower than the timeout would never be measured otherwise.
Duration FailoverMachine::ReadTimeout() const {
  const FailoverTimes& times = m_settings.times;
  const Duration unanswered = Doubled(
      times.read_back, std::min(m_platform_unanswered, kMaxReadDoublings),
      times.platform_timeout);
  return ExtendedTimeout(
      unanswered,
      std::max(kTimeoutRoundTrips * m_platform_rtt.UpperBound(),
               kTimeoutTimerDelays * m_detector.median_timer_delay()));
}

Duration FailoverMachine::UpdateTimeout() const {
  return ExtendedTimeout(m_settings.times.platform_timeout,
                         kTimeoutRoundTrips * ReadTimeout());
}

Duration FailoverMachine::TakeoverTime() const {
  const Duration slow =
      std::max(kTimeoutRoundTrips * std::max(m_detector.LongestRoundTrip(),
                                             m_platform_rtt.UpperBound()),
               kTimeoutTimerDelays * m_detector.median_timer_delay());
  return ExtendedTimeout(ScaledTimeout(m_settings.times.takeover),
                         kTimeoutSteps * slow);
}

Duration FailoverMachine::PromoteLimit() const {
  return ExtendedTimeout(ScaledTimeout(m_settings.times.promote_limit),
                         kTimeoutSteps * InstanceTimeout(m_change.chosen));
}

void FailoverMachine::SendFences() {
  Duration slowest{0};
  for (const InstanceName& name : m_change.record.instances) {
    if (m_change.reports.count(name) != 0)
      continue;
    const Duration timeout = InstanceTimeout(name);
    slowest = std::max(slowest, m_detector.SmoothedRoundTrip(name));
    const FailoverCallId call = StartCall(CallKind::kFence, name, timeout);
    m_effects.emplace_back(
        failover_effect::FenceInstance{call, name, m_change.term, timeout});
  }
  m_change.next_retry =
      m_now +
      std::max(m_detector.ScaledForTimerDelay(Jitter(2 * m_change.retry_delay)),
               slowest);
  m_change.retry_delay = std::min(2 * m_change.retry_delay, kMaxRetryDelay);
}

void FailoverMachine::OnFenceAnswer(
    const InstanceName& name,
    const failover_event::InstanceAnswered& event) {
  if (state() != "fencing")
    return;
  if (event.report && event.report->accepted_term == m_change.term) {
    m_change.reports[name] = *event.report;
    ChooseIfFenced();
  } else if (event.report || event.error == ErrorCode::kWrongTerm) {
    Superseded(name.value() + " has accepted a higher term");
    ReadRecord();
  }
}

void FailoverMachine::ChooseIfFenced() {
  const size_t total = m_change.record.instances.size();
  const size_t reports = m_change.reports.size();
  if (reports < Quorum())
    return;
  if (!m_change.enough_reports_at)
    m_change.enough_reports_at = m_now;
  const bool only_suspect_missing =
      reports + 1 == total && !m_change.planned &&
      m_change.reports.count(m_change.old_primary) == 0;
  if (reports == total || only_suspect_missing ||
      m_now - *m_change.enough_reports_at >= m_settings.times.fence_grace)
    ChoosePrimary();
}

void FailoverMachine::ChoosePrimary() {
  std::map<InstanceName, InstanceReport> candidates = m_change.reports;
  // The reports of all other instances include every acknowledged write, so a
  // planned change can exclude the old primary.
  if (m_change.planned && candidates.size() > Quorum())
    candidates.erase(m_change.old_primary);
  const auto rank = [this](const auto& item) {
    const InstanceReport& report = item.second;
    return std::make_tuple(report.log_term, report.position,
                           m_leaving.count(item.first) == 0,
                           item.first == m_change.old_primary);
  };
  const auto best = std::max_element(
      candidates.begin(), candidates.end(),
      [&](const auto& a, const auto& b) { return rank(a) < rank(b); });
  m_change.chosen = best->first;
  std::ostringstream detail;
  for (const auto& [name, report] : m_change.reports)
    detail << (detail.view().empty() ? "" : " ") << name << '='
           << report.log_term << ':' << report.position;
  Fire("fenced", detail.str());
  m_change.retry_delay = kInitialRetryDelay;
  SendPromote();
}

void FailoverMachine::RetryFences() {
  ChooseIfFenced();
  if (state() == "fencing" && m_now >= m_change.next_retry)
    SendFences();
}

void FailoverMachine::SendPromote() {
  const Duration timeout = InstanceTimeout(m_change.chosen);
  const FailoverCallId call =
      StartCall(CallKind::kPromote, m_change.chosen, timeout);
  m_effects.emplace_back(failover_effect::PromoteInstance{
      call, m_change.chosen, m_change.term, timeout});
  m_change.next_retry =
      m_now + std::max(m_detector.ScaledForTimerDelay(m_change.retry_delay),
                       m_detector.SmoothedRoundTrip(m_change.chosen));
}

void FailoverMachine::OnPromoteAnswer(
    const failover_event::InstanceAnswered& event) {
  if (state() != "promoting")
    return;
  const bool promoted = event.report && event.report->primary &&
                        event.report->accepted_term == m_change.term &&
                        event.report->log_term == m_change.term;
  if (!promoted) {
    if (event.report || event.error == ErrorCode::kWrongTerm) {
      Superseded(m_change.chosen.value() + " is not in the term");
      ReadRecord();
    }
    return;
  }
  GroupRecord& record = m_change.record;
  record.phase = GroupPhase::kSteady;
  record.primary = m_change.chosen;
  const LogPosition start = event.report->position;
  // Terms that started here or later have no entry in the chosen log, so they
  // contain no acknowledged write.
  std::erase_if(record.history, [start](const TermStart& entry) {
    return entry.start >= start;
  });
  record.history.push_back(TermStart{m_change.term, start});
  if (record.history.size() > kHistoryLimit)
    record.history.erase(record.history.begin());
  Fire("promoted", "start " + std::to_string(start.value));
  m_change.retry_delay = kInitialRetryDelay;
  SendPublish();
}

void FailoverMachine::RetryPromote() {
  if (m_now - m_change.step_started >= PromoteLimit()) {
    // The instance may have been promoted, so no other one may become primary
    // in this term.
    Fire("promote_failed", "no answer");
    m_change.attempt = AttemptId(NewAttempt(m_settings.self.value()));
    m_change.reason += "; " + m_change.chosen.value() + " did not promote";
    Claim();
  } else if (m_now >= m_change.next_retry) {
    SendPromote();
  }
}

void FailoverMachine::SendPublish() {
  const Duration timeout = UpdateTimeout();
  const FailoverCallId call =
      StartCall(CallKind::kPublish, InstanceName(), timeout);
  m_effects.emplace_back(failover_effect::UpdateRecord{
      call, m_change.claimed_version, m_change.record, timeout});
}

void FailoverMachine::OnPublishAnswer(
    const failover_event::PlatformAnswered& event) {
  if (event.current)
    Accept(*event.current);
  if (state() != "publishing")
    return;
  m_change.next_retry = m_now + Jitter(2 * m_change.retry_delay);
  m_change.retry_delay = std::min(2 * m_change.retry_delay, kMaxRetryDelay);
  // If the update was not answered, the record shows whether it took effect.
  ReadRecord();
}

void FailoverMachine::RetryPublish() {
  if (m_now >= m_change.next_retry && !HasCall(CallKind::kPublish) &&
      !HasCall(CallKind::kRead))
    SendPublish();
}

void FailoverMachine::Published() {
  DropCalls(CallKind::kPublish);
  Fire("published", "primary " + m_change.chosen.value());
  Announce();
  if (m_change.planned)
    EndPlanned(std::nullopt);
  SendFollows();
}

void FailoverMachine::SendFollows() {
  for (const InstanceName& name : m_change.record.instances) {
    if (name == m_change.chosen)
      continue;
    const Duration timeout = InstanceTimeout(name);
    m_change.following.insert(name);
    const FailoverCallId call = StartCall(CallKind::kFollow, name, timeout);
    m_effects.emplace_back(failover_effect::FollowInstance{
        call, name, m_change.term, m_change.chosen, timeout});
  }
}

void FailoverMachine::OnFollowAnswer(
    const InstanceName& name,
    const failover_event::InstanceAnswered& event) {
  if (event.report)
    m_change.following.erase(name);
}

void FailoverMachine::EndFollowing() {
  if (!m_change.following.empty() &&
      m_now - m_change.step_started <
          ExtendedTimeout(
              m_settings.times.follow_limit,
              kTimeoutSteps * InstanceTimeout(*m_change.following.begin())))
    return;
  std::string missing;
  for (const InstanceName& name : m_change.following)
    missing += (missing.empty() ? "without " : " ") + name.value();
  m_back_off_until = m_now + m_settings.times.back_off_after_change;
  Fire("followed", missing);
}

void FailoverMachine::Superseded(const std::string& detail) {
  EndPlanned(Error{ErrorCode::kConflict, "failover.change", "", detail});
  Fire("superseded", detail);
  m_back_off_until =
      std::max(m_back_off_until, m_now + Jitter(kSupersededBackOff));
}

Duration FailoverMachine::BackOffDelay() {
  const FailoverTimes& times = m_settings.times;
  const Duration delay =
      Doubled(times.back_off_initial, m_failures, times.back_off_maximum);
  ++m_failures;
  return Jitter(delay);
}

// Keeps the next candidates from claiming while this proxy makes progress. The
// time is limited, because others may reach instances or the platform when this
// proxy does not.
void FailoverMachine::AnnounceProgress() {
  const bool making = state() == "claiming" || state() == "fencing" ||
                      state() == "promoting" || state() == "publishing";
  const FailoverTimes& times = m_settings.times;
  if (!making || m_now < m_next_progress ||
      m_now - m_change.step_started > UpdateTimeout() ||
      (state() == "fencing" && m_now - m_change.step_started > TakeoverTime()))
    return;
  m_next_progress =
      m_now + m_detector.ScaledForTimerDelay(times.progress_interval);
  m_effects.emplace_back(failover_effect::AnnounceProgress{
      m_change.term, TakeoverTime(), NextCandidates()});
}

// While an update is unanswered, the record shows whether it took effect.
void FailoverMachine::ReadBack() {
  const bool updating =
      HasCall(CallKind::kClaim) || HasCall(CallKind::kPublish);
  if (!updating || m_now < m_next_read_back ||
      m_now - m_change.step_started < ReadTimeout())
    return;
  m_next_read_back = m_now + ReadTimeout();
  ReadRecord();
}

void FailoverMachine::BackOff(const std::string& event,
                              const std::string& detail) {
  m_back_off_until = m_now + BackOffDelay();
  EndPlanned(
      Error{ErrorCode::kUnavailable, "failover.claim", "platform", detail});
  Fire(event, detail);
}

void FailoverMachine::Advance() {
  if (m_held_term && m_now >= m_held_until)
    Release(false);
  if (!m_newest && m_now >= m_next_read)
    ReadRecord();
  Watch();
  if (state() == "backing_off" && m_now >= m_back_off_until)
    Fire("back_off_over");
  if (state() == "steady") {
    if (m_newest && m_newest->record.phase == GroupPhase::kChanging)
      Fire("change_seen");
    else if (m_steady && m_detector.Failing(Primary(), m_now))
      Fire("suspected");
    else
      ReplaceLeavingPrimary();
  }
  if (state() == "suspecting")
    Suspect();
  else if (state() == "preparing" || state() == "holding")
    AdvancePlanned();
  else if (state() == "fencing")
    RetryFences();
  else if (state() == "promoting")
    RetryPromote();
  else if (state() == "publishing")
    RetryPublish();
  else if (state() == "following")
    EndFollowing();
  ReadBack();
  AnnounceProgress();
}

}  // namespace jackdawturn::failover
