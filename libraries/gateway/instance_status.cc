#include "gateway/instance_status.h"

#include <string>
#include <utility>

namespace jackdawturn::gateway {

namespace {

using namespace std::chrono_literals;  // NOLINT(google-build-using-namespace)

constexpr const char* kStep = "instance.status";
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
    return on_status(Failure(ErrorCode::kNotFound, kStep, id.value(),
                             "the instance is not known"));
  m_context.pool.Acquire(
      *server, kMostImportant, kAcquireTimeout,
      [self = m_self, on_status = std::move(on_status)](auto connection) {
        if (!*self)
          return;
        if (!connection)
          return on_status(connection.error());
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
        const std::string id = (*shared)->server.id.value();
        (*self)->m_context.pool.Discard(std::move(*shared));
        on_status(Failure(ErrorCode::kTimeout, kStep, id, "no answer in time"));
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
          return on_status(replies.error());
        }
        const TimePoint connected_at = (*shared)->opened_at;
        context.pool.Release(std::move(*shared));
        on_status((*self)->ReadAnswer(replies.value().front(), connected_at));
      });
}

Result<InstanceAnswer> InstanceStatus::ReadAnswer(
    const BackendReply& reply,
    TimePoint connected_at) const {
  if (reply.code != ReplyCode::kDone)
    return Failure(ErrorCode::kExhausted, kStep, "",
                   std::string(ToString(reply.code)));
  TRY(const ReplicationStatus status, m_read_status(reply));
  return InstanceAnswer{status, connected_at};
}

}  // namespace jackdawturn::gateway
