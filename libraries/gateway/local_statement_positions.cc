#include <algorithm>
#include <utility>

#include "gateway/local_statement_execution.h"
#include "gateway/read_selection.h"

namespace jackdawturn::gateway {

namespace {

using namespace std::chrono_literals;  // NOLINT(google-build-using-namespace)

// The time for which replicas are assumed not to have applied a commit of the
// session itself.
constexpr Duration kTypicalReplicationLag = 250ms;

}  // namespace

const BackendServer* LocalStatementExecution::ChooseForRead() {
  const GroupName& group = m_input.route.group;
  const TimePoint now = m_context.timers.now();
  PositionHistory& history = m_context.positions[group];
  m_required = history.PositionCovering(now - m_input.route.max_staleness +
                                        kStalenessMargin);
  bool recently_written = false;
  if (m_required && m_input.own_commit) {
    m_required = std::max(*m_required, *m_input.own_commit);
    const auto seen = history.SeenAt(*m_input.own_commit);
    recently_written = *m_required == *m_input.own_commit &&
                       (!seen || *seen + kTypicalReplicationLag > now);
  }
  const BackendServer* primary = m_context.directory.Primary(group);
  std::vector<ReadCandidate> candidates;
  for (const BackendServer* server : m_context.directory.NonDraining(group)) {
    const ReplicaProgress& progress = m_context.progress[server->id];
    const bool same_zone = server->zone == m_context.zone;
    candidates.push_back(
        {.id = server->id,
         .primary = primary && primary->id == server->id,
         .same_zone = same_zone,
         .outstanding = m_context.pool.Outstanding(server->id),
         .held_back = m_context.pool.HeldBack(server->id),
         .connected = m_context.pool.HasIdle(server->id, m_input.customer),
         .unreachable = m_context.pool.Unreachable(server->id) ||
                        (m_context.isolation.isolated_since() && !same_zone),
         .applied = progress.applied,
         .lagging = now < progress.lagging_until});
  }
  const auto chosen =
      ChooseReadInstance(candidates, m_required, recently_written, m_avoided);
  return chosen ? m_context.directory.Find(*chosen) : nullptr;
}

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
      m_context.MayRenewLease(m_input.route.group, reply.position->term))
    m_context.leases.Confirm(m_input.route.group, m_target,
                             reply.position->term, m_sent_at);
}

void LocalStatementExecution::RenewLeaseByReplica(CommitPosition position) {
  const GroupName& group = m_input.route.group;
  const BackendServer* primary = m_context.directory.Primary(group);
  if (!m_context.needs_leases() || !primary ||
      m_context.leases.Term(group, primary->id) != position.term ||
      !m_context.MayRenewLease(group, position.term))
    return;
  const auto committed_after =
      m_context.positions[group].LastSeenBefore(position);
  if (committed_after)
    m_context.leases.Confirm(group, primary->id, position.term,
                             *committed_after);
}

void LocalStatementExecution::FinishCommit(ClientReply answer) {
  if (!m_context.confirm_commit || !answer.position)
    return Acknowledge(answer);
  const CommitPosition position = *answer.position;
  m_context.confirm_commit(
      m_input.route.group, position, m_deadline,
      [self = shared_from_this(), position,
       answer = std::move(answer)](bool survives) {
        if (survives)
          return self->Acknowledge(answer);
        self->Log("unconfirmed", {{"position", ToString(position)}});
        self->FinishUnanswered("the primary was being replaced");
      });
}

}  // namespace jackdawturn::gateway
