#pragma once

#include <functional>
#include <memory>
#include <optional>

#include "gateway/gateway_context.h"

namespace jackdawturn::gateway {

// Requests the replication status of instances on pooled connections.
// Thread safety: not thread-safe.
class InstanceStatus {
 public:
  using OnStatus = std::function<void(std::optional<ReplicationStatus> status)>;

  // `context` outlives this.
  InstanceStatus(GatewayContext& context, ReadStatusRow read_status);
  ~InstanceStatus();
  InstanceStatus(const InstanceStatus&) = delete;
  InstanceStatus& operator=(const InstanceStatus&) = delete;

  // Passes nullopt if the instance is unknown or busy, or does not answer
  // within about 250 ms.
  void Request(const InstanceName& id, OnStatus on_status);

 private:
  void Send(BackendPool::ConnectionPtr connection, const OnStatus& on_status);

  GatewayContext& m_context;
  const ReadStatusRow m_read_status;
  // Null once this object is destroyed; callbacks may run after that.
  std::shared_ptr<InstanceStatus*> m_self;
};

}  // namespace jackdawturn::gateway
