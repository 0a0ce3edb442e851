// The way of a request from its arrival to an instance.

#include <algorithm>
#include <cmath>

#include "routing/group_router.h"

namespace jackdawturn::routing {

namespace {

// A read is hedged when its answer takes longer than this many times the time
// within which almost all answers come.
constexpr int kHedgeAnswerBounds = 2;
constexpr Duration kShortestHedgeDelay{5'000};
constexpr Duration kShortestPositionInterval{2'000};

}  // namespace

void GroupRouter::SetWake(Active& active, TimePoint wake) {
  wake = std::min(wake, active.deadline);
  if (wake == active.wake)
    return;
  m_wakes.erase({active.wake, active.key});
  active.wake = wake;
  m_wakes.emplace(wake, active.key);
}

void GroupRouter::SetStage(Active& active, Stage stage) {
  active.stage = stage;
  if (stage == Stage::kWaiting || stage == Stage::kAwaitingConfirmation)
    m_unsettled.insert(active.key);
  else
    m_unsettled.erase(active.key);
}

void GroupRouter::Route(Active& active, Turn& turn) {
  if (active.deadline <= turn.now) {
    Expire(active, turn);
    return;
  }
  switch (active.request.operation) {
    case Operation::kRead:
      RouteRead(active, turn);
      break;
    case Operation::kWrite:
    case Operation::kBegin:
      if (Instance* primary = UsablePrimary())
        Enqueue(active, *primary, turn);
      else
        Wait(active, active.deadline, RefusalReason::kNoPrimary, turn);
      break;
    case Operation::kTransactionStep:
      SendStep(active, turn);
      break;
  }
}

void GroupRouter::RouteRead(Active& active, Turn& turn) {
  // The session saw a later term than this proxy; its record must come first.
  if (active.request.required.term > m_term) {
    Wait(active, active.deadline, RefusalReason::kNoPrimary, turn);
    return;
  }
  if (AcceptsAge(active))
    NoteAge(active, turn);
  const Choice choice = Choose(active, false, turn.now);
  switch (choice.kind) {
    case ChoiceKind::kUse:
      Enqueue(active, *m_instances[choice.index], turn);
      break;
    case ChoiceKind::kWait:
      if (!m_owner.m_candidates[choice.index].holds_position)
        AskPosition(*m_instances[choice.index],
                    active.request.required.position, active.deadline, turn);
      Wait(active, choice.until, choice.reason, turn);
      break;
    case ChoiceKind::kRefuse:
      if (choice.reason == RefusalReason::kOverloaded)
        Refuse(active, choice.reason, turn);
      else
        Wait(active, active.deadline, choice.reason, turn);
      break;
  }
}

Candidate GroupRouter::CandidateFor(const Active& active,
                                    Instance& instance,
                                    TimePoint now) {
  Candidate candidate;
  const InstanceName& name = instance.view.name;
  candidate.primary = IsPrimary(instance);
  candidate.excluded = instance.view.leaving || !instance.listed ||
                       (candidate.primary && m_primary_replaced);
  candidate.exempt_from_zone_penalty =
      instance.view.zone == m_options.zone || instance.limit.measured();
  candidate.stalled = instance.pool.stalled();
  candidate.health = instance.health;
  candidate.has_place = !instance.queue.full();
  SetPace(instance, now);
  candidate.answer_time = instance.queue.ExpectedAnswerTime(active.due);
  if (!instance.pool.has_idle() && instance.limit.in_progress() == 0)
    candidate.answer_time += m_options.pool.open_time;
  if (candidate.primary || !AcceptsAge(active))
    return candidate;
  const auto last_reported = m_freshness.LastReportedPosition(name);
  const TermPosition& required = active.request.required;
  candidate.holds_position =
      last_reported && m_options.contains_position(*last_reported, required);
  candidate.expected_at = m_freshness.ExpectedAt(name, required.position, now);
  candidate.covered_until = m_freshness.CoveredUntil(name);
  candidate.lag = m_freshness.Lag(name);
  return candidate;
}

Choice GroupRouter::Choose(const Active& active, bool hedge, TimePoint now) {
  auto& candidates = m_owner.m_candidates;
  candidates.assign(m_instances.size(), Candidate());
  ReadDemand demand;
  demand.allowed_age = active.request.target->allowed_age;
  demand.deadline = active.deadline;
  demand.may_wait = !hedge;
  demand.may_use_primary = !hedge;
  for (size_t index = 0; index < m_instances.size(); ++index) {
    Instance& instance = *m_instances[index];
    if (&instance == active.avoid)
      demand.avoid = index;
    if (!IsPrimary(instance) && demand.allowed_age)
      candidates[index] = CandidateFor(active, instance, now);
    else
      candidates[index].excluded = true;
  }
  if (demand.allowed_age) {
    // A replica that can answer now is preferred however fast the primary is.
    const Choice choice =
        ChooseInstance(demand, candidates, now, m_options.choice);
    if (choice.kind == ChoiceKind::kUse || hedge)
      return choice;
  }
  for (size_t index = 0; index < m_instances.size(); ++index) {
    if (IsPrimary(*m_instances[index]))
      candidates[index] = CandidateFor(active, *m_instances[index], now);
  }
  Choice choice = ChooseInstance(demand, candidates, now, m_options.choice);
  if (choice.kind == ChoiceKind::kRefuse && demand.avoid) {
    // The avoided instance is better than none.
    demand.avoid.reset();
    choice = ChooseInstance(demand, candidates, now, m_options.choice);
  }
  return choice;
}

void GroupRouter::Wait(Active& active,
                       TimePoint until,
                       RefusalReason reason,
                       Turn& turn) {
  if (m_unsettled.count(active.key) == 0 &&
      m_unsettled.size() >= m_options.waiting_places) {
    Refuse(active, RefusalReason::kShareExceeded, turn);
    return;
  }
  active.reason = reason;
  SetStage(active, Stage::kWaiting);
  SetWake(active, until);
}

void GroupRouter::SetPace(Instance& instance, TimePoint now) {
  instance.queue.SetPace(instance.limit.ExpectedWait(now),
                         instance.limit.Spacing(now),
                         instance.limit.AnswerBound(now));
}

void GroupRouter::Enqueue(Active& active, Instance& instance, Turn& turn) {
  SetStage(active, Stage::kQueued);
  SetWake(active, active.deadline);
  active.queued_at = &instance;
  SetPace(instance, turn.now);
  const NamedClassTarget& target = *active.request.target;
  const auto refusals = instance.queue.Offer(
      {active.key, active.class_hash, active.caller_hash, active.due,
       active.deadline, AcceptsAge(active), target.repeatable},
      turn.now);
  for (const QueueRefusal& refusal : refusals)
    RefuseQueued(refusal, instance, turn);
  Dispatch(instance, turn);
}

void GroupRouter::RefuseQueued(const QueueRefusal& refusal,
                               Instance& instance,
                               Turn& turn) {
  Active* active = Find(refusal.key);
  active->queued_at = nullptr;
  // Another instance may have room, once.
  if (AcceptsAge(*active) && active->avoid == nullptr &&
      active->deadline > turn.now) {
    active->avoid = &instance;
    Route(*active, turn);
    return;
  }
  Refuse(*active, refusal.reason, turn);
}

bool GroupRouter::MaySend(const Active& active,
                          const Instance& instance,
                          TimePoint now) const {
  if (!IsRead(active) || IsPrimary(instance))
    return true;
  const auto last_reported =
      m_freshness.LastReportedPosition(instance.view.name);
  const auto covered = m_freshness.CoveredUntil(instance.view.name);
  return last_reported && covered &&
         m_options.contains_position(*last_reported, active.request.required) &&
         now + instance.limit.AnswerTime(now) - *covered <=
             *active.request.target->allowed_age;
}

void GroupRouter::Dispatch(Instance& instance, Turn& turn) {
  while (!instance.queue.empty() && CanWork(instance) &&
         instance.pool.has_idle() && instance.limit.CanSend(turn.now)) {
    SetPace(instance, turn.now);
    std::vector<QueueRefusal> refused;
    const auto next = instance.queue.Take(turn.now, refused);
    for (const QueueRefusal& refusal : refused)
      RefuseQueued(refusal, instance, turn);
    if (!next)
      break;
    Active& active = *Find(next->key);
    active.queued_at = nullptr;
    if (!MaySend(active, instance, turn.now)) {
      Route(active, turn);
      continue;
    }
    const auto connection = instance.pool.Take(turn.now);
    if (!connection) {
      // A request that was refused above was routed and took the connection.
      Route(active, turn);
      break;
    }
    Send(active, instance, *connection, turn);
  }
  if (!CanWork(instance))
    return;
  std::vector<PoolEffect> pool_effects;
  const auto slots = static_cast<size_t>(std::ceil(instance.limit.limit()));
  instance.pool.Prepare(std::min(instance.queue.size(), slots), turn.now,
                        pool_effects);
  ApplyPool(instance, pool_effects, turn);
}

void GroupRouter::DispatchAll(Turn& turn) {
  for (const auto& instance : m_instances)
    Dispatch(*instance, turn);
}

void GroupRouter::Send(Active& active,
                       Instance& instance,
                       PoolConnectionId connection,
                       Turn& turn) {
  const bool primary = IsPrimary(instance) || !IsRead(active);
  const bool hedge = !active.attempts.empty();
  active.attempts.push_back({&instance, connection, turn.now, m_term, primary});
  m_tables.running[connection] = {active.key, active.request.id, turn.now};
  active.reason = RefusalReason::kDeadline;
  instance.limit.Sent(turn.now);
  SetStage(active, Stage::kSent);
  turn.effects.emplace_back(
      SendStatement{m_name, active.request.id, instance.view.name, connection,
                    primary ? std::optional(m_term) : std::nullopt, hedge});
  if (!IsRead(active) || hedge) {
    SetWake(active, active.deadline);
    return;
  }
  SetWake(active,
          turn.now + std::max(kShortestHedgeDelay,
                              kHedgeAnswerBounds *
                                  instance.limit.AnswerBound(turn.now)));
  if (primary)
    QueryReplicaForTerm(active, turn);
}

void GroupRouter::SendStep(Active& active, Turn& turn) {
  const PoolConnectionId connection = active.request.held_connection;
  Instance* instance = FindInstance(connection);
  if (instance == nullptr || !instance->pool.TakeHeld(connection, turn.now)) {
    Refuse(active, RefusalReason::kConnectionLost, turn);
    return;
  }
  Send(active, *instance, connection, turn);
}

void GroupRouter::Hedge(Active& active, Turn& turn) {
  if (!AcceptsAge(active) || active.attempts.size() != 1)
    return;
  Instance* const first = active.attempts.front().instance;
  Instance* const avoid = std::exchange(active.avoid, first);
  const Choice choice = Choose(active, true, turn.now);
  active.avoid = avoid;
  if (choice.kind != ChoiceKind::kUse)
    return;
  Instance& second = *m_instances[choice.index];
  if (!second.queue.empty() || !second.pool.has_idle() ||
      !second.limit.CanSend(turn.now) || !m_hedges.TryTake())
    return;
  ++m_owner.m_counts.hedges;
  Send(active, second, *second.pool.Take(turn.now), turn);
}

void GroupRouter::Settle(Turn& turn) {
  const std::vector<uint64_t> keys(m_unsettled.begin(), m_unsettled.end());
  for (const uint64_t key : keys) {
    Active* active = Find(key);
    if (active == nullptr)
      continue;
    if (active->stage == Stage::kWaiting) {
      Route(*active, turn);
    } else if (active->stage == Stage::kAwaitingConfirmation) {
      const Attempt attempt = *active->unconfirmed_attempt;
      const Proof proof =
          Prove(*active, attempt, active->unconfirmed_report, turn.now);
      if (proof == Proof::kFresh) {
        Give(*active, attempt, turn);
      } else if (proof == Proof::kStale) {
        DropUnconfirmedAnswer(*active, turn);
        Retry(*active, attempt.instance, turn);
      }
    }
  }
}

void GroupRouter::NoteAge(const Active& active, Turn& turn) {
  m_last_aged_read = turn.now;
  m_smallest_age =
      std::min(m_smallest_age, *active.request.target->allowed_age);
  if (!m_next_report)
    AskAll(false, turn);
}

void GroupRouter::Ask(const Instance& instance, Turn& turn) {
  turn.effects.emplace_back(AskReport{m_name, instance.view.name, turn.now,
                                      PoolConnectionId(), std::nullopt,
                                      Duration(0)});
}

void GroupRouter::AskAll(bool replicas_only, Turn& turn) {
  for (const auto& instance : m_instances) {
    if (instance->listed && !(replicas_only && IsPrimary(*instance)))
      Ask(*instance, turn);
  }
  m_last_term_query = turn.now;
  if (replicas_only)
    return;
  const Duration interval(static_cast<int64_t>(
      static_cast<double>(m_smallest_age.count()) * m_options.report_share));
  m_next_report =
      turn.now + std::clamp(interval, m_options.shortest_report_interval,
                            m_options.longest_report_interval);
}

void GroupRouter::AskPosition(Instance& instance,
                              LogPosition position,
                              TimePoint until,
                              Turn& turn) {
  // Each report makes all waiting reads look again. Without a least distance
  // between queries, their number would multiply with each report.
  if (turn.now < instance.awaited_at + kShortestPositionInterval ||
      (instance.awaited && *instance.awaited <= position &&
       turn.now < instance.awaited_until))
    return;
  instance.awaited = position;
  instance.awaited_at = turn.now;
  instance.awaited_until = until;
  turn.effects.emplace_back(AskReport{m_name, instance.view.name, turn.now,
                                      PoolConnectionId(), position,
                                      until - turn.now});
}

void GroupRouter::QueryReplicaForTerm(const Active& active, Turn& turn) {
  const auto term_confirmed_at = m_freshness.CoveredUntil(m_primary);
  const auto& age = active.request.target->allowed_age;
  if (age && term_confirmed_at && turn.now - *term_confirmed_at < *age / 2)
    return;
  if (m_last_term_query == turn.now)
    return;
  m_last_term_query = turn.now;
  // One replica is enough; a held answer asks all of them.
  const Instance* best = nullptr;
  for (const auto& instance : m_instances) {
    if (!instance->listed || IsPrimary(*instance) ||
        instance->health == InstanceHealth::kDown || instance->pool.stalled())
      continue;
    if (best == nullptr || (instance->view.zone == m_options.zone &&
                            best->view.zone != m_options.zone))
      best = instance.get();
  }
  if (best != nullptr)
    Ask(*best, turn);
}

}  // namespace jackdawturn::routing
