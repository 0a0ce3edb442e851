#pragma once

#include <map>
#include <optional>
#include <set>
#include <vector>

#include "gateway/gateway_types.h"

namespace jackdawturn::gateway {

// The instances that the registry lists, and which of them leads each group.
// Thread safety: not thread-safe.
class ServerDirectory {
 public:
  // Lapsed entries of living instances are back within this time after the
  // store's return, with a little more for the way through the watch.
  static constexpr Duration kUnlistedGracePeriod =
      std::chrono::milliseconds(2'600);

  // The registry describes an instance anew.
  void Update(const BackendServer& server);

  // The registry no longer lists the instance. Unless it was leaving, it is
  // kept for kUnlistedGracePeriod: its entry may have lapsed because of an
  // outage of the store that this proxy did not notice.
  void Remove(const InstanceName& id, TimePoint now);

  // Removes instances whose time for a return has passed, and returns them.
  // Precondition: the store is in contact, so that a return would be seen.
  std::vector<BackendServer> Expire(TimePoint now);

  // The instance said that it does not lead, whatever the registry says.
  void MarkDemoted(const InstanceName& id);
  // The platform accepted the instance as the group's primary.
  void MarkPromoted(const GroupName& group, const InstanceName& id);

  // Returns the instance that leads the group as far as is known, or nothing.
  const BackendServer* Primary(const GroupName& group) const;
  // Returns the instances of the group that are not leaving, primary included.
  std::vector<const BackendServer*> NonDraining(const GroupName& group) const;
  // Returns all instances of the group, also those that leave.
  std::vector<const BackendServer*> All(const GroupName& group) const;
  const BackendServer* Find(const InstanceName& id) const;
  // Returns the ids of all instances.
  std::set<InstanceName> AllInstanceIds() const;
  // Returns the instances of all groups in other availability zones.
  std::vector<InstanceName> OutsideZone(const ZoneName& zone) const;

 private:
  struct Entry {
    BackendServer server;
    // Revision at which the entry was first seen to claim its present role.
    uint64_t role_since = 0;
    bool demoted = false;
    // When the registry no longer listed the instance.
    std::optional<TimePoint> lapsed_at;
  };

  std::map<InstanceName, Entry> m_entries;
  std::map<GroupName, InstanceName> m_promoted;
};

}  // namespace jackdawturn::gateway
