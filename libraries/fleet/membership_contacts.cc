#include <algorithm>

#include "fleet/membership_machine.h"

namespace jackdawturn::fleet {

namespace {

// Probability that a contact is replaced by another one after its answer.
constexpr double kContactRotationProbability = 0.25;
// Minimum interval between two checks of all contacts of a zone.
constexpr Duration kZoneCheckInterval = std::chrono::seconds(5);
// Minimum interval between two probes of members of lost zones.
constexpr Duration kLostZoneProbeInterval = std::chrono::milliseconds(500);
// Number of members notified directly when this proxy leaves; the others are
// notified by gossip.
constexpr size_t kDirectLeaveMessages = 8;
// A leaving proxy itself notifies each other zone with the probability of this
// value divided by the size of its own zone, whose proxies notify the rest.
constexpr double kLeaveMessagesPerZone = 3;
// Number of proxies of a zone that notify each other zone of a removal, chosen
// by rendezvous order. With a random choice and three notifications on average,
// one zone in twenty received none.
constexpr size_t kRemovalNotifiers = 3;

}  // namespace

void MembershipMachine::RotateContact(const Datagram& datagram,
                                      TimePoint now,
                                      Effects& effects) {
  const bool named_by_third_party =
      m_third_party_contacts.erase(datagram.sender.vm) > 0;
  const MemberTable::Entry* known = m_table.Find(datagram.sender.vm);
  if (known == nullptr || !IsPresent(known->member) ||
      m_table.WantsContact(datagram.sender.zone))
    return;
  if (!named_by_third_party && std::uniform_real_distribution<double>(0, 1)(
                                   m_random) >= kContactRotationProbability)
    return;
  for (const Member& named : datagram.rumors) {
    if (named.node.zone != datagram.sender.zone || !IsPresent(named) ||
        named.leaving || m_table.Find(named.node.vm) != nullptr ||
        m_table.IsLost(named.node.vm, named.incarnation))
      continue;
    m_table.ReplaceContact(datagram.sender.vm, named, now);
    effects.emplace_back(MemberChanged{named});
    return;
  }
}

void MembershipMachine::CheckZone(const ZoneName& zone,
                                  TimePoint now,
                                  Effects& effects) {
  if (zone == m_options.self.zone || !m_joined)
    return;
  const auto checked = m_zone_checks.find(zone);
  if (checked != m_zone_checks.end() && now < checked->second)
    return;
  for (const Member& contact : m_table.Contacts()) {
    if (contact.node.zone != zone)
      continue;
    m_zone_checks[zone] = now + kZoneCheckInterval;
    const bool asked = std::any_of(
        m_outstanding.begin(), m_outstanding.end(), [&](const auto& item) {
          return item.second.target.node.vm == contact.node.vm;
        });
    if (!asked)
      SendProbe(contact, 1, now, effects);
  }
}

void MembershipMachine::ProbeLostZone(const Member& member,
                                      TimePoint now,
                                      Effects& effects) {
  if (!IsPresent(member) || now < m_next_lost_zone_probe)
    return;
  m_next_lost_zone_probe = now + kLostZoneProbeInterval;
  SendUntrackedProbe(member.node, effects);
}

void MembershipMachine::AnnounceSelfToOtherZones(Effects& effects) {
  const double probability =
      kLeaveMessagesPerZone / static_cast<double>(m_table.zone_size() + 1);
  std::map<ZoneName, std::vector<NodeInfo>> zones;
  for (const Member& contact : m_table.Contacts())
    zones[contact.node.zone].push_back(contact.node);
  for (const auto& [zone, contacts] : zones) {
    if (std::uniform_real_distribution<double>(0, 1)(m_random) >= probability)
      continue;
    std::uniform_int_distribution<size_t> choose(0, contacts.size() - 1);
    Send(contacts[choose(m_random)], NewDatagram(), effects);
  }
}

bool MembershipMachine::IsRemovalNotifier(const VmName& removed,
                                          const ZoneName& zone) const {
  const std::string rank_key = removed.value() + '/' + zone.value();
  const uint64_t own_rank = Hash64(rank_key + '/' + m_options.self.vm.value());
  size_t before = 0;
  for (const Member& member : m_table.ZoneMembers()) {
    if (Hash64(rank_key + '/' + member.node.vm.value()) < own_rank &&
        ++before >= kRemovalNotifiers)
      return false;
  }
  return true;
}

void MembershipMachine::NotifyRemoval(const Member& statement,
                                      Effects& effects) {
  // Conclusions of an isolated proxy about others are not gossiped.
  if (m_isolated)
    return;
  std::map<ZoneName, bool> notified_zones;
  for (const Member& contact : m_table.Contacts()) {
    const ZoneName& zone = contact.node.zone;
    const auto [found, added] = notified_zones.try_emplace(zone, false);
    if (added)
      found->second = IsRemovalNotifier(statement.node.vm, zone);
    if (!found->second)
      continue;
    // Added to the datagram directly, because RumorQueue includes each
    // statement in only a few datagrams to other zones.
    Datagram datagram = NewDatagram();
    datagram.rumors.push_back(statement);
    Send(contact.node, std::move(datagram), effects);
  }
}

void MembershipMachine::AnnounceSelf(Effects& effects) {
  for (const Member& member :
       m_table.SampleZone(kDirectLeaveMessages, VmName(), m_random))
    Send(member.node, NewDatagram(), effects);
  AnnounceSelfToOtherZones(effects);
}

}  // namespace jackdawturn::fleet
