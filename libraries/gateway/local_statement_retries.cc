#include "gateway/local_statement_execution.h"

// Statements that an instance did not run.

namespace jackdawturn::gateway {

namespace {

using namespace std::chrono_literals;  // NOLINT(google-build-using-namespace)

// For this time after a refusal as lagging, a replica receives no read whose
// position it is not known to have.
constexpr Duration kLaggingBackoff = 250ms;

}  // namespace

bool LocalStatementExecution::RetryIfNotRun(const BackendReply& reply) {
  if (!GuaranteesNotRun(reply.code))
    return false;
  // A repeatable statement may have run before, at an instance that did not
  // answer.
  m_may_have_run = m_may_have_run && m_input.repeatable();
  Log("retry", {{"code", std::string(ToString(reply.code))},
                {"message", reply.message}});
  switch (reply.code) {
    case ReplyCode::kReadOnly:
      m_context.directory.MarkDemoted(m_target);
      break;
    case ReplyCode::kLagging:
      if (target_is_primary()) {
        // It lacks an acknowledged commit, so another one has replaced it.
        m_context.directory.MarkDemoted(m_target);
        break;
      }
      m_context.progress[m_target].lagging_until =
          m_context.timers.now() + kLaggingBackoff;
      m_context.lag_monitor.Lagging(m_target, m_context.timers.now());
      m_avoided.insert(m_target);
      ScheduleAttempt(Duration(0));
      return true;
    case ReplyCode::kBusy:
      ReportPrimaryFull();
      m_avoided.insert(m_target);
      if (m_context.retries.TryTake())
        break;
      Refuse(kRetryBudget);
      return true;
    default:
      break;
  }
  ScheduleAttempt(kRetryDelay);
  return true;
}

void LocalStatementExecution::ReportPrimaryFull() {
  if (target_is_primary())
    m_context.lag_monitor.PrimaryFull(m_input.route.group,
                                      m_context.timers.now());
}

}  // namespace jackdawturn::gateway
