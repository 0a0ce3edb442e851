#include <utility>

#include "gateway/local_statement_execution.h"

// Statements that are refused because this proxy knows that it cannot serve
// them.

namespace jackdawturn::gateway {

namespace {

using namespace std::chrono_literals;  // NOLINT(google-build-using-namespace)

// A change of the primary, or a search for the new one at the known instances,
// usually ends within this time.
constexpr Duration kPrimarySearchTime = 500ms;

}  // namespace

bool LocalStatementExecution::unconfirmable() const {
  return m_input.changes_data() && m_context.may_confirm_commit &&
         !m_context.may_confirm_commit(m_input.route.group);
}

bool LocalStatementExecution::primary_unknown() const {
  const TimePoint now = m_context.timers.now();
  const auto [since, added] =
      m_context.no_primary_since.try_emplace(m_input.route.group, now);
  // A primary that failed is not replaced sooner, and while the store does not
  // answer, this proxy does not learn of a new one either.
  const Duration until_change = ServerDirectory::kUnlistedGracePeriod -
                                m_context.store_contact.Uninterrupted(now);
  return since->second + kPrimarySearchTime <= now &&
         now + until_change > m_deadline;
}

void LocalStatementExecution::Refuse(const std::string& reason) {
  Log("refused",
      {{"reason", reason},
       {"waited_us",
        std::to_string((m_context.timers.now() - m_received).count())},
       {"attempts", std::to_string(m_attempts)}});
  // What follows the reason is for the client.
  m_context.log.CountRefused(reason.substr(0, reason.find(' ')));
  Finish(ErrorReply(ReplyCode::kBusy, reason));
}

}  // namespace jackdawturn::gateway
