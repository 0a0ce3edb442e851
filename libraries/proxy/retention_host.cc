#include "proxy/retention_host.h"

#include <utility>

namespace jackdawturn::proxy {

RetentionHost::RetentionHost(ProxyContext& context,
                             const ProxyOptions& options,
                             const GroupHost& groups,
                             FirstHolder first_holder)
    : m_context(context),
      m_options(options),
      m_groups(groups),
      m_first_holder(std::move(first_holder)),
      m_machine(options.retention,
                {[this](const GroupName& group) { return TargetOf(group); }}) {}

void RetentionHost::Start() {
  for (const ServedGroup& group : m_options.groups)
    m_machine.AddGroup(group.name, m_context.now());
}

void RetentionHost::OnTime() {
  Send(m_machine.OnTime(m_context.now(), wall_time()));
}

WallTime RetentionHost::wall_time() const {
  return std::chrono::floor<std::chrono::milliseconds>(m_context.wall_clock());
}

std::optional<requests::SendPurge> RetentionHost::TargetOf(
    const GroupName& group) const {
  const GroupRecord* record = m_groups.Record(group);
  const ServedGroup* served = m_groups.Served(group);
  if (record == nullptr || served == nullptr ||
      record->phase != GroupPhase::kSteady || !m_first_holder(group))
    return std::nullopt;
  for (const ServedInstance& instance : served->instances) {
    if (instance.name != record->primary || instance.zone != m_options.zone)
      continue;
    requests::SendPurge send;
    send.primary = record->primary;
    send.term = record->term;
    return send;
  }
  return std::nullopt;
}

void RetentionHost::Send(const std::vector<requests::SendPurge>& sends) {
  for (const requests::SendPurge& send : sends) {
    m_context.Call(
        send.primary, std::nullopt,
        PurgeCall{send.term, send.low_water, send.limit},
        m_options.max_request_timeout,
        [this, group = send.group](const Result<BackendResponse>& result) {
          Send(m_machine.OnAnswer(
              group,
              result
                  ? Result<PurgeResult>(std::get<PurgeResult>(result.value()))
                  : Result<PurgeResult>(result.error()),
              m_context.now(), wall_time()));
        });
  }
}

}  // namespace jackdawturn::proxy
