#include "failover/failover_machine.h"

#include <algorithm>
#include <utility>

namespace jackdawturn::failover {

namespace {

// Wakeup interval during a change or while the primary does not respond.
constexpr Duration kSilencePollInterval = std::chrono::milliseconds(5);
// Maximum time between wakeups of an idle machine.
constexpr Duration kMaxWakeupInterval = std::chrono::milliseconds(1'000);
// An answer may come this long after the timeout of its effect.
constexpr Duration kAnswerSlack = std::chrono::milliseconds(5);
// The same in median timer delays: answers queue in this process like timers.
constexpr int kAnswerTimerDelays = 2;
// The first reads of the record by all proxies are spread over this time.
constexpr Duration kFirstReadSpread = std::chrono::milliseconds(20);
// A witness probes on request unless it did so within this time.
constexpr Duration kWitnessProbeInterval = std::chrono::milliseconds(10);
// Witnesses asked in each other zone.
constexpr size_t kWitnessesPerZone = 2;

}  // namespace

FailoverMachine::FailoverMachine(FailoverSettings settings, TimePoint now)
    : m_settings(std::move(settings)),
      m_state_chart(BuiltInChart("failover")),
      m_detector(m_settings.suspicion),
      m_random(m_settings.seed),
      m_now(now),
      m_next_wakeup(now) {
  // Terminates the program now, not at the first report, when the chart does
  // not match the code.
  InstanceHealthChart();
  VERIFY(!m_settings.group.empty() && !m_settings.self.empty() &&
         !m_settings.instances.empty());
  m_next_read = now + Jitter(kFirstReadSpread);
}

std::vector<FailoverEffect> FailoverMachine::Handle(const FailoverEvent& event,
                                                    TimePoint now) {
  m_now = std::max(m_now, now);
  m_effects.clear();
  if (m_detector.NoticePause(m_next_wakeup, m_now)) {
    DropCalls(CallKind::kProbe);
    m_eligible_since.reset();
    AddTimelineEvent(
        "pause_noticed",
        std::to_string(ToMilliseconds(m_now - m_next_wakeup)) + " ms late");
  }
  std::visit([this](const auto& typed) { On(typed); }, event);
  Advance();
  PlanWakeup();
  return std::move(m_effects);
}

void FailoverMachine::On(const failover_event::TimerFired&) {
  ExpireCalls();
}

void FailoverMachine::On(const failover_event::RecordSeen& event) {
  Accept(event.seen);
}

void FailoverMachine::On(const failover_event::PeersChanged& event) {
  m_peers = event.peers;
  UpdateCandidateRank();
  m_witnesses.clear();
  std::map<ZoneName, size_t> taken;
  std::vector<std::string> names;
  std::map<std::string, ZoneName> zones;
  for (const FailoverPeer& peer : m_peers) {
    names.push_back(peer.vm.value());
    zones[peer.vm.value()] = peer.zone;
  }
  const bool one_zone = std::all_of(m_peers.begin(), m_peers.end(),
                                    [this](const FailoverPeer& peer) {
                                      return peer.zone == m_settings.zone;
                                    });
  // The order differs between proxies, which spreads the requests over
  // witnesses.
  for (const std::string& name :
       RendezvousOrder(m_settings.self.value(), std::move(names))) {
    const ZoneName& zone = zones[name];
    const bool usable = one_zone || zone != m_settings.zone;
    if (usable && name != m_settings.self.value() &&
        ++taken[zone] <= kWitnessesPerZone)
      m_witnesses.emplace_back(name);
  }
}

void FailoverMachine::On(const failover_event::LiveRequestEnded& event) {
  m_detector.RecordOutcome(event.instance, event.outcome,
                           event.outcome == CallOutcome::kConnectTimeout,
                           event.round_trip, m_now);
  if (event.instance == Primary()) {
    m_last_traffic = m_now;
    Instance& instance = m_instances[event.instance];
    instance.next_probe = event.outcome == CallOutcome::kAnswered
                              ? m_now + ProbeInterval(event.instance)
                              : m_now;
  }
  if (event.report)
    ApplyReport(event.instance, *event.report);
}

void FailoverMachine::On(const failover_event::ProbeEnded& event) {
  const auto call = EndCall(event.call);
  if (!call || call->kind != CallKind::kProbe)
    return;
  m_detector.RecordOutcome(call->instance, event.outcome, call->fresh,
                           m_now - call->sent, m_now);
  if (event.report)
    ProbeAnswered(*call, *event.report);
  else if (event.outcome != CallOutcome::kAnswered)
    m_instances[call->instance].probe_fresh = true;
}

void FailoverMachine::On(const failover_event::WitnessAsked& event) {
  m_effects.emplace_back(failover_effect::AnswerWitness{
      event.from, event.call,
      m_detector.ObservationForWitness(event.instance, m_now)});
  if (m_detector.Failing(event.instance, m_now))
    return;
  const Duration interval = std::max(
      kWitnessProbeInterval, m_detector.SmoothedRoundTrip(event.instance) / 2);
  // The answer to the next request includes the outcome of this probe.
  const bool probed_lately =
      std::any_of(m_calls.begin(), m_calls.end(), [&](const auto& item) {
        return item.second.kind == CallKind::kProbe &&
               item.second.instance == event.instance && item.second.fresh &&
               m_now - item.second.sent < interval;
      });
  if (!probed_lately)
    SendProbe(event.instance, true);
}

void FailoverMachine::On(const failover_event::WitnessAnswered& event) {
  const auto call = EndCall(event.call);
  if (call && call->kind == CallKind::kWitness)
    m_detector.WitnessAnswered(event.from, call->instance, event.view, m_now);
}

void FailoverMachine::On(const failover_event::PlatformAnswered& event) {
  if (event.outcome == failover_event::PlatformOutcome::kNoAnswer) {
    m_platform_silent = true;
    ++m_platform_unanswered;
  } else {
    m_platform_silent = false;
    m_platform_unanswered = 0;
    m_platform_answered_at = m_now;
  }
  const auto call = EndCall(event.call);
  if (call && event.outcome != failover_event::PlatformOutcome::kNoAnswer)
    m_platform_rtt.Add(m_now - call->sent);
  // A late answer may still contain the newest record.
  if (!call) {
    if (event.current && event.current->version > ObjectVersion())
      Accept(*event.current);
  } else if (call->kind == CallKind::kClaim) {
    OnClaimAnswer(event);
  } else if (call->kind == CallKind::kPublish) {
    OnPublishAnswer(event);
  } else if (call->kind == CallKind::kRead) {
    OnReadAnswer(event);
  }
}

void FailoverMachine::On(const failover_event::InstanceAnswered& event) {
  const auto call = EndCall(event.call);
  if (!call)
    return;
  if (event.report)
    ApplyReport(call->instance, *event.report);
  if (call->kind == CallKind::kFence)
    OnFenceAnswer(call->instance, event);
  else if (call->kind == CallKind::kPromote)
    OnPromoteAnswer(event);
  else if (call->kind == CallKind::kFollow)
    OnFollowAnswer(call->instance, event);
}

void FailoverMachine::On(const failover_event::ChangeRequested& event) {
  if (IsDone(event.change)) {
    m_effects.emplace_back(
        failover_effect::ChangeEnded{event.change, std::nullopt});
    return;
  }
  const bool in_progress = m_change.requested == event.change &&
                           !event.change.empty() && state() != "steady" &&
                           state() != "suspecting";
  if (in_progress)
    return;
  auto error = CheckPlannedChange(event.expected_term);
  if (error) {
    AddTimelineEvent("change_refused", error->message);
    m_effects.emplace_back(
        failover_effect::ChangeEnded{event.change, std::move(error)});
    return;
  }
  StartPlanned(event.change, event.reason, true);
}

void FailoverMachine::On(const failover_event::InstanceLeaving& event) {
  m_leaving.insert(event.instance);
  m_next_leaving = m_now + CandidateDelay();
}

void FailoverMachine::On(const failover_event::PeerHoldsWrites& event) {
  if (!m_steady || event.term != m_steady->record.term)
    return;
  m_held_term = event.term;
  m_held_until = m_now + event.limit;
  m_effects.emplace_back(
      failover_effect::HoldWrites{event.term, event.limit, false});
  m_next_leaving = std::max(m_next_leaving, m_held_until + CandidateDelay());
}

void FailoverMachine::On(const failover_event::PeerReleasesWrites& event) {
  if (m_held_term == event.term)
    Release(false);
}

void FailoverMachine::On(const failover_event::PeerProgressAnnounced& event) {
  if (m_newest && event.term >= m_newest->record.term)
    m_peer_progress_until =
        std::max(m_peer_progress_until, m_now + event.limit);
}

FailoverCallId FailoverMachine::StartCall(CallKind kind,
                                          const InstanceName& instance,
                                          Duration timeout,
                                          bool fresh) {
  m_last_call = m_last_call.Next();
  m_calls[m_last_call] =
      PendingCall{kind, instance, fresh, m_now,
                  m_now + timeout + kAnswerSlack +
                      kAnswerTimerDelays * m_detector.median_timer_delay()};
  return m_last_call;
}

std::optional<FailoverMachine::PendingCall> FailoverMachine::EndCall(
    FailoverCallId call) {
  const auto found = m_calls.find(call);
  if (found == m_calls.end())
    return std::nullopt;
  PendingCall ended = found->second;
  m_calls.erase(found);
  return ended;
}

void FailoverMachine::DropCalls(CallKind kind) {
  std::erase_if(m_calls,
                [kind](const auto& item) { return item.second.kind == kind; });
}

bool FailoverMachine::HasCall(CallKind kind) const {
  return std::any_of(m_calls.begin(), m_calls.end(), [kind](const auto& item) {
    return item.second.kind == kind;
  });
}

void FailoverMachine::ExpireCalls() {
  std::vector<std::pair<FailoverCallId, CallKind>> expired;
  for (const auto& [id, call] : m_calls) {
    if (call.deadline <= m_now)
      expired.emplace_back(id, call.kind);
  }
  for (const auto& [id, kind] : expired) {
    switch (kind) {
      case CallKind::kProbe:
        On(failover_event::ProbeEnded{id, CallOutcome::kNoAnswer, {}});
        break;
      case CallKind::kWitness:
        m_calls.erase(id);
        break;
      case CallKind::kClaim:
      case CallKind::kPublish:
      case CallKind::kRead:
        On(failover_event::PlatformAnswered{
            id, failover_event::PlatformOutcome::kNoAnswer, {}});
        break;
      case CallKind::kFence:
      case CallKind::kPromote:
      case CallKind::kFollow:
        On(failover_event::InstanceAnswered{id, {}, ErrorCode::kTimeout});
        break;
    }
  }
}

void FailoverMachine::Fire(const std::string& event,
                           const std::string& detail) {
  failover_effect::TimelineEntry entry;
  entry.from = state();
  VERIFY(m_state_chart.Fire(event));
  entry.to = state();
  entry.event = event;
  entry.term = m_newest ? m_newest->record.term : Term();
  entry.attempt = m_change.attempt;
  entry.instance = m_change.chosen;
  entry.detail = detail;
  m_effects.emplace_back(std::move(entry));
  m_change.step_started = m_now;
  m_blocked_by.clear();
  if (state() != "suspecting")
    m_eligible_since.reset();
}

void FailoverMachine::AddTimelineEvent(const std::string& event,
                                       const std::string& detail,
                                       const InstanceName& instance) {
  failover_effect::TimelineEntry entry;
  entry.from = state();
  entry.to = state();
  entry.event = event;
  entry.term = m_newest ? m_newest->record.term : Term();
  entry.instance = instance;
  entry.detail = detail;
  m_effects.emplace_back(std::move(entry));
}

Duration FailoverMachine::Jitter(Duration delay) {
  std::uniform_int_distribution<Duration::rep> share(delay.count() / 2,
                                                     delay.count());
  return Duration(share(m_random));
}

void FailoverMachine::PlanWakeup() {
  TimePoint next = m_now + kMaxWakeupInterval;
  const auto consider = [&next](TimePoint time) {
    next = std::min(next, time);
  };
  for (const auto& [id, call] : m_calls)
    consider(call.deadline);
  for (const InstanceName& name : Instances())
    consider(m_instances[name].next_probe);
  const bool active = state() != "steady" && state() != "backing_off";
  if (active || m_detector.SilentSince(Primary()))
    consider(m_now + std::max(kSilencePollInterval,
                              2 * m_detector.median_timer_delay()));
  if (state() == "backing_off")
    consider(m_back_off_until);
  if (m_held_term)
    consider(m_held_until);
  if (m_next_read > m_now)
    consider(m_next_read);
  if (m_next_leaving > m_now)
    consider(m_next_leaving);
  m_next_wakeup = std::max(next, m_now + Duration(1));
}

}  // namespace jackdawturn::failover
