#pragma once

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "gateway/gateway_context.h"
#include "gateway/instance_status.h"

namespace jackdawturn::gateway {

// Renews primary leases when reads need them: asks a replica whether it still
// receives, and the primary for its term if that is not known. Load pattern:
// reads at a primary whose commits are too rare to renew its lease. Thread
// safety: not thread-safe.
class LeaseRenewal {
 public:
  // `context` outlives this.
  LeaseRenewal(GatewayContext& context, ReadStatusRow read_status);
  LeaseRenewal(const LeaseRenewal&) = delete;
  LeaseRenewal& operator=(const LeaseRenewal&) = delete;

  // Tries to renew the lease of the group's primary; `then` runs at the end,
  // whether or not it was renewed. Calls during an attempt join it.
  void Renew(const GroupName& group, std::function<void()> then);

 private:
  struct Attempt {
    InstanceName primary;
    // The replicas that have not been asked, the next one last.
    std::vector<InstanceName> replicas;
    std::vector<std::function<void()>> waiting;
  };

  std::vector<InstanceName> ReplicasToAsk(const GroupName& group,
                                          const InstanceName& primary) const;
  void AskNextReplica(const GroupName& group);
  void ReplicaAnswered(const GroupName& group,
                       const InstanceName& replica,
                       TimePoint sent_at,
                       const ReplicationStatus& status);
  void PrimaryAnswered(const GroupName& group,
                       uint64_t replica_term,
                       TimePoint sent_at,
                       const std::optional<ReplicationStatus>& status);
  void Confirm(const GroupName& group, uint64_t term, TimePoint sent_at);
  void End(const GroupName& group, const char* failure);

  GatewayContext& m_context;
  InstanceStatus m_status;
  std::map<GroupName, Attempt> m_attempts;
  // Groups whose last attempt failed.
  std::set<GroupName> m_failed;
};

}  // namespace jackdawturn::gateway
