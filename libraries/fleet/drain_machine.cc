#include "fleet/drain_machine.h"

namespace jackdawturn::fleet {

std::string_view ToString(DrainState state) {
  switch (state) {
    case DrainState::kServing:
      return "serving";
    case DrainState::kNotReady:
      return "not_ready";
    case DrainState::kFinishing:
      return "finishing";
    case DrainState::kReleasing:
      return "releasing";
    case DrainState::kLeaving:
      return "leaving";
    case DrainState::kExited:
      return "exited";
  }
  return "exited";
}

void DrainMachine::Enter(DrainState state, Duration limit, TimePoint now) {
  m_state = state;
  m_deadline = now + limit;
}

std::vector<DrainEffect> DrainMachine::Handle(const DrainEvent& event,
                                              TimePoint now) {
  Effects effects;
  if (const auto* work = std::get_if<WorkChanged>(&event)) {
    m_work = work->requests + work->transactions;
  } else if (const auto* changed =
                 std::get_if<ConnectionCountChanged>(&event)) {
    m_connections = changed->connections;
  } else if (const auto* request = std::get_if<DrainRequested>(&event);
             request != nullptr && m_state == DrainState::kServing) {
    m_reason = request->reason;
    effects.emplace_back(StopBeingReady{});
    effects.emplace_back(RefuseTransactions{});
    effects.emplace_back(PublishLeaving{});
    Enter(DrainState::kNotReady, m_options.readiness_time, now);
  }
  Advance(now, effects);
  return effects;
}

std::vector<DrainEffect> DrainMachine::OnTime(TimePoint now) {
  Effects effects;
  Advance(now, effects);
  return effects;
}

void DrainMachine::Advance(TimePoint now, Effects& effects) {
  const bool passed = now >= m_deadline;
  switch (m_state) {
    case DrainState::kServing:
    case DrainState::kExited:
      return;
    case DrainState::kNotReady:
      // An idle proxy waits as well, because the load balancer may still send
      // requests.
      if (!passed)
        return;
      effects.emplace_back(StopAccepting{});
      Enter(DrainState::kFinishing, m_options.work_limit, now);
      break;
    case DrainState::kFinishing:
      if (m_work > 0 && !passed)
        return;
      if (m_work > 0 && !m_work_ended) {
        m_work_ended = true;
        effects.emplace_back(EndRemainingWork{});
      }
      effects.emplace_back(CloseAllConnections{});
      Enter(DrainState::kReleasing, m_options.release_limit, now);
      break;
    case DrainState::kReleasing:
      if (m_connections > 0 && !passed)
        return;
      effects.emplace_back(PublishLeft{});
      Enter(DrainState::kLeaving, m_options.leave_time, now);
      break;
    case DrainState::kLeaving:
      if (!passed)
        return;
      effects.emplace_back(ExitProcess{0});
      m_state = DrainState::kExited;
      m_deadline = TimePoint::max();
      return;
  }
  Advance(now, effects);
}

TimePoint DrainMachine::NextWakeup() const {
  return m_deadline;
}

}  // namespace jackdawturn::fleet
