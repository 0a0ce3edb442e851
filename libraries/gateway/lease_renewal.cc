#include "gateway/lease_renewal.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace jackdawturn::gateway {

LeaseRenewal::LeaseRenewal(GatewayContext& context, ReadStatusRow read_status)
    : m_context(context), m_status(context, std::move(read_status)) {}

void LeaseRenewal::Renew(const GroupName& group, std::function<void()> then) {
  const auto [attempt, added] = m_attempts.try_emplace(group);
  attempt->second.waiting.push_back(std::move(then));
  if (!added)
    return;
  const BackendServer* primary = m_context.directory.Primary(group);
  if (!primary)
    return End(group, "no_primary");
  attempt->second.primary = primary->id;
  attempt->second.replicas = ReplicasToAsk(group, primary->id);
  AskNextReplica(group);
}

std::vector<InstanceName> LeaseRenewal::ReplicasToAsk(
    const GroupName& group,
    const InstanceName& primary) const {
  std::vector<const BackendServer*> servers = m_context.directory.All(group);
  std::erase_if(servers,
                [&](const auto* server) { return server->id == primary; });
  // A higher rank is asked first.
  const auto rank = [this](const BackendServer* server) {
    return std::make_tuple(!m_context.pool.Unreachable(server->id),
                           server->zone == m_context.zone,
                           !m_context.pool.Outstanding(server->id));
  };
  std::sort(servers.begin(), servers.end(),
            [&](const auto* left, const auto* right) {
              return rank(left) < rank(right);
            });
  std::vector<InstanceName> ids;
  ids.reserve(servers.size());
  for (const BackendServer* server : servers)
    ids.push_back(server->id);
  return ids;
}

void LeaseRenewal::AskNextReplica(const GroupName& group) {
  Attempt& attempt = m_attempts.at(group);
  if (attempt.replicas.empty())
    return End(group, "no_replica_receives");
  const InstanceName replica = attempt.replicas.back();
  attempt.replicas.pop_back();
  m_status.Request(
      replica, [this, group, replica,
                sent_at = m_context.timers.now()](const auto& status) {
        if (status)
          ReplicaAnswered(group, replica, sent_at, status.value().status);
        else
          AskNextReplica(group);
      });
}

void LeaseRenewal::ReplicaAnswered(const GroupName& group,
                                   const InstanceName& replica,
                                   TimePoint sent_at,
                                   const ReplicationStatus& status) {
  const InstanceName primary = m_attempts.at(group).primary;
  const uint64_t term = m_context.leases.Term(group, primary);
  if (status.role == ReplicationRole::kPrimary) {
    if (term == 0 || status.term <= term)
      return AskNextReplica(group);
    m_context.directory.MarkPromoted(group, replica);
    return End(group, "replaced");
  }
  // A paused replica may have been paused for a change that has not ended. One
  // that has restarted meanwhile is not paused any more.
  if (status.paused_term > 0 || status.term < term ||
      m_context.ChangePending(group, status.term))
    return AskNextReplica(group);
  if (status.term == term) {
    Confirm(group, term, sent_at);
    return End(group, nullptr);
  }
  m_status.Request(primary, [this, group, sent_at,
                             replica_term = status.term](const auto& answer) {
    PrimaryAnswered(
        group, replica_term, sent_at,
        answer ? std::optional(answer.value().status) : std::nullopt);
  });
}

void LeaseRenewal::PrimaryAnswered(
    const GroupName& group,
    uint64_t replica_term,
    TimePoint sent_at,
    const std::optional<ReplicationStatus>& status) {
  if (!status)
    return End(group, "primary_does_not_answer");
  if (status->role == ReplicationRole::kPrimary &&
      status->term == replica_term) {
    Confirm(group, replica_term, sent_at);
    return End(group, nullptr);
  }
  if (status->role == ReplicationRole::kReplica ||
      status->term < replica_term) {
    m_context.directory.MarkDemoted(m_attempts.at(group).primary);
    return End(group, "replaced");
  }
  AskNextReplica(group);
}

void LeaseRenewal::Confirm(const GroupName& group,
                           uint64_t term,
                           TimePoint sent_at) {
  m_context.leases.Confirm(group, m_attempts.at(group).primary, term, sent_at);
}

void LeaseRenewal::End(const GroupName& group, const char* failure) {
  const auto ended = m_attempts.extract(group);
  const bool changed =
      failure ? m_failed.insert(group).second : m_failed.erase(group) > 0;
  if (changed)
    m_context.log.LogStateChange(
        EventKind::kFailover, group, failure ? "lease_lost" : "lease_regained",
        ended.mapped().primary.value(), {{"why", failure ? failure : ""}});
  for (const auto& then : ended.mapped().waiting)
    then();
}

}  // namespace jackdawturn::gateway
