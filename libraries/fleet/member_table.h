#pragma once

#include <cstdint>
#include <map>
#include <random>
#include <vector>

#include "core/core.h"
#include "fleet/member.h"

namespace jackdawturn::fleet {

// The members of one zone, the contacts of other zones, and the members that
// were removed lately. Its size depends on the size of the zone and on the
// number of zones, not on the size of the fleet.
// Thread safety: not thread-safe.
class MemberTable {
 public:
  MemberTable(NodeInfo self, size_t contacts_per_zone)
      : m_self(std::move(self)), m_contacts_per_zone(contacts_per_zone) {}

  // A member and when the statement about it was stored.
  struct Entry {
    Member member;
    TimePoint changed;
  };

  bool InZone(const NodeInfo& node) const { return node.zone == m_self.zone; }
  // Returns nullptr for an unknown VM. Valid until the next change.
  const Entry* Find(const VmName& vm) const;
  // Replaces what is known of the VM.
  void Store(const Member& member, TimePoint now);
  // Drops a contact that does not answer, without a statement about it. It is
  // kept apart as lost, so that it can be asked again.
  void LoseContact(const VmName& vm, TimePoint now);
  // Drops what is known of a VM of another zone that is no contact.
  void Forget(const VmName& vm) { m_entries.erase(vm); }
  // Exchanges a contact for another member of its zone.
  void ReplaceContact(const VmName& old, const Member& member, TimePoint now);
  // True for a contact that did not answer, as far as a statement with this
  // incarnation can tell.
  bool IsLost(const VmName& vm, uint64_t incarnation) const {
    const auto found = m_lost_contacts.find(vm);
    return found != m_lost_contacts.end() &&
           found->second.member.incarnation >= incarnation;
  }
  // True when contacts of this zone were lost and none is present.
  bool LostAllOf(const ZoneName& zone) const;
  // True when a contact of this zone can still be taken in.
  bool WantsContact(const ZoneName& zone) const;

  // Present members of the own zone, in order of names.
  std::vector<Member> ZoneMembers() const;
  // Present contacts of other zones, in order of names.
  std::vector<Member> Contacts() const;
  // Members of the own zone that were removed by suspicion, and lost contacts
  // of zones that want one.
  std::vector<Member> UnreachablePeers() const;
  size_t zone_size() const { return m_zone_size; }
  size_t contact_count() const { return m_contact_count; }
  // Members and contacts that stopped answering after `since`.
  size_t LostSince(TimePoint since) const;
  // A hash of the present members of the own zone and their incarnations.
  uint64_t zone_hash() const { return m_zone_hash; }
  // The part of a member in zone_hash().
  static uint64_t HashOf(const Member& member);

  // Forgets members that were removed before `before`, and the oldest removed
  // ones above the limit.
  void ExpireRemoved(TimePoint before);

  // Up to `count` zone members with names after `after`, in order of names,
  // removed ones included.
  std::vector<Member> Page(const VmName& after, size_t count) const;
  // Up to `count` present members of the own zone, or contacts, without
  // `except`, in random order.
  std::vector<Member> SampleZone(size_t count,
                                 const VmName& except,
                                 std::mt19937_64& random) const;
  std::vector<Member> SampleContacts(size_t count,
                                     const VmName& except,
                                     std::mt19937_64& random) const;

  size_t StateBytes() const;

 private:
  // Removed members that are remembered at most; larger than a zone at the
  // size of docs/design.md, so that a zone that was split finds itself again.
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

// Statements that are still to be passed on, each a bounded number of times.
// Thread safety: not thread-safe.
class RumorQueue {
 public:
  // Queues a statement; replaces an older one about the same VM. Statements of
  // removal by the own zone also go to other zones.
  void Add(const Member& member, bool own_zone);
  // Takes statements that together fit into `space` bytes, those that were
  // sent least first. A statement is dropped after `limit` transmissions
  // within the zone.
  std::vector<Member> Take(size_t space, size_t limit, bool same_zone);
  bool empty() const { return m_rumors.empty(); }
  void Clear() { m_rumors.clear(); }
  // True while a statement is still to be sent within the zone.
  bool HasZoneRumor(size_t limit) const;
  size_t StateBytes() const;

 private:
  static constexpr size_t kMaxRumors = 512;
  // Transmissions to other zones by each proxy.
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
