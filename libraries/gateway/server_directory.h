#pragma once

#include <map>
#include <optional>
#include <set>
#include <vector>

#include "gateway/gateway_types.h"

namespace jackdawturn::gateway {

// The instances that the store lists, and which of them is primary of each
// group.
// Thread safety: not thread-safe.
class ServerDirectory {
 public:
  // Running instances whose entries expired during an outage of the store are
  // listed again within this time after it, including a margin for the delay of
  // the watch.
  static constexpr Duration kUnlistedGracePeriod =
      std::chrono::milliseconds(2'600);

  // Adds the instance or updates its entry from the store; ignores an entry
  // older than the present one.
  void Update(const BackendServer& server);

  // Called when the store no longer lists the instance. Unless it was
  // leaving, it is kept for kUnlistedGracePeriod: its entry may have expired
  // because of an outage of the store that this proxy did not notice.
  void Remove(const InstanceName& id, TimePoint now);

  // How often an unlisted replica is checked, see TakeOverdue().
  static constexpr Duration kUnlistedCheckInterval = std::chrono::seconds(1);

  // Returns the instances whose grace period has elapsed and that are due for a
  // check whether they still run. They serve no statements any more, but a
  // replica that is only cut off from the store may still receive commits, so
  // it remains a member of its group until Forget(). Precondition: the store is
  // reachable; otherwise an instance that is listed again would go unobserved.
  std::vector<BackendServer> TakeOverdue(TimePoint now);

  // Removes an instance that TakeOverdue() has returned, unless it was listed
  // again. Returns whether it was removed.
  bool Forget(const BackendServer& server);

  // Called when the instance reported that it is not primary; this takes
  // precedence over its role in the store.
  void MarkDemoted(const InstanceName& id);
  // Called when the platform has promoted the instance to primary of the group.
  void MarkPromoted(const GroupName& group, const InstanceName& id);

  // Returns the group's primary as far as this proxy has observed, or null.
  const BackendServer* Primary(const GroupName& group) const;
  // Returns the instances of the group that are neither leaving nor overdue,
  // including the primary.
  std::vector<const BackendServer*> NonDraining(const GroupName& group) const;
  // Returns all instances of the group, including those that are leaving and
  // those that are overdue.
  std::vector<const BackendServer*> All(const GroupName& group) const;
  const BackendServer* Find(const InstanceName& id) const;
  // Returns the ids of all instances.
  std::set<InstanceName> AllInstanceIds() const;
  // Returns the instances of all groups in other availability zones.
  std::vector<InstanceName> OutsideZone(const ZoneName& zone) const;

 private:
  struct Entry {
    BackendServer server;
    // Revision at which the instance was first observed in its present role.
    uint64_t role_revision = 0;
    bool demoted = false;
    // Since when the store has not listed the instance.
    std::optional<TimePoint> unlisted_since;
    // When an instance whose grace period has elapsed is checked next.
    std::optional<TimePoint> next_check;
  };

  static bool Overdue(const Entry& entry) {
    return entry.next_check.has_value();
  }

  std::map<InstanceName, Entry> m_entries;
  std::map<GroupName, InstanceName> m_promoted;
};

}  // namespace jackdawturn::gateway
