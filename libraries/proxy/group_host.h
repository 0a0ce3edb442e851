#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "failover/failover.h"
#include "proxy/proxy_context.h"

namespace jackdawturn::proxy {

// Connects the FailoverMachine of each group to the ports, and keeps the newest
// record of each group. Thread safety: not thread-safe; owned by the decision
// thread.
class GroupHost {
 public:
  struct Hooks {
    // The record, a hold or the readability of an instance changed.
    std::function<void(const GroupName& group)> on_changed;
    // Sends bytes to the GroupHost of another proxy.
    std::function<void(const VmName& to, std::string bytes)> send;
    // Distributes a record to the other proxies.
    std::function<void(const std::string& key,
                       const failover::VersionedRecord& record)>
        announce;
  };

  GroupHost(ProxyContext& context, const ProxyOptions& options, Hooks hooks);

  // Creates the machines. Must be called once, before any event.
  void Start();

  void RecordSeen(const std::string& value, ObjectVersion version);
  void PeersChanged(const std::vector<failover::FailoverPeer>& peers);
  void MessageArrived(const VmName& from, const std::string& bytes);
  void InstanceLeaving(const InstanceName& instance);
  void RecordCallOutcome(const GroupName& group,
                         const InstanceName& instance,
                         const Result<InstanceReport>& result,
                         Duration round_trip);
  // Reads the record from the store, at most one call at a time.
  void Refresh(const GroupName& group);

  using OnChangeEnded = std::function<void(const std::optional<Error>& error)>;
  // Requests a switchover. Errors: kNotFound is returned; all others are passed
  // to `on_ended`.
  Result<void> RequestChange(const GroupName& group,
                             const AttemptId& change,
                             Term expected_term,
                             OnChangeEnded on_ended);

  void OnTime();
  std::optional<TimePoint> NextWakeup() const;

  bool Knows(const GroupName& group) const {
    return m_groups.count(group) != 0;
  }
  // Returns the newest record, or nullptr if none has been received.
  const GroupRecord* Record(const GroupName& group) const;
  // Returns the newest steady record, which names the current primary, or
  // nullptr if none has been received.
  const GroupRecord* Steady(const GroupName& group) const;
  // True while new writes wait for a switchover.
  bool HoldsWrites(const GroupName& group) const;
  bool Readable(const GroupName& group, const InstanceName& instance) const;
  bool Leaving(const InstanceName& instance) const {
    return m_leaving.count(instance) != 0;
  }
  const ServedGroup* Served(const GroupName& group) const;
  std::vector<GroupName> names() const;
  failover::FailoverStatus Status(const GroupName& group) const;

 private:
  struct Group {
    ServedGroup served;
    std::unique_ptr<failover::FailoverMachine> machine;
    std::optional<failover::VersionedRecord> record;
    std::optional<GroupRecord> steady;
    std::optional<TimePoint> held_until;
    std::set<InstanceName> unreadable;
    bool refreshing = false;
    std::map<AttemptId, OnChangeEnded> changes;
  };

  void Feed(Group& group, const failover::FailoverEvent& event);
  void Do(Group& group, const failover::FailoverEffect& effect);
  void Probe(Group& group, const failover::failover_effect::SendProbe& probe);
  void CallInstance(Group& group,
                    failover::FailoverCallId call,
                    const InstanceName& instance,
                    BackendRequest request,
                    Duration timeout);
  void Update(Group& group,
              const failover::failover_effect::UpdateRecord& update);
  void Read(Group& group, const failover::failover_effect::ReadRecord& read);
  void RecordEntry(const Group& group,
                   const failover::failover_effect::TimelineEntry& entry);

  ProxyContext& m_context;
  const ProxyOptions& m_options;
  Hooks m_hooks;
  std::map<GroupName, Group> m_groups;
  std::map<InstanceName, GroupName> m_group_of;
  std::set<InstanceName> m_leaving;
  std::vector<failover::FailoverPeer> m_peers;
};

}  // namespace jackdawturn::proxy
