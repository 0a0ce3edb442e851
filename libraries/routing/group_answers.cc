// Answers, their proof, retries and the ends of a request.

#include <algorithm>

#include "routing/group_router.h"

namespace jackdawturn::routing {

std::optional<GroupRouter::Attempt> GroupRouter::TakeAttempt(
    Active& active,
    PoolConnectionId connection) {
  const auto found = std::find_if(
      active.attempts.begin(), active.attempts.end(),
      [&](const Attempt& a) { return a.connection == connection; });
  if (found == active.attempts.end())
    return std::nullopt;
  const Attempt attempt = *found;
  active.attempts.erase(found);
  return attempt;
}

void GroupRouter::Answer(const StatementAnswered& event, Turn& turn) {
  Instance* instance = FindInstance(event.connection);
  const auto found = m_tables.running.find(event.connection);
  // A late or repeated answer must not end the statement that runs now.
  if (instance == nullptr || found == m_tables.running.end() ||
      found->second.request != event.request) {
    turn.effects.emplace_back(
        DropAnswer{m_name, event.request, event.connection});
    return;
  }
  if (event.outcome == StatementOutcome::kLost) {
    Lost({m_name, event.connection}, turn);
    return;
  }
  const Running running = found->second;
  m_tables.running.erase(found);
  Active* active = Find(running.key);
  std::optional<Attempt> attempt;
  if (active != nullptr)
    attempt = TakeAttempt(*active, event.connection);
  const bool hold = attempt && event.outcome == StatementOutcome::kDone &&
                    active->request.operation == Operation::kBegin;
  std::vector<PoolEffect> pool_effects;
  instance->pool.Answered(event.connection, hold, turn.now, pool_effects);
  ApplyPool(*instance, pool_effects, turn);
  instance->limit.Answered(running.sent_at, turn.now);
  if (!attempt) {
    turn.effects.emplace_back(
        DropAnswer{m_name, event.request, event.connection});
    Dispatch(*instance, turn);
    return;
  }
  if (event.report) {
    m_freshness.Report(instance->view.name, *event.report, attempt->sent_at);
    if (IsPrimary(*instance) && event.report->accepted_term > m_term)
      m_primary_replaced = true;
  }
  switch (event.outcome) {
    case StatementOutcome::kDone:
      Done(*active, *attempt, event.report, turn);
      break;
    case StatementOutcome::kFailed:
      Give(*active, *attempt, turn);
      break;
    case StatementOutcome::kNotRun:
      if (active->attempts.empty())
        Retry(*active, instance, turn);
      break;
    case StatementOutcome::kLost:
      break;
  }
  if (event.report)
    Settle(turn);
  Dispatch(*instance, turn);
}

void GroupRouter::Done(Active& active,
                       const Attempt& attempt,
                       const std::optional<InstanceReport>& report,
                       Turn& turn) {
  if (!IsRead(active)) {
    Give(active, attempt, turn);
    return;
  }
  const Proof proof =
      report ? Prove(active, attempt, *report, turn.now) : Proof::kStale;
  switch (proof) {
    case Proof::kFresh:
      Give(active, attempt, turn);
      break;
    case Proof::kNeedsReport:
      if (active.unconfirmed_attempt)
        DropUnconfirmedAnswer(active, turn);
      active.unconfirmed_attempt = attempt;
      active.unconfirmed_report = *report;
      active.reason = RefusalReason::kNoFreshInstance;
      SetStage(active, Stage::kAwaitingConfirmation);
      SetWake(active, turn.now + m_options.shortest_report_interval);
      break;
    case Proof::kStale:
      ++m_owner.m_counts.dropped_answers;
      turn.effects.emplace_back(
          DropAnswer{m_name, active.request.id, attempt.connection});
      if (active.attempts.empty() && !active.unconfirmed_attempt)
        Retry(active, attempt.instance, turn);
      break;
  }
}

GroupRouter::Proof GroupRouter::Prove(const Active& active,
                                      const Attempt& attempt,
                                      const InstanceReport& report,
                                      TimePoint now) const {
  const TermPosition held{report.log_term, report.position};
  if (attempt.term != m_term || report.log_term != m_term ||
      !m_options.contains_position(held, active.request.required))
    return Proof::kStale;
  const auto& age = active.request.target->allowed_age;
  if (!attempt.primary) {
    const auto covered =
        m_freshness.CoveredUntil(attempt.instance->view.name, held);
    return age && covered && now - *covered <= *age ? Proof::kFresh
                                                    : Proof::kStale;
  }
  if (!report.primary || report.accepted_term != m_term)
    return Proof::kStale;
  const auto term_confirmed_at = m_freshness.CoveredUntil(m_primary);
  // The read ran after it was sent; what was committed later may be missing,
  // however new the report of the replica is.
  const TimePoint needed = age ? now - *age : active.arrived;
  if (attempt.sent_at < needed)
    return Proof::kStale;
  return term_confirmed_at && *term_confirmed_at >= needed
             ? Proof::kFresh
             : Proof::kNeedsReport;
}

void GroupRouter::DropUnconfirmedAnswer(Active& active, Turn& turn) {
  turn.effects.emplace_back(DropAnswer{m_name, active.request.id,
                                       active.unconfirmed_attempt->connection});
  active.unconfirmed_attempt.reset();
}

void GroupRouter::AttemptLost(Active& active,
                              PoolConnectionId connection,
                              Turn& turn) {
  const auto attempt = TakeAttempt(active, connection);
  if (!attempt)
    return;
  if (!IsRead(active))
    active.outcome_unknown = true;
  if (!active.attempts.empty() || active.unconfirmed_attempt)
    return;
  const bool may_repeat =
      IsRead(active) || (active.request.target->repeatable &&
                         active.request.operation == Operation::kWrite);
  if (may_repeat && !active.abandoned)
    Retry(active, attempt->instance, turn);
  else
    Expire(active, turn);
}

void GroupRouter::Retry(Active& active, Instance* failed, Turn& turn) {
  const bool may_repeat =
      active.request.operation != Operation::kTransactionStep;
  if (active.abandoned || !may_repeat || active.deadline <= turn.now) {
    active.reason = may_repeat ? active.reason : RefusalReason::kConnectionLost;
    Expire(active, turn);
    return;
  }
  if (!m_retries.TryTake()) {
    active.reason = RefusalReason::kRetryBudget;
    Expire(active, turn);
    return;
  }
  ++m_owner.m_counts.retries;
  active.avoid = failed;
  SetStage(active, Stage::kBackingOff);
  SetWake(active, turn.now + BackOffDelay(m_options.retry_back_off,
                                          ++active.tries, m_owner.m_random));
}

void GroupRouter::Give(Active& active, const Attempt& attempt, Turn& turn) {
  ++m_owner.m_counts.answered;
  m_retries.Succeeded();
  if (IsRead(active)) {
    m_hedges.Succeeded();
    ++(attempt.primary ? m_owner.m_counts.primary_reads
                       : m_owner.m_counts.replica_reads);
  }
  if (active.unconfirmed_attempt &&
      active.unconfirmed_attempt->connection == attempt.connection)
    active.unconfirmed_attempt.reset();
  if (active.abandoned)
    turn.effects.emplace_back(
        DropAnswer{m_name, active.request.id, attempt.connection});
  else
    turn.effects.emplace_back(GiveAnswer{m_name, active.request.id,
                                         attempt.instance->view.name,
                                         attempt.connection});
  Remove(active, turn);
}

void GroupRouter::Refuse(Active& active, RefusalReason reason, Turn& turn) {
  const bool may_have_run =
      !IsRead(active) && (active.outcome_unknown || !active.attempts.empty());
  if (may_have_run) {
    HandOverUnknownOutcome(active, turn);
    return;
  }
  Duration wait{0};
  if (const Instance* primary = UsablePrimary())
    wait = primary->queue.drain_time();
  wait += BackOffDelay(m_options.retry_back_off, active.tries + 1,
                       m_owner.m_random);
  ++m_owner.m_counts.refused;
  if (!active.abandoned)
    turn.effects.emplace_back(
        RefuseRequest{m_name, active.request.id, reason, wait});
  Remove(active, turn);
}

void GroupRouter::HandOverUnknownOutcome(Active& active, Turn& turn) {
  ++m_owner.m_counts.unknown_outcomes;
  const InstanceName instance =
      active.attempts.empty() ? m_primary
                              : active.attempts.back().instance->view.name;
  turn.effects.emplace_back(
      ResolveUnknownOutcome{m_name, active.request.id, instance});
  Remove(active, turn);
}

void GroupRouter::Expire(Active& active, Turn& turn) {
  Refuse(active, active.reason, turn);
}

void GroupRouter::Remove(Active& active, Turn& turn) {
  if (active.queued_at != nullptr)
    active.queued_at->queue.Remove(active.key);
  if (active.unconfirmed_attempt)
    DropUnconfirmedAnswer(active, turn);
  const bool in_transaction =
      active.request.operation == Operation::kBegin ||
      active.request.operation == Operation::kTransactionStep;
  for (const Attempt& attempt : active.attempts) {
    // Other statements end on their own and free the connection then. Nobody
    // awaits the end of a transaction; closing rolls it back.
    if (!in_transaction)
      continue;
    m_tables.running.erase(attempt.connection);
    if (attempt.instance->pool.Lost(attempt.connection))
      attempt.instance->limit.Lost();
    turn.effects.emplace_back(CloseConnection{
        m_name, attempt.instance->view.name, attempt.connection});
  }
  --m_in_progress;
  m_owner.ReturnPlace(active.class_hash, active.caller_hash);
  m_unsettled.erase(active.key);
  m_wakes.erase({active.wake, active.key});
  m_tables.keys.erase(active.request.id);
  m_tables.active.erase(active.key);
}

}  // namespace jackdawturn::routing
