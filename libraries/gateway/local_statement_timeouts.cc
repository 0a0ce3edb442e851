#include <algorithm>
#include <utility>

#include "gateway/local_statement_execution.h"

// Statements whose instance does not answer.

namespace jackdawturn::gateway {

namespace {

using namespace std::chrono_literals;  // NOLINT(google-build-using-namespace)

// A connection whose batch is still unanswered this long after its timeout is
// closed.
constexpr Duration kLateReplyTimeout = 3s;
// A repeatable read that is unanswered after this share of its latency target
// is retried at another instance.
constexpr double kResponseTimeoutShare = 0.75;
constexpr Duration kMinResponseTimeout = 120ms;
// Longer than kMinResponseTimeout: a statement of a transaction cannot be
// retried at another instance.
constexpr Duration kMinTransactionResponseTimeout = 250ms;

}  // namespace

void LocalStatementExecution::ResponseTimedOut() {
  // Late replies then belong to an older batch and are ignored.
  ++m_batch;
  Log("silent",
      {{"after_us",
        std::to_string((m_context.timers.now() - m_sent_at).count())}});
  m_context.failure_detector.Lost(m_target, m_input.changes_data(),
                                  m_context.timers.now());
  m_context.pool.Unanswered(*m_connection, m_sent_at);
  // A statement that commits nothing is rolled back when its answer arrives.
  // Closing the connection now would waste the instance's work, and opening
  // another would take one of the instance's slots.
  if (m_input.changes_data())
    m_context.pool.Discard(std::move(m_connection));
  else
    KeepUntilAnswered(m_batch - 1);
  if (!m_on_done)
    return;
  if (!m_input.repeatable() || !m_context.retries.TryTake())
    return FinishUnanswered("no answer in time");
  m_avoided.insert(m_target);
  StartAttempt();
}

void LocalStatementExecution::KeepUntilAnswered(uint64_t batch) {
  m_timed_out_connections[batch] = std::move(m_connection);
  m_context.timers.After(kLateReplyTimeout, [self = shared_from_this(), batch] {
    auto late = self->m_timed_out_connections.extract(batch);
    if (!late.empty())
      self->m_context.pool.Discard(std::move(late.mapped()));
  });
}

void LocalStatementExecution::HandleLateReplies(
    uint64_t batch,
    const Result<std::vector<BackendReply>>& replies) {
  auto late = m_timed_out_connections.extract(batch);
  if (late.empty())
    return;
  if (!replies)
    return m_context.pool.Discard(std::move(late.mapped()));
  late.mapped()->state.Replied(replies.value());
  m_context.pool.RollBackAndRelease(std::move(late.mapped()),
                                    replies.value().back().state);
}

void LocalStatementExecution::FinishUnanswered(const std::string& message) {
  Finish(ErrorReply(m_input.UnansweredCode(), message));
}

Duration LocalStatementExecution::ResponseTimeout() const {
  const Duration target = m_input.route.target_latency;
  if (m_input.in_transaction())
    return std::max(kMinTransactionResponseTimeout, target);
  return std::max(kMinResponseTimeout, Share(target, kResponseTimeoutShare));
}

void LocalStatementExecution::ConnectionLost(const std::string& message) {
  ++m_batch;
  m_context.failure_detector.Lost(m_target, m_input.changes_data(),
                                  m_context.timers.now());
  m_context.pool.Unanswered(*m_connection, m_sent_at);
  m_context.pool.Discard(std::move(m_connection));
  if (!m_on_done)
    return;
  Log("broken", {{"error", message}});
  if (m_input.repeatable() && m_context.retries.TryTake()) {
    m_avoided.insert(m_target);
    return ScheduleAttempt(Duration(0));
  }
  FinishUnanswered("the connection broke");
}

}  // namespace jackdawturn::gateway
