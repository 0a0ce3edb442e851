#pragma once

#include <map>
#include <memory>
#include <optional>
#include <vector>

#include "proxy/fleet_host.h"
#include "proxy/group_host.h"
#include "proxy/operator_host.h"
#include "proxy/proxy_context.h"
#include "proxy/proxy_events.h"
#include "proxy/proxy_options.h"
#include "proxy/relay_host.h"
#include "proxy/request_host.h"
#include "proxy/retention_host.h"
#include "proxy/routing_host.h"

namespace jackdawturn::proxy {

// Makes the decisions of one proxy: takes events from the ports and the time,
// and returns effects for the ports. It connects the decision libraries, which
// implement the rules. Thread safety: not thread-safe; owned by the decision
// thread.
class ProxyMachine {
 public:
  // Errors: kInvalidArgument for keys that are missing or too short.
  static Result<std::unique_ptr<ProxyMachine>> Create(ProxyOptions options);
  ProxyMachine(const ProxyMachine&) = delete;
  ProxyMachine& operator=(const ProxyMachine&) = delete;

  // Must be called once, before any event.
  std::vector<Effect> Start(TimePoint now);
  // Handles an event. Precondition: `now` never decreases.
  std::vector<Effect> Handle(const Event& event, TimePoint now);
  // Returns when TimePassed is due; empty if no timer is pending.
  std::optional<TimePoint> NextWakeup() const;

 private:
  explicit ProxyMachine(ProxyOptions options);
  Result<void> CreateParts();

  void On(const CallerRequestReceived& event) { m_relay->On(event); }
  void On(const RelayArrived& event) { m_relay->On(event); }
  void On(const RelayEnded& event) { m_relay->On(event); }
  void On(const CallerDisconnected& event) { m_requests->On(event); }
  void On(const BackendOpened& event) { m_routing->On(event); }
  void On(const BackendLost& event) { m_routing->On(event); }
  void On(const BackendAnswered& event) { m_context.Answered(event); }
  void On(const PlatformAnswered& event) { m_context.Answered(event); }
  void On(const DatagramArrived& event) { m_fleet->On(event); }
  void On(const OperatorRequestReceived& event);
  void On(const TimePassed& event);

  GroupHost::Hooks GroupHooks();
  RoutingHost::Hooks RoutingHooks();
  RequestHost::Hooks RequestHooks();
  RelayHost::Hooks RelayHooks();
  FleetHost::Hooks FleetHooks();

  void GroupChanged(const GroupName& group);
  void VersionInForce(const targets::SpreadObject& object);
  void ApplyTargets(const targets::SpreadObject& object);
  void UpdateReady();
  void ApplyDrainEffects(const std::vector<fleet::DrainEffect>& effects);
  void ReportWork();
  void ReportConnectionCount();

  const ProxyOptions m_options;
  ProxyContext m_context;
  std::unique_ptr<GroupHost> m_groups;
  std::unique_ptr<RoutingHost> m_routing;
  std::unique_ptr<FleetHost> m_fleet;
  std::unique_ptr<RequestHost> m_requests;
  std::unique_ptr<RelayHost> m_relay;
  std::unique_ptr<OperatorHost> m_operators;
  std::unique_ptr<RetentionHost> m_retention;
  fleet::DrainMachine m_drain;
  std::optional<targets::Targets> m_targets;
  std::map<ClassName, ClassTargetPtr> m_classes;
  bool m_ready = false;
  bool m_work_changed = false;
  // Number of open connections last reported to the drain.
  size_t m_reported_connections = 0;
};

}  // namespace jackdawturn::proxy
