// The routing of a request from its arrival until it is sent to an instance.

#include <algorithm>
#include <cmath>

#include "routing/group_router.h"

namespace jackdawturn::routing {

namespace {

// A read is hedged when its answer takes longer than this many times the time
// within which almost all answers arrive.
constexpr int kHedgeDelayFactor = 2;
constexpr Duration kMinHedgeDelay{5'000};
constexpr Duration kMinPositionQueryInterval{2'000};

}  // namespace

void GroupRouter::SetWake(TrackedRequest& tracked, TimePoint wake) {
  wake = std::min(wake, tracked.deadline);
  if (wake == tracked.wake)
    return;
  m_wakes.erase({tracked.wake, tracked.key});
  tracked.wake = wake;
  m_wakes.emplace(wake, tracked.key);
}

void GroupRouter::SetStage(TrackedRequest& tracked, Stage stage) {
  tracked.stage = stage;
  if (stage == Stage::kWaiting || stage == Stage::kAwaitingConfirmation)
    m_awaiting_evidence.insert(tracked.key);
  else
    m_awaiting_evidence.erase(tracked.key);
}

void GroupRouter::Route(TrackedRequest& tracked, EventContext& context) {
  if (tracked.deadline <= context.now) {
    Expire(tracked, context);
    return;
  }
  switch (tracked.request.operation) {
    case Operation::kRead:
      RouteRead(tracked, context);
      break;
    case Operation::kWrite:
    case Operation::kBegin:
      if (Instance* primary = UsablePrimary())
        Enqueue(tracked, *primary, context);
      else
        Wait(tracked, tracked.deadline, RefusalReason::kNoPrimary, context);
      break;
    case Operation::kTransactionStep:
      SendStep(tracked, context);
      break;
  }
}

void GroupRouter::RouteRead(TrackedRequest& tracked, EventContext& context) {
  // The session has observed a later term than this proxy. The read waits until
  // the proxy receives the record of that term.
  if (tracked.request.required.term > m_term) {
    Wait(tracked, tracked.deadline, RefusalReason::kNoPrimary, context);
    return;
  }
  if (AllowsStaleRead(tracked))
    RecordAllowedAge(tracked, context);
  const Choice choice = Choose(tracked, false, context.now);
  switch (choice.kind) {
    case ChoiceKind::kUse:
      Enqueue(tracked, *m_instances[choice.index], context);
      break;
    case ChoiceKind::kWait:
      if (!m_owner.m_candidates[choice.index].holds_position)
        QueryPosition(*m_instances[choice.index],
                      tracked.request.required.position, tracked.deadline,
                      context);
      Wait(tracked, choice.until, choice.reason, context);
      break;
    case ChoiceKind::kRefuse:
      if (choice.reason == RefusalReason::kOverloaded)
        Refuse(tracked, choice.reason, context);
      else
        Wait(tracked, tracked.deadline, choice.reason, context);
      break;
  }
}

Candidate GroupRouter::CandidateFor(const TrackedRequest& tracked,
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
  candidate.answer_time = instance.queue.ExpectedAnswerTime(tracked.due);
  if (!instance.pool.has_idle() && instance.limit.in_progress() == 0)
    candidate.answer_time += m_options.pool.open_time;
  if (candidate.primary || !AllowsStaleRead(tracked))
    return candidate;
  const auto last_reported = m_freshness.LastReportedPosition(name);
  const TermPosition& required = tracked.request.required;
  candidate.holds_position =
      last_reported && m_options.contains_position(*last_reported, required);
  candidate.expected_at = m_freshness.ExpectedAt(name, required.position, now);
  candidate.covered_until = m_freshness.CoveredUntil(name);
  candidate.lag = m_freshness.Lag(name);
  return candidate;
}

Choice GroupRouter::Choose(const TrackedRequest& tracked,
                           bool hedge,
                           TimePoint now) {
  auto& candidates = m_owner.m_candidates;
  candidates.assign(m_instances.size(), Candidate());
  SelectionConstraints constraints;
  constraints.allowed_age = tracked.request.target->allowed_age;
  constraints.deadline = tracked.deadline;
  constraints.may_wait = !hedge;
  constraints.may_use_primary = !hedge;
  for (size_t index = 0; index < m_instances.size(); ++index) {
    Instance& instance = *m_instances[index];
    if (&instance == tracked.avoid)
      constraints.avoid = index;
    if (!IsPrimary(instance) && constraints.allowed_age)
      candidates[index] = CandidateFor(tracked, instance, now);
    else
      candidates[index].excluded = true;
  }
  if (constraints.allowed_age) {
    // A replica that can answer now is preferred, however fast the primary is.
    const Choice choice =
        ChooseInstance(constraints, candidates, now, m_options.choice);
    if (choice.kind == ChoiceKind::kUse || hedge)
      return choice;
  }
  for (size_t index = 0; index < m_instances.size(); ++index) {
    if (IsPrimary(*m_instances[index]))
      candidates[index] = CandidateFor(tracked, *m_instances[index], now);
  }
  Choice choice =
      ChooseInstance(constraints, candidates, now, m_options.choice);
  if (choice.kind == ChoiceKind::kRefuse && constraints.avoid) {
    // Falls back to the avoided instance when no other one can answer.
    constraints.avoid.reset();
    choice = ChooseInstance(constraints, candidates, now, m_options.choice);
  }
  return choice;
}

void GroupRouter::Wait(TrackedRequest& tracked,
                       TimePoint until,
                       RefusalReason reason,
                       EventContext& context) {
  if (m_awaiting_evidence.count(tracked.key) == 0 &&
      m_awaiting_evidence.size() >= m_options.waiting_places) {
    Refuse(tracked, RefusalReason::kShareExceeded, context);
    return;
  }
  tracked.reason = reason;
  SetStage(tracked, Stage::kWaiting);
  SetWake(tracked, until);
}

void GroupRouter::SetPace(Instance& instance, TimePoint now) {
  instance.queue.SetPace(instance.limit.ExpectedWait(now),
                         instance.limit.Spacing(now),
                         instance.limit.AnswerBound(now));
}

void GroupRouter::Enqueue(TrackedRequest& tracked,
                          Instance& instance,
                          EventContext& context) {
  SetStage(tracked, Stage::kQueued);
  SetWake(tracked, tracked.deadline);
  tracked.queued_at = &instance;
  SetPace(instance, context.now);
  const NamedClassTarget& target = *tracked.request.target;
  const auto refusals = instance.queue.Offer(
      {tracked.key, tracked.class_hash, tracked.caller_hash, tracked.due,
       tracked.deadline, AllowsStaleRead(tracked), target.repeatable},
      context.now);
  for (const QueueRefusal& refusal : refusals)
    RefuseQueued(refusal, instance, context);
  Dispatch(instance, context);
}

void GroupRouter::RefuseQueued(const QueueRefusal& refusal,
                               Instance& instance,
                               EventContext& context) {
  TrackedRequest* tracked = Find(refusal.key);
  tracked->queued_at = nullptr;
  // The request is offered to one other instance, which may have room.
  if (AllowsStaleRead(*tracked) && tracked->avoid == nullptr &&
      tracked->deadline > context.now) {
    tracked->avoid = &instance;
    Route(*tracked, context);
    return;
  }
  Refuse(*tracked, refusal.reason, context);
}

bool GroupRouter::MaySend(const TrackedRequest& tracked,
                          const Instance& instance,
                          TimePoint now) const {
  if (!IsRead(tracked) || IsPrimary(instance))
    return true;
  const auto last_reported =
      m_freshness.LastReportedPosition(instance.view.name);
  const auto covered = m_freshness.CoveredUntil(instance.view.name);
  return last_reported && covered &&
         m_options.contains_position(*last_reported,
                                     tracked.request.required) &&
         now + instance.limit.AnswerTime(now) - *covered <=
             *tracked.request.target->allowed_age;
}

void GroupRouter::Dispatch(Instance& instance, EventContext& context) {
  while (!instance.queue.empty() && IsAvailable(instance) &&
         instance.pool.has_idle() && instance.limit.CanSend(context.now)) {
    SetPace(instance, context.now);
    std::vector<QueueRefusal> refused;
    const auto next = instance.queue.Take(context.now, refused);
    for (const QueueRefusal& refusal : refused)
      RefuseQueued(refusal, instance, context);
    if (!next)
      break;
    TrackedRequest& tracked = *Find(next->key);
    tracked.queued_at = nullptr;
    if (!MaySend(tracked, instance, context.now)) {
      Route(tracked, context);
      continue;
    }
    const auto connection = instance.pool.Take(context.now);
    if (!connection) {
      // A request that was refused above was routed again and took the
      // connection.
      Route(tracked, context);
      break;
    }
    Send(tracked, instance, *connection, context);
  }
  if (!IsAvailable(instance))
    return;
  std::vector<PoolEffect> pool_effects;
  const auto slots = static_cast<size_t>(std::ceil(instance.limit.limit()));
  instance.pool.Prepare(std::min(instance.queue.size(), slots), context.now,
                        pool_effects);
  ApplyPool(instance, pool_effects, context);
}

void GroupRouter::DispatchAll(EventContext& context) {
  for (const auto& instance : m_instances)
    Dispatch(*instance, context);
}

void GroupRouter::Send(TrackedRequest& tracked,
                       Instance& instance,
                       PoolConnectionId connection,
                       EventContext& context) {
  const bool primary = IsPrimary(instance) || !IsRead(tracked);
  const bool hedge = !tracked.attempts.empty();
  tracked.attempts.push_back(
      {&instance, connection, context.now, m_term, primary});
  m_tables.in_flight[connection] = {tracked.key, tracked.request.id,
                                    context.now};
  tracked.reason = RefusalReason::kDeadline;
  instance.limit.Sent(context.now);
  SetStage(tracked, Stage::kSent);
  context.effects.emplace_back(
      SendStatement{m_name, tracked.request.id, instance.view.name, connection,
                    primary ? std::optional(m_term) : std::nullopt, hedge});
  if (!IsRead(tracked) || hedge) {
    SetWake(tracked, tracked.deadline);
    return;
  }
  SetWake(tracked,
          context.now + std::max(kMinHedgeDelay,
                                 kHedgeDelayFactor *
                                     instance.limit.AnswerBound(context.now)));
  if (primary)
    QueryReplicaForTerm(tracked, context);
}

void GroupRouter::SendStep(TrackedRequest& tracked, EventContext& context) {
  const PoolConnectionId connection = tracked.request.held_connection;
  Instance* instance = FindInstance(connection);
  if (instance == nullptr ||
      !instance->pool.TakeHeld(connection, context.now)) {
    Refuse(tracked, RefusalReason::kConnectionLost, context);
    return;
  }
  Send(tracked, *instance, connection, context);
}

void GroupRouter::Hedge(TrackedRequest& tracked, EventContext& context) {
  if (!AllowsStaleRead(tracked) || tracked.attempts.size() != 1)
    return;
  Instance* const first = tracked.attempts.front().instance;
  Instance* const avoid = std::exchange(tracked.avoid, first);
  const Choice choice = Choose(tracked, true, context.now);
  tracked.avoid = avoid;
  if (choice.kind != ChoiceKind::kUse)
    return;
  Instance& second = *m_instances[choice.index];
  if (!second.queue.empty() || !second.pool.has_idle() ||
      !second.limit.CanSend(context.now) || !m_hedges.TryTake())
    return;
  ++m_owner.m_counts.hedges;
  Send(tracked, second, *second.pool.Take(context.now), context);
}

void GroupRouter::ReevaluateWaiting(EventContext& context) {
  const std::vector<uint64_t> keys(m_awaiting_evidence.begin(),
                                   m_awaiting_evidence.end());
  for (const uint64_t key : keys) {
    TrackedRequest* tracked = Find(key);
    if (tracked == nullptr)
      continue;
    if (tracked->stage == Stage::kWaiting) {
      Route(*tracked, context);
    } else if (tracked->stage == Stage::kAwaitingConfirmation) {
      const Attempt attempt = *tracked->unconfirmed_attempt;
      const FreshnessVerdict verdict = CheckFreshness(
          *tracked, attempt, tracked->unconfirmed_report, context.now);
      if (verdict == FreshnessVerdict::kFresh) {
        ReturnAnswer(*tracked, attempt, context);
      } else if (verdict == FreshnessVerdict::kStale) {
        DropUnconfirmedAnswer(*tracked, context);
        Retry(*tracked, attempt.instance, context);
      }
    }
  }
}

void GroupRouter::RecordAllowedAge(const TrackedRequest& tracked,
                                   EventContext& context) {
  m_last_stale_read = context.now;
  m_min_allowed_age =
      std::min(m_min_allowed_age, *tracked.request.target->allowed_age);
  if (!m_next_report)
    QueryReports(false, context);
}

void GroupRouter::QueryReport(const Instance& instance, EventContext& context) {
  context.effects.emplace_back(AskReport{m_name, instance.view.name,
                                         context.now, PoolConnectionId(),
                                         std::nullopt, Duration(0)});
}

void GroupRouter::QueryReports(bool replicas_only, EventContext& context) {
  for (const auto& instance : m_instances) {
    if (instance->listed && !(replicas_only && IsPrimary(*instance)))
      QueryReport(*instance, context);
  }
  m_last_term_query = context.now;
  if (replicas_only)
    return;
  const Duration interval(static_cast<int64_t>(
      static_cast<double>(m_min_allowed_age.count()) * m_options.report_share));
  m_next_report =
      context.now + std::clamp(interval, m_options.shortest_report_interval,
                               m_options.longest_report_interval);
}

void GroupRouter::QueryPosition(Instance& instance,
                                LogPosition position,
                                TimePoint until,
                                EventContext& context) {
  // Each report reevaluates all waiting reads. Without a minimum interval
  // between queries, the number of queries would multiply with each report.
  if (context.now < instance.awaited_at + kMinPositionQueryInterval ||
      (instance.awaited_position && *instance.awaited_position <= position &&
       context.now < instance.awaited_until))
    return;
  instance.awaited_position = position;
  instance.awaited_at = context.now;
  instance.awaited_until = until;
  context.effects.emplace_back(AskReport{m_name, instance.view.name,
                                         context.now, PoolConnectionId(),
                                         position, until - context.now});
}

void GroupRouter::QueryReplicaForTerm(const TrackedRequest& tracked,
                                      EventContext& context) {
  const auto term_confirmed_at = m_freshness.CoveredUntil(m_primary);
  const auto& age = tracked.request.target->allowed_age;
  if (age && term_confirmed_at && context.now - *term_confirmed_at < *age / 2)
    return;
  if (m_last_term_query == context.now)
    return;
  m_last_term_query = context.now;
  // One replica is enough. If its report does not confirm the answer, Tick
  // queries all replicas.
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
    QueryReport(*best, context);
}

}  // namespace jackdawturn::routing
