#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "failover/failover.h"
#include "fleet/fleet.h"
#include "proxy/proxy_context.h"
#include "targets/targets.h"

namespace jackdawturn::proxy {

// Connects membership, the division of connections among proxies and the
// distribution of object versions to the ports. Thread safety: not thread-safe;
// owned by the decision thread.
class FleetHost {
 public:
  struct Hooks {
    // A newer version of an object of the store took effect.
    std::function<void(const targets::SpreadObject& object)> on_version;
    // A message for the GroupHost arrived.
    std::function<void(const VmName& from, const std::string& bytes)>
        on_group_message;
    std::function<void(const std::vector<failover::FailoverPeer>& peers)>
        on_peers;
    std::function<void(const InstanceName& instance)> on_instance_leaving;
    // The connections that this proxy may open to an instance changed.
    std::function<void(const InstanceName& instance)> on_connection_allowance;
    std::function<void()> on_caught_up;
    std::function<void(const targets::SurveyResult& result)> on_survey;
  };

  static Result<std::unique_ptr<FleetHost>> Create(ProxyContext& context,
                                                   const ProxyOptions& options,
                                                   Hooks hooks);

  void Start();
  void On(const DatagramArrived& event);
  void OnTime();
  std::optional<TimePoint> NextWakeup() const;

  void SendGroupMessage(const VmName& to, std::string bytes);
  // Distributes an object that this proxy stored or read.
  void LocalObjectUpdate(const targets::SpreadObject& object);
  void Survey(const targets::SpreadEvent& event);
  void AnnounceLeaving();
  // Closes all connections as they become idle. Until this call a leaving proxy
  // keeps its connections, even if peers request them, because it still
  // serves requests.
  void CloseAllConnections();
  // Returns the number of open connections to all instances.
  size_t open_connections() const { return m_open; }
  void AnnounceLeft();

  // Returns how many connections this proxy may have open to the instance.
  size_t ConnectionAllowance(const InstanceName& instance) const;
  // Returns whether another proxy must serve the group; false for an unknown
  // group.
  bool MustRelay(const GroupName& group) const;
  // See GroupOwnership::SelectNextHop.
  Result<fleet::NextHop> SelectNextHop(const GroupName& group,
                                       uint64_t spread) const;
  void HolderLearned(const GroupName& group, const VmName& holder);
  // Returns "IP:PORT" of the relay of a present zone member or contact.
  std::optional<std::string> RelayAddress(const VmName& vm) const;
  // Queues a result of the connection pool (ConnectionOpened, OpenRefused,
  // OpenFailed or ConnectionClosed) until HandleConnections, because the pool
  // is not reentrant while it reports.
  void ConnectionChanged(fleet::OwnershipEvent event);
  // Passes the queued results to the ownership. Must be called after every
  // event.
  void HandleConnections();
  // Returns whether this proxy is the first holder of the group in its zone, in
  // rendezvous order.
  bool FirstHolder(const GroupName& group) const;

  bool caught_up() const { return m_spread.ready(); }
  std::optional<Duration> age() const;
  const targets::VersionTable& versions() const { return m_spread.table(); }
  fleet::FleetView view() const { return m_members.view(m_context.now()); }
  const std::vector<failover::FailoverPeer>& peers() const { return m_peers; }

 private:
  FleetHost(ProxyContext& context,
            const ProxyOptions& options,
            fleet::DatagramCodec codec,
            Hooks hooks);

  void HandleMembershipEvent(const fleet::MembershipEvent& event);
  void ApplyMembershipEffects(
      const std::vector<fleet::MembershipEffect>& effects);
  void OnPayload(const fleet::PayloadReceived& payload);
  void MembersChanged();
  void ApplySpreadEffects(const std::vector<targets::SpreadEffect>& effects);
  void ApplyOwnershipEffects(
      const std::vector<fleet::OwnershipEffect>& effects);
  void AddPendingOpens(const fleet::OpenConnections& open);
  void HandleConnection(const fleet::OwnershipEvent& event);
  void FailOverdueOpens();
  void CheckView();
  fleet::OwnershipView OwnershipViewOf(const fleet::FleetView& view);
  void WatchPrefix(const targets::StartWatch& watch);
  void SendPayload(const VmName& to, uint8_t channel, std::string bytes);
  void PollVms();
  void VmsListed(const std::vector<ListedVm>& vms);
  void BroadcastLeaving(const std::set<std::string>& names);

  ProxyContext& m_context;
  const ProxyOptions& m_options;
  Hooks m_hooks;
  fleet::MembershipMachine m_members;
  targets::VersionSpread m_spread;
  fleet::GroupOwnership m_ownership;
  std::vector<failover::FailoverPeer> m_peers;
  // Relay addresses of present members.
  std::map<VmName, std::string> m_addresses;
  // Opens and closes that the ownership requested from the pool of an instance.
  struct Pool {
    // Pending opens, and when their number last changed.
    size_t opening = 0;
    TimePoint opening_since;
    // Open connections that are to be closed as they become idle.
    size_t closing = 0;
    // Connections that the pool opened after the ownership had withdrawn the
    // grant; the pool closes them.
    size_t ungranted = 0;
  };
  std::map<InstanceName, Pool> m_pools;
  std::vector<fleet::OwnershipEvent> m_connection_events;
  // The part of the view that was last passed to the ownership.
  std::vector<VmName> m_dead_members;
  bool m_may_open_connections = false;
  TimePoint m_next_view_check;
  std::set<std::string> m_leaving;
  TimePoint m_next_poll;
  TimePoint m_next_leaving_broadcast;
  bool m_polling = false;
  size_t m_open = 0;
  bool m_announced_leaving = false;
  bool m_closing_all = false;
  bool m_left = false;
};

}  // namespace jackdawturn::proxy
