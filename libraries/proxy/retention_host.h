#pragma once

#include <functional>
#include <optional>
#include <vector>

#include "proxy/group_host.h"
#include "proxy/proxy_context.h"
#include "requests/requests.h"

namespace jackdawturn::proxy {

// Joins the RetentionMachine to the ports. Of all holders of a group, the first
// one in the zone of the primary purges it: a proxy knows the order of the
// holders of its own zone only. Thread safety: not thread-safe; owned by the
// decision thread.
class RetentionHost {
 public:
  using FirstHolder = std::function<bool(const GroupName& group)>;

  RetentionHost(ProxyContext& context,
                const ProxyOptions& options,
                const GroupHost& groups,
                FirstHolder first_holder);

  // Call it once, before OnTime.
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
