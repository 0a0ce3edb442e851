#include "gateway/instance_status.h"

#include <utility>

namespace jackdawturn::gateway {

namespace {

using namespace std::chrono_literals;  // NOLINT(google-build-using-namespace)

constexpr uint64_t kMostImportant = 0;
constexpr Duration kAcquireTimeout = 100ms;
// Longer than an instance takes for the statements that are in progress.
constexpr Duration kStatusTimeout = 150ms;

}  // namespace

InstanceStatus::InstanceStatus(GatewayContext& context,
                               ReadStatusRow read_status)
    : m_context(context),
      m_read_status(std::move(read_status)),
      m_self(std::make_shared<InstanceStatus*>(this)) {}

InstanceStatus::~InstanceStatus() {
  *m_self = nullptr;
}

void InstanceStatus::Request(const InstanceName& id, OnStatus on_status) {
  const BackendServer* server = m_context.directory.Find(id);
  if (!server)
    return on_status(std::nullopt);
  m_context.pool.Acquire(
      *server, kMostImportant, kAcquireTimeout,
      [self = m_self, on_status = std::move(on_status)](auto connection) {
        if (!*self)
          return;
        if (!connection)
          return on_status(std::nullopt);
        (*self)->Send(std::move(connection.value()), on_status);
      });
}

void InstanceStatus::Send(BackendPool::ConnectionPtr connection,
                          const OnStatus& on_status) {
  const auto shared =
      std::make_shared<BackendPool::ConnectionPtr>(std::move(connection));
  const auto timer = m_context.timers.After(
      kStatusTimeout, [self = m_self, shared, on_status] {
        if (!*self || !*shared)
          return;
        (*self)->m_context.pool.Discard(std::move(*shared));
        on_status(std::nullopt);
      });
  (*shared)->session->Send(
      {{.kind = BackendCommand::Kind::kStatus}},
      [self = m_self, shared, timer, on_status](const auto& replies) {
        if (!*self || !*shared)
          return;
        GatewayContext& context = (*self)->m_context;
        context.timers.Cancel(timer);
        if (!replies) {
          context.pool.Discard(std::move(*shared));
          return on_status(std::nullopt);
        }
        context.pool.Release(std::move(*shared));
        const BackendReply& reply = replies.value().front();
        if (reply.code != ReplyCode::kDone)
          return on_status(std::nullopt);
        const auto status = (*self)->m_read_status(reply);
        on_status(status ? std::optional(status.value()) : std::nullopt);
      });
}

}  // namespace jackdawturn::gateway
