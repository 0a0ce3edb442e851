#include "fleet/member_table.h"

#include <algorithm>
#include <numeric>
#include <utility>

#include "fleet/datagram.h"

namespace jackdawturn::fleet {

namespace {

// Size of a std::map node header in common implementations.
constexpr size_t kMapNodeOverhead = 40;

size_t HeapBytes(const std::string& text) {
  constexpr size_t kSmallStringSize = 15;
  return text.size() > kSmallStringSize ? text.size() + 1 : 0;
}

size_t HeapBytes(const Member& member) {
  return HeapBytes(member.node.vm.value()) +
         HeapBytes(member.node.zone.value()) +
         HeapBytes(member.node.address.value());
}

bool WasLost(const Member& member) {
  return member.state == MemberState::kDead;
}

}  // namespace

uint64_t MemberTable::HashOf(const Member& member) {
  return Hash64(member.node.vm.value(),
                member.incarnation * 2 + (member.leaving ? 1 : 0));
}

const MemberTable::Entry* MemberTable::Find(const VmName& vm) const {
  const auto found = m_entries.find(vm);
  return found == m_entries.end() ? nullptr : &found->second;
}

void MemberTable::Count(const Member& member, bool added) {
  if (!IsPresent(member))
    return;
  const size_t step = added ? 1 : static_cast<size_t>(-1);
  if (InZone(member.node)) {
    m_zone_size += step;
    m_zone_hash ^= HashOf(member);
  } else {
    m_contact_count += step;
    m_contacts_of_zone[member.node.zone] += step;
  }
}

void MemberTable::Store(const Member& member, TimePoint now) {
  const auto found = m_entries.find(member.node.vm);
  if (found != m_entries.end())
    Count(found->second.member, false);
  m_entries[member.node.vm] = Entry{member, now};
  m_lost_contacts.erase(member.node.vm);
  Count(member, true);
}

void MemberTable::LoseContact(const VmName& vm, TimePoint now) {
  const auto found = m_entries.find(vm);
  if (found == m_entries.end())
    return;
  Count(found->second.member, false);
  m_lost_contacts[vm] = Entry{found->second.member, now};
  m_entries.erase(found);
}

void MemberTable::ReplaceContact(const VmName& old,
                                 const Member& member,
                                 TimePoint now) {
  const auto found = m_entries.find(old);
  VERIFY(found != m_entries.end());
  Count(found->second.member, false);
  m_entries.erase(found);
  Store(member, now);
}

bool MemberTable::WantsContact(const ZoneName& zone) const {
  const auto found = m_contacts_of_zone.find(zone);
  return zone != m_self.zone && (found == m_contacts_of_zone.end() ||
                                 found->second < m_contacts_per_zone);
}

bool MemberTable::LostAllOf(const ZoneName& zone) const {
  const auto present = m_contacts_of_zone.find(zone);
  if (present != m_contacts_of_zone.end() && present->second > 0)
    return false;
  return std::any_of(m_lost_contacts.begin(), m_lost_contacts.end(),
                     [&zone](const auto& item) {
                       return item.second.member.node.zone == zone;
                     });
}

std::vector<Member> MemberTable::ZoneMembers() const {
  std::vector<Member> members;
  for (const auto& [vm, entry] : m_entries) {
    if (IsPresent(entry.member) && InZone(entry.member.node))
      members.push_back(entry.member);
  }
  return members;
}

std::vector<Member> MemberTable::Contacts() const {
  std::vector<Member> members;
  for (const auto& [vm, entry] : m_entries) {
    if (IsPresent(entry.member) && !InZone(entry.member.node))
      members.push_back(entry.member);
  }
  return members;
}

std::vector<Member> MemberTable::UnreachablePeers() const {
  std::vector<Member> members;
  for (const auto& [vm, entry] : m_entries) {
    if (WasLost(entry.member) && InZone(entry.member.node))
      members.push_back(entry.member);
  }
  for (const auto& [vm, entry] : m_lost_contacts) {
    if (WantsContact(entry.member.node.zone))
      members.push_back(entry.member);
  }
  return members;
}

size_t MemberTable::LostSince(TimePoint since) const {
  size_t count = 0;
  for (const auto& [vm, entry] : m_entries)
    count += WasLost(entry.member) && entry.changed > since &&
                     InZone(entry.member.node)
                 ? 1
                 : 0;
  for (const auto& [vm, entry] : m_lost_contacts)
    count += entry.changed > since ? 1 : 0;
  return count;
}

void MemberTable::ExpireRemoved(TimePoint before) {
  std::vector<std::pair<TimePoint, VmName>> removed;
  for (const auto& [vm, entry] : m_entries) {
    if (!IsPresent(entry.member))
      removed.emplace_back(entry.changed, vm);
  }
  std::sort(removed.begin(), removed.end());
  for (size_t index = 0; index < removed.size(); ++index) {
    const bool too_many = removed.size() - index > kMaxRemoved;
    if (removed[index].first < before || too_many)
      m_entries.erase(removed[index].second);
  }
  std::erase_if(m_lost_contacts, [before](const auto& item) {
    return item.second.changed < before;
  });
}

std::vector<Member> MemberTable::Page(const VmName& after, size_t count) const {
  std::vector<Member> members;
  for (auto item = m_entries.upper_bound(after);
       item != m_entries.end() && members.size() < count; ++item) {
    if (InZone(item->second.member.node))
      members.push_back(item->second.member);
  }
  return members;
}

std::vector<Member> MemberTable::Sample(size_t count,
                                        const VmName& except,
                                        bool in_zone,
                                        std::mt19937_64& random) const {
  std::vector<const Member*> candidates;
  for (const auto& [vm, entry] : m_entries) {
    if (IsPresent(entry.member) && InZone(entry.member.node) == in_zone &&
        vm != except)
      candidates.push_back(&entry.member);
  }
  std::vector<Member> members;
  for (size_t index = 0; index < candidates.size() && index < count; ++index) {
    std::uniform_int_distribution<size_t> choose(index, candidates.size() - 1);
    std::swap(candidates[index], candidates[choose(random)]);
    members.push_back(*candidates[index]);
  }
  return members;
}

std::vector<Member> MemberTable::SampleZone(size_t count,
                                            const VmName& except,
                                            std::mt19937_64& random) const {
  return Sample(count, except, true, random);
}

std::vector<Member> MemberTable::SampleContacts(size_t count,
                                                const VmName& except,
                                                std::mt19937_64& random) const {
  return Sample(count, except, false, random);
}

size_t MemberTable::StateBytes() const {
  size_t bytes = sizeof(*this);
  for (const auto* entries : {&m_entries, &m_lost_contacts}) {
    for (const auto& [vm, entry] : *entries)
      bytes += kMapNodeOverhead + sizeof(vm) + sizeof(entry) +
               HeapBytes(vm.value()) + HeapBytes(entry.member);
  }
  for (const auto& [zone, count] : m_contacts_of_zone)
    bytes += kMapNodeOverhead + sizeof(zone) + sizeof(count) +
             HeapBytes(zone.value());
  return bytes;
}

void RumorQueue::Add(const Member& member, bool from_local_zone) {
  std::erase_if(m_rumors, [&member](const Rumor& rumor) {
    return rumor.member.node.vm == member.node.vm;
  });
  if (m_rumors.size() >= kMaxRumors)
    m_rumors.erase(m_rumors.begin());
  m_rumors.push_back(Rumor{member, from_local_zone && !IsPresent(member)});
}

std::vector<Member> RumorQueue::Take(size_t space,
                                     size_t limit,
                                     bool same_zone) {
  std::vector<size_t> order(m_rumors.size());
  std::iota(order.begin(), order.end(), size_t{0});
  std::stable_sort(
      order.begin(), order.end(), [this, same_zone](size_t left, size_t right) {
        const Rumor& a = m_rumors[left];
        const Rumor& b = m_rumors[right];
        return same_zone ? a.sent < b.sent : a.sent_foreign < b.sent_foreign;
      });
  std::vector<Member> taken;
  for (const size_t index : order) {
    Rumor& rumor = m_rumors[index];
    const size_t size = EncodedSize(rumor.member);
    const bool wanted =
        same_zone ? rumor.sent < limit
                  : rumor.foreign_too && rumor.sent_foreign < kForeignLimit;
    if (!wanted || size > space)
      continue;
    space -= size;
    ++(same_zone ? rumor.sent : rumor.sent_foreign);
    taken.push_back(rumor.member);
  }
  std::erase_if(m_rumors, [limit](const Rumor& rumor) {
    return rumor.sent >= limit &&
           (!rumor.foreign_too || rumor.sent_foreign >= kForeignLimit);
  });
  return taken;
}

bool RumorQueue::HasZoneRumor(size_t limit) const {
  return std::any_of(
      m_rumors.begin(), m_rumors.end(),
      [limit](const Rumor& rumor) { return rumor.sent < limit; });
}

size_t RumorQueue::StateBytes() const {
  size_t bytes = sizeof(*this);
  for (const Rumor& rumor : m_rumors)
    bytes += sizeof(rumor) + HeapBytes(rumor.member);
  return bytes;
}

}  // namespace jackdawturn::fleet
