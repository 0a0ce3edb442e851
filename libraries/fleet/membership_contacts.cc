#include <algorithm>

#include "fleet/membership_machine.h"

namespace jackdawturn::fleet {

namespace {

// Share of answers after which a contact is exchanged for another one.
constexpr double kRotation = 0.25;
// Least time between two checks of all contacts of a zone.
constexpr Duration kZoneCheckInterval = std::chrono::seconds(5);
// Least time between two questions to members of a zone that is silent.
constexpr Duration kSilentZoneInterval = std::chrono::milliseconds(500);
// Members told directly when this proxy leaves; gossip tells the rest.
constexpr size_t kToldDirectly = 8;
// A proxy that leaves tells each other zone itself with this probability,
// divided by the proxies of its own zone; those tell the rest.
constexpr double kRemovalCopies = 3;
// Proxies of a zone that tell each other zone of a removal, chosen by
// rendezvous order. With random tellers some zone was told by nobody: with
// three copies in the mean that happens to one zone in twenty.
constexpr size_t kRemovalTellers = 3;

}  // namespace

void MembershipMachine::RotateContact(const Datagram& datagram,
                                      TimePoint now,
                                      Effects& effects) {
  const bool second_hand = m_second_hand.erase(datagram.sender.vm) > 0;
  const MemberTable::Entry* known = m_table.Find(datagram.sender.vm);
  if (known == nullptr || !IsPresent(known->member) ||
      m_table.WantsContact(datagram.sender.zone))
    return;
  if (!second_hand &&
      std::uniform_real_distribution<double>(0, 1)(m_random) >= kRotation)
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

void MembershipMachine::AskSilentZone(const Member& member,
                                      TimePoint now,
                                      Effects& effects) {
  if (!IsPresent(member) || now < m_next_silent_zone)
    return;
  m_next_silent_zone = now + kSilentZoneInterval;
  SendGreeting(member.node, effects);
}

void MembershipMachine::TellOtherZones(Effects& effects) {
  const double probability =
      kRemovalCopies / static_cast<double>(m_table.zone_size() + 1);
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

bool MembershipMachine::TellsZone(const VmName& removed,
                                  const ZoneName& zone) const {
  const std::string topic = removed.value() + '/' + zone.value();
  const uint64_t own_rank = Hash64(topic + '/' + m_options.self.vm.value());
  size_t before = 0;
  for (const Member& member : m_table.ZoneMembers()) {
    if (Hash64(topic + '/' + member.node.vm.value()) < own_rank &&
        ++before >= kRemovalTellers)
      return false;
  }
  return true;
}

void MembershipMachine::TellRemoval(const Member& statement, Effects& effects) {
  // What an isolated proxy concludes about others is not passed on.
  if (m_isolated)
    return;
  std::map<ZoneName, bool> tells;
  for (const Member& contact : m_table.Contacts()) {
    const ZoneName& zone = contact.node.zone;
    const auto [found, added] = tells.try_emplace(zone, false);
    if (added)
      found->second = TellsZone(statement.node.vm, zone);
    if (!found->second)
      continue;
    // In the datagram itself, because the queue of statements gives each one to
    // a few datagrams for other zones only.
    Datagram datagram = NewDatagram();
    datagram.rumors.push_back(statement);
    Send(contact.node, std::move(datagram), effects);
  }
}

void MembershipMachine::TellEveryone(Effects& effects) {
  for (const Member& member :
       m_table.SampleZone(kToldDirectly, VmName(), m_random))
    Send(member.node, NewDatagram(), effects);
  TellOtherZones(effects);
}

}  // namespace jackdawturn::fleet
