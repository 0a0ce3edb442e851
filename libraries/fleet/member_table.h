#pragma once

#include <cstdint>
#include <map>
#include <random>
#include <vector>

#include "core/core.h"
#include "fleet/member.h"

namespace jackdawturn::fleet {

// The members of one zone, the contacts in other zones, and recently removed
// members. Its size depends on the size of the zone and on the number of zones,
// not on the size of the fleet.
// Thread safety: not thread-safe.
class MemberTable {
 public:
  MemberTable(NodeInfo self, size_t contacts_per_zone)
      : m_self(std::move(self)), m_contacts_per_zone(contacts_per_zone) {}

  // A member and the time at which the statement about it was stored.
  struct Entry {
    Member member;
    TimePoint changed;
  };

  bool InZone(const NodeInfo& node) const { return node.zone == m_self.zone; }
  // Returns nullptr for an unknown VM. Valid until the next change.
  const Entry* Find(const VmName& vm) const;
  // Replaces the entry of the VM.
  void Store(const Member& member, TimePoint now);
  // Removes an unresponsive contact without storing a statement about it. It is
  // kept in the list of lost contacts, so that it can be probed again.
  void LoseContact(const VmName& vm, TimePoint now);
  // Erases the entry of a VM in another zone that is not a contact.
  void Forget(const VmName& vm) { m_entries.erase(vm); }
  // Replaces a contact by another member of its zone.
  void ReplaceContact(const VmName& old, const Member& member, TimePoint now);
  // True for a lost contact unless `incarnation` is newer than the one at which
  // it was lost.
  bool IsLost(const VmName& vm, uint64_t incarnation) const {
    const auto found = m_lost_contacts.find(vm);
    return found != m_lost_contacts.end() &&
           found->second.member.incarnation >= incarnation;
  }
  // True when contacts of this zone were lost and none is present.
  bool LostAllOf(const ZoneName& zone) const;
  // True when another contact of this zone can be added.
  bool WantsContact(const ZoneName& zone) const;

  // Returns the present members of the local zone, ordered by name.
  std::vector<Member> ZoneMembers() const;
  // Returns the present contacts in other zones, ordered by name.
  std::vector<Member> Contacts() const;
  // Returns the members of the local zone that were removed by suspicion, and
  // the lost contacts of zones with fewer contacts than configured.
  std::vector<Member> UnreachablePeers() const;
  size_t zone_size() const { return m_zone_size; }
  size_t contact_count() const { return m_contact_count; }
  // Returns the number of members and contacts that became unresponsive after
  // `since`.
  size_t LostSince(TimePoint since) const;
  // A hash of the present members of the local zone and their incarnations.
  uint64_t zone_hash() const { return m_zone_hash; }
  // Returns the contribution of a member to zone_hash().
  static uint64_t HashOf(const Member& member);

  // Erases members that were removed before `before`, and the oldest removed
  // members above kMaxRemoved.
  void ExpireRemoved(TimePoint before);

  // Returns up to `count` zone members with names after `after`, ordered by
  // name, including removed ones.
  std::vector<Member> Page(const VmName& after, size_t count) const;
  // Return up to `count` present members of the local zone, or contacts,
  // excluding `except`, in random order.
  std::vector<Member> SampleZone(size_t count,
                                 const VmName& except,
                                 std::mt19937_64& random) const;
  std::vector<Member> SampleContacts(size_t count,
                                     const VmName& except,
                                     std::mt19937_64& random) const;

  size_t StateBytes() const;

 private:
  // Maximum number of removed members that are retained. It exceeds the size of
  // a zone in docs/design.md, so that a zone that was partitioned can merge
  // again.
  static constexpr size_t kMaxRemoved = 512;

  void Count(const Member& member, bool added);
  std::vector<Member> Sample(size_t count,
                             const VmName& except,
                             bool in_zone,
                             std::mt19937_64& random) const;

  NodeInfo m_self;
  size_t m_contacts_per_zone;
  std::map<VmName, Entry> m_entries;
  std::map<VmName, Entry> m_lost_contacts;
  std::map<ZoneName, size_t> m_contacts_of_zone;
  size_t m_zone_size = 0;
  size_t m_contact_count = 0;
  uint64_t m_zone_hash = 0;
};

// Statements that have yet to be gossiped, each a bounded number of times.
// Thread safety: not thread-safe.
class RumorQueue {
 public:
  // Queues a statement; replaces an older one about the same VM. Removals
  // decided by the local zone are also sent to other zones.
  void Add(const Member& member, bool from_local_zone);
  // Takes statements that together fit into `space` bytes, least often sent
  // ones first. A statement is dropped after `limit` transmissions within the
  // zone.
  std::vector<Member> Take(size_t space, size_t limit, bool same_zone);
  bool empty() const { return m_rumors.empty(); }
  void Clear() { m_rumors.clear(); }
  // True while a statement has yet to be sent within the zone.
  bool HasZoneRumor(size_t limit) const;
  size_t StateBytes() const;

 private:
  static constexpr size_t kMaxRumors = 512;
  // Transmissions of a statement to other zones by each proxy.
  static constexpr size_t kForeignLimit = 4;

  struct Rumor {
    Member member;
    bool foreign_too = false;
    size_t sent = 0;
    size_t sent_foreign = 0;
  };
  std::vector<Rumor> m_rumors;
};

}  // namespace jackdawturn::fleet
