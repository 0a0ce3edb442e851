#pragma once

#include <map>
#include <memory>
#include <optional>
#include <string>

#include "proxy/fleet_host.h"
#include "proxy/group_host.h"
#include "proxy/proxy_context.h"
#include "proxy/routing_host.h"
#include "targets/targets.h"

namespace jackdawturn::proxy {

// Answers operator requests for status, targets and switchovers. Thread safety:
// not thread-safe; owned by the decision thread.
class OperatorHost {
 public:
  OperatorHost(ProxyContext& context,
               const ProxyOptions& options,
               GroupHost& groups,
               FleetHost& fleet,
               RoutingHost& routing);

  // Precondition: the action is not kDrain, which the ProxyMachine handles.
  void On(const OperatorRequestReceived& event);
  // Sets the targets in force; nullptr if none have been received.
  void TargetsChanged(const targets::Targets* in_force) {
    m_in_force = in_force;
  }
  void On(const targets::SurveyResult& result);
  void OnTime();
  std::optional<TimePoint> NextWakeup() const;

 private:
  // An operator's change of the targets whose request is still open.
  struct Edit {
    targets::TargetsEditor editor;
    OperatorRequestReceived received;
    // Set while the answer waits for the other proxies.
    std::optional<TimePoint> wait_until;
    ObjectVersion version;
    std::optional<targets::SurveyResult> last_survey;
  };

  void Status(const OperatorRequestReceived& event);
  void GetTargets(const OperatorRequestReceived& event);
  void Change(const OperatorRequestReceived& event);
  void StartEdit(const OperatorRequestReceived& event);
  void Edited(OperatorRequestNumber call,
              const std::vector<targets::EditorEffect>& effects);
  void Finished(OperatorRequestNumber call,
                const targets::EditFinished& result);
  void EndWait(OperatorRequestNumber call, bool complete);
  void Answer(OperatorRequestNumber call, unsigned status, std::string body);

  ProxyContext& m_context;
  const ProxyOptions& m_options;
  GroupHost& m_groups;
  FleetHost& m_fleet;
  RoutingHost& m_routing;
  const targets::Targets* m_in_force = nullptr;
  std::map<OperatorRequestNumber, Edit> m_edits;
};

}  // namespace jackdawturn::proxy
