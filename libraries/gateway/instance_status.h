#pragma once

#include <functional>
#include <memory>

#include "gateway/gateway_context.h"

namespace jackdawturn::gateway {

// What an instance has reported.
struct InstanceAnswer {
  ReplicationStatus status;
  // When the connection that was used was opened; the instance has not
  // restarted since.
  TimePoint connected_at;
};

// Requests the replication status of instances on pooled connections.
// Thread safety: not thread-safe.
class InstanceStatus {
 public:
  using OnStatus = std::function<void(const Result<InstanceAnswer>& answer)>;

  // `context` outlives this.
  InstanceStatus(GatewayContext& context, ReadStatusRow read_status);
  ~InstanceStatus();
  InstanceStatus(const InstanceStatus&) = delete;
  InstanceStatus& operator=(const InstanceStatus&) = delete;

  // Errors: kUnavailable (the instance does not run), kNotFound (it is not
  // known, or another one is at its address), kExhausted (it is busy), kTimeout
  // (it has not answered within about 250 ms).
  void Request(const InstanceName& id, OnStatus on_status);

 private:
  void Send(BackendPool::ConnectionPtr connection, const OnStatus& on_status);
  Result<InstanceAnswer> ReadAnswer(const BackendReply& reply,
                                    TimePoint connected_at) const;

  GatewayContext& m_context;
  const ReadStatusRow m_read_status;
  // Null once this object is destroyed; callbacks may run after that.
  std::shared_ptr<InstanceStatus*> m_self;
};

}  // namespace jackdawturn::gateway
