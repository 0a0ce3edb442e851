#pragma once

#include <functional>
#include <optional>
#include <vector>

#include "proxy/group_host.h"
#include "proxy/proxy_context.h"
#include "requests/requests.h"

namespace jackdawturn::proxy {

// Connects the RetentionMachine to the ports. The first holder of a group in
// the zone of its primary purges the group, because a proxy can determine the
// order of the holders of its own zone only. Thread safety: not thread-safe;
// owned by the decision thread.
class RetentionHost {
 public:
  using FirstHolder = std::function<bool(const GroupName& group)>;

  RetentionHost(ProxyContext& context,
                const ProxyOptions& options,
                const GroupHost& groups,
                FirstHolder first_holder);

  // Must be called once, before OnTime.
  void Start();
  void OnTime();
  std::optional<TimePoint> NextWakeup() const { return m_machine.NextWakeup(); }

 private:
  std::optional<requests::SendPurge> TargetOf(const GroupName& group) const;
  void Send(const std::vector<requests::SendPurge>& sends);
  WallTime wall_time() const;

  ProxyContext& m_context;
  const ProxyOptions& m_options;
  const GroupHost& m_groups;
  const FirstHolder m_first_holder;
  requests::RetentionMachine m_machine;
};

}  // namespace jackdawturn::proxy
