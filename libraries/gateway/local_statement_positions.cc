#include <algorithm>
#include <utility>

#include "gateway/local_statement_execution.h"

namespace jackdawturn::gateway {

bool LocalStatementExecution::lease_suffices() const {
  const GroupName& group = m_input.route.group;
  // A replaced primary cannot have a commit acknowledged that needs a replica.
  if (m_input.writes() && !m_input.in_transaction() &&
      m_context.CommitsReachReplicas(group))
    return true;
  const Duration max_staleness =
      m_input.writes() || m_input.route.freshness == ReadFreshness::kPrimary
          ? Duration(0)
          : std::max(m_input.route.max_staleness - kStalenessMargin,
                     Duration(0));
  return m_context.HasLease(group, m_target,
                            m_context.timers.now() - max_staleness);
}

void LocalStatementExecution::RecordPosition(const BackendReply& reply) {
  if (!reply.position)
    return;
  // Only a reply that the instance gave as primary shows the log's position.
  const bool confirmed_primary = m_input.writes() || m_implicit_transaction ||
                                 m_input.transaction == Transaction::kReadWrite;
  if (target_is_primary()) {
    if (confirmed_primary && !m_input.is_commit()) {
      ObservePrimary(*reply.position);
      LogMissingCommits(m_context.log, m_input.route.group, m_target,
                        m_context.acknowledged.SeenAtPrimary(
                            m_input.route.group, *reply.position));
    }
    return;
  }
  m_context.lag_monitor.Served(m_target);
  RenewLeaseByReplica(*reply.position);
  auto& applied = m_context.progress[m_target].applied;
  applied = applied ? std::max(*applied, *reply.position) : *reply.position;
}

void LocalStatementExecution::Acknowledge(const ClientReply& answer) {
  // Nothing is passed on to a client that has left.
  if (m_on_done) {
    // Only what is needed to find the commit, because each one has this line.
    GatewayLog::Fields fields = {
        {"database", m_input.route.database},
        {"waited_us",
         std::to_string((m_context.timers.now() - m_received).count())}};
    if (answer.position) {
      fields["position"] = ToString(*answer.position);
      LogMissingCommits(m_context.log, m_input.route.group, m_target,
                        m_context.acknowledged.PassedOn(m_input.route.group,
                                                        *answer.position));
    }
    m_context.log.LogRequestEvent(m_input.statement.id, m_input.route.group,
                                  std::string(kAcknowledgedStep),
                                  m_target.value(), std::move(fields));
  }
  Finish(answer);
}

void LocalStatementExecution::ObservePrimary(CommitPosition position) {
  const GroupName& group = m_input.route.group;
  TimePoint covered = m_sent_at;
  if (m_context.needs_leases()) {
    const auto lease_end = m_context.leases.End(group, m_target);
    if (!lease_end)
      return;
    // Commits of a later primary may have been acknowledged after that.
    covered = std::min(covered, *lease_end);
  }
  m_context.positions[group].Observe(covered, position);
}

void LocalStatementExecution::RenewLeaseByCommit(const BackendReply& reply) {
  const bool committed = m_input.in_transaction()
                             ? m_input.is_commit() && m_input.changes_data()
                             : m_input.writes();
  if (committed && reply.position && m_context.needs_leases() &&
      m_context.CommitsReachReplicas(m_input.route.group) &&
      !m_context.ChangePending(m_input.route.group, reply.position->term))
    m_context.leases.Confirm(m_input.route.group, m_target,
                             reply.position->term, m_sent_at);
}

void LocalStatementExecution::RenewLeaseByReplica(CommitPosition position) {
  const GroupName& group = m_input.route.group;
  const BackendServer* primary = m_context.directory.Primary(group);
  if (!m_context.needs_leases() || !primary ||
      m_context.leases.Term(group, primary->id) != position.term ||
      m_context.ChangePending(group, position.term))
    return;
  const auto committed_after =
      m_context.positions[group].LastSeenBefore(position);
  if (committed_after)
    m_context.leases.Confirm(group, primary->id, position.term,
                             *committed_after);
}

}  // namespace jackdawturn::gateway
