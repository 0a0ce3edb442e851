// Answers, their freshness checks, retries and the completion of requests.

#include <algorithm>

#include "routing/group_router.h"

namespace jackdawturn::routing {

std::optional<GroupRouter::Attempt> GroupRouter::TakeAttempt(
    TrackedRequest& tracked,
    PoolConnectionId connection) {
  const auto found = std::find_if(
      tracked.attempts.begin(), tracked.attempts.end(),
      [&](const Attempt& a) { return a.connection == connection; });
  if (found == tracked.attempts.end())
    return std::nullopt;
  const Attempt attempt = *found;
  tracked.attempts.erase(found);
  return attempt;
}

void GroupRouter::Answer(const StatementAnswered& event,
                         EventContext& context) {
  Instance* instance = FindInstance(event.connection);
  const auto found = m_tables.in_flight.find(event.connection);
  // A late or duplicate answer must not end the statement that now runs on the
  // connection.
  if (instance == nullptr || found == m_tables.in_flight.end() ||
      found->second.request != event.request) {
    context.effects.emplace_back(
        DropAnswer{m_name, event.request, event.connection});
    return;
  }
  if (event.outcome == StatementOutcome::kLost) {
    Lost({m_name, event.connection}, context);
    return;
  }
  const InFlightStatement statement = found->second;
  m_tables.in_flight.erase(found);
  TrackedRequest* tracked = Find(statement.key);
  std::optional<Attempt> attempt;
  if (tracked != nullptr)
    attempt = TakeAttempt(*tracked, event.connection);
  const bool hold = attempt && event.outcome == StatementOutcome::kDone &&
                    tracked->request.operation == Operation::kBegin;
  std::vector<PoolEffect> pool_effects;
  instance->pool.Answered(event.connection, hold, context.now, pool_effects);
  ApplyPool(*instance, pool_effects, context);
  instance->limit.Answered(statement.sent_at, context.now);
  if (!attempt) {
    context.effects.emplace_back(
        DropAnswer{m_name, event.request, event.connection});
    Dispatch(*instance, context);
    return;
  }
  if (event.report) {
    m_freshness.Report(instance->view.name, *event.report, attempt->sent_at);
    if (IsPrimary(*instance) && event.report->accepted_term > m_term)
      m_primary_replaced = true;
  }
  switch (event.outcome) {
    case StatementOutcome::kDone:
      HandleResult(*tracked, *attempt, event.report, context);
      break;
    case StatementOutcome::kFailed:
      ReturnAnswer(*tracked, *attempt, context);
      break;
    case StatementOutcome::kNotRun:
      if (tracked->attempts.empty())
        Retry(*tracked, instance, context);
      break;
    case StatementOutcome::kLost:
      break;
  }
  if (event.report)
    ReevaluateWaiting(context);
  Dispatch(*instance, context);
}

void GroupRouter::HandleResult(TrackedRequest& tracked,
                               const Attempt& attempt,
                               const std::optional<InstanceReport>& report,
                               EventContext& context) {
  if (!IsRead(tracked)) {
    ReturnAnswer(tracked, attempt, context);
    return;
  }
  const FreshnessVerdict verdict =
      report ? CheckFreshness(tracked, attempt, *report, context.now)
             : FreshnessVerdict::kStale;
  switch (verdict) {
    case FreshnessVerdict::kFresh:
      ReturnAnswer(tracked, attempt, context);
      break;
    case FreshnessVerdict::kNeedsReport:
      if (tracked.unconfirmed_attempt)
        DropUnconfirmedAnswer(tracked, context);
      tracked.unconfirmed_attempt = attempt;
      tracked.unconfirmed_report = *report;
      tracked.reason = RefusalReason::kNoFreshInstance;
      SetStage(tracked, Stage::kAwaitingConfirmation);
      SetWake(tracked, context.now + m_options.shortest_report_interval);
      break;
    case FreshnessVerdict::kStale:
      ++m_owner.m_counts.dropped_answers;
      context.effects.emplace_back(
          DropAnswer{m_name, tracked.request.id, attempt.connection});
      if (tracked.attempts.empty() && !tracked.unconfirmed_attempt)
        Retry(tracked, attempt.instance, context);
      break;
  }
}

GroupRouter::FreshnessVerdict GroupRouter::CheckFreshness(
    const TrackedRequest& tracked,
    const Attempt& attempt,
    const InstanceReport& report,
    TimePoint now) const {
  const TermPosition held{report.log_term, report.position};
  if (attempt.term != m_term || report.log_term != m_term ||
      !m_options.contains_position(held, tracked.request.required))
    return FreshnessVerdict::kStale;
  const auto& age = tracked.request.target->allowed_age;
  if (!attempt.primary) {
    const auto covered =
        m_freshness.CoveredUntil(attempt.instance->view.name, held);
    return age && covered && now - *covered <= *age ? FreshnessVerdict::kFresh
                                                    : FreshnessVerdict::kStale;
  }
  if (!report.primary || report.accepted_term != m_term)
    return FreshnessVerdict::kStale;
  const auto term_confirmed_at = m_freshness.CoveredUntil(m_primary);
  // The read may have run as soon as it was sent. It may miss later commits,
  // however recent the report of the replica is.
  const TimePoint needed = age ? now - *age : tracked.arrived;
  if (attempt.sent_at < needed)
    return FreshnessVerdict::kStale;
  return term_confirmed_at && *term_confirmed_at >= needed
             ? FreshnessVerdict::kFresh
             : FreshnessVerdict::kNeedsReport;
}

void GroupRouter::DropUnconfirmedAnswer(TrackedRequest& tracked,
                                        EventContext& context) {
  context.effects.emplace_back(DropAnswer{
      m_name, tracked.request.id, tracked.unconfirmed_attempt->connection});
  tracked.unconfirmed_attempt.reset();
}

void GroupRouter::AttemptLost(TrackedRequest& tracked,
                              PoolConnectionId connection,
                              EventContext& context) {
  const auto attempt = TakeAttempt(tracked, connection);
  if (!attempt)
    return;
  if (!IsRead(tracked))
    tracked.outcome_unknown = true;
  if (!tracked.attempts.empty() || tracked.unconfirmed_attempt)
    return;
  const bool may_repeat =
      IsRead(tracked) || (tracked.request.target->repeatable &&
                          tracked.request.operation == Operation::kWrite);
  if (may_repeat && !tracked.abandoned)
    Retry(tracked, attempt->instance, context);
  else
    Expire(tracked, context);
}

void GroupRouter::Retry(TrackedRequest& tracked,
                        Instance* failed,
                        EventContext& context) {
  const bool may_repeat =
      tracked.request.operation != Operation::kTransactionStep;
  if (tracked.abandoned || !may_repeat || tracked.deadline <= context.now) {
    tracked.reason =
        may_repeat ? tracked.reason : RefusalReason::kConnectionLost;
    Expire(tracked, context);
    return;
  }
  if (!m_retries.TryTake()) {
    tracked.reason = RefusalReason::kRetryBudget;
    Expire(tracked, context);
    return;
  }
  ++m_owner.m_counts.retries;
  tracked.avoid = failed;
  SetStage(tracked, Stage::kBackingOff);
  SetWake(tracked,
          context.now + BackOffDelay(m_options.retry_back_off, ++tracked.tries,
                                     m_owner.m_random));
}

void GroupRouter::ReturnAnswer(TrackedRequest& tracked,
                               const Attempt& attempt,
                               EventContext& context) {
  ++m_owner.m_counts.answered;
  m_retries.Succeeded();
  if (IsRead(tracked)) {
    m_hedges.Succeeded();
    ++(attempt.primary ? m_owner.m_counts.primary_reads
                       : m_owner.m_counts.replica_reads);
  }
  if (tracked.unconfirmed_attempt &&
      tracked.unconfirmed_attempt->connection == attempt.connection)
    tracked.unconfirmed_attempt.reset();
  if (tracked.abandoned)
    context.effects.emplace_back(
        DropAnswer{m_name, tracked.request.id, attempt.connection});
  else
    context.effects.emplace_back(GiveAnswer{m_name, tracked.request.id,
                                            attempt.instance->view.name,
                                            attempt.connection});
  Remove(tracked, context);
}

void GroupRouter::Refuse(TrackedRequest& tracked,
                         RefusalReason reason,
                         EventContext& context) {
  const bool may_have_run = !IsRead(tracked) && (tracked.outcome_unknown ||
                                                 !tracked.attempts.empty());
  if (may_have_run) {
    HandOverUnknownOutcome(tracked, context);
    return;
  }
  Duration wait{0};
  if (const Instance* primary = UsablePrimary())
    wait = primary->queue.drain_time();
  wait += BackOffDelay(m_options.retry_back_off, tracked.tries + 1,
                       m_owner.m_random);
  ++m_owner.m_counts.refused;
  if (!tracked.abandoned)
    context.effects.emplace_back(
        RefuseRequest{m_name, tracked.request.id, reason, wait});
  Remove(tracked, context);
}

void GroupRouter::HandOverUnknownOutcome(TrackedRequest& tracked,
                                         EventContext& context) {
  ++m_owner.m_counts.unknown_outcomes;
  const InstanceName instance =
      tracked.attempts.empty() ? m_primary
                               : tracked.attempts.back().instance->view.name;
  context.effects.emplace_back(
      ResolveUnknownOutcome{m_name, tracked.request.id, instance});
  Remove(tracked, context);
}

void GroupRouter::Expire(TrackedRequest& tracked, EventContext& context) {
  Refuse(tracked, tracked.reason, context);
}

void GroupRouter::Remove(TrackedRequest& tracked, EventContext& context) {
  if (tracked.queued_at != nullptr)
    tracked.queued_at->queue.Remove(tracked.key);
  if (tracked.unconfirmed_attempt)
    DropUnconfirmedAnswer(tracked, context);
  const bool in_transaction =
      tracked.request.operation == Operation::kBegin ||
      tracked.request.operation == Operation::kTransactionStep;
  for (const Attempt& attempt : tracked.attempts) {
    // Other statements free the connection when they end. A transaction without
    // a caller would stay open; closing its connection rolls it back.
    if (!in_transaction)
      continue;
    m_tables.in_flight.erase(attempt.connection);
    if (attempt.instance->pool.Lost(attempt.connection))
      attempt.instance->limit.Lost();
    context.effects.emplace_back(CloseConnection{
        m_name, attempt.instance->view.name, attempt.connection});
  }
  --m_in_progress;
  m_owner.ReturnPlace(tracked.class_hash, tracked.caller_hash);
  m_awaiting_evidence.erase(tracked.key);
  m_wakes.erase({tracked.wake, tracked.key});
  m_tables.keys.erase(tracked.request.id);
  m_tables.tracked_requests.erase(tracked.key);
}

}  // namespace jackdawturn::routing
