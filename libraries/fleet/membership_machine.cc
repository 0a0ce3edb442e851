#include "fleet/membership_machine.h"

#include <algorithm>
#include <utility>

namespace jackdawturn::fleet {

namespace {

// Maximum number of members in a page; a page also ends when the datagram is
// full.
constexpr size_t kPageMembers = 24;
// Number of members of the local zone named in an answer to a proxy of another
// zone.
constexpr size_t kNamedToOtherZone = 2;
constexpr size_t kMaxHints = 1'024;
constexpr size_t kMaxRelayedProbes = 256;
constexpr Duration kRelayedProbeRetention = std::chrono::seconds(1);
constexpr Duration kRepairInterval = std::chrono::seconds(5);
constexpr size_t kHashesBeforeRepair = 3;
// Time after an isolation during which a proxy does not trust its view and
// answers no sync requests.
constexpr Duration kViewRecoveryTime = std::chrono::seconds(5);

}  // namespace

MembershipMachine::MembershipMachine(MembershipOptions options,
                                     DatagramCodec codec,
                                     std::mt19937_64 random)
    : m_options(std::move(options)),
      m_codec(std::move(codec)),
      m_random(random),
      m_incarnation(m_options.incarnation),
      m_table(m_options.self, m_options.contacts_per_zone),
      m_hints(m_options.seeds) {
  VERIFY(m_options.stamp);
}

std::vector<MembershipEffect> MembershipMachine::Handle(
    const MembershipEvent& event,
    TimePoint now) {
  Effects effects;
  if (!m_started)
    Start(now);
  NoticePause(now, effects);
  if (const auto* datagram = std::get_if<DatagramReceived>(&event)) {
    OnDatagram(*datagram, now, effects);
  } else if (const auto* hints = std::get_if<PeerHints>(&event)) {
    OnHints(*hints, now);
  } else if (const auto* payload = std::get_if<SendPayload>(&event)) {
    OnPayload(*payload, effects);
  } else if (std::holds_alternative<AnnounceLeaving>(event) && !m_leaving) {
    m_leaving = true;
    ++m_incarnation;
    m_rumors.Add(SelfStatement(), true);
    AnnounceSelf(effects);
    effects.emplace_back(MemberChanged{SelfStatement()});
  } else if (std::holds_alternative<AnnounceLeft>(event) && !m_left) {
    Member statement = SelfStatement();
    statement.state = MemberState::kLeft;
    m_rumors.Add(statement, true);
    // Sent twice, because no other proxy repeats it if all copies are lost.
    AnnounceSelf(effects);
    AnnounceSelf(effects);
    m_left = true;
  }
  m_last_run = now;
  m_expected_run = std::max(NextWakeup(), now);
  return effects;
}

void MembershipMachine::OnHints(const PeerHints& hints, TimePoint now) {
  m_hints = m_options.seeds;
  for (const NodeInfo& node : hints.nodes) {
    if (m_hints.size() < kMaxHints)
      m_hints.push_back(node);
  }
  m_next_lost_probe = std::min(m_next_lost_probe, now + RandomPart(kSyncRetry));
}

void MembershipMachine::OnPayload(const SendPayload& payload,
                                  Effects& effects) {
  const MemberTable::Entry* known = m_table.Find(payload.to);
  Datagram datagram = NewDatagram();
  datagram.payloads.push_back(Payload{payload.channel, payload.bytes});
  if (known == nullptr || !IsPresent(known->member) ||
      EncodedSize(datagram) > DatagramCodec::kMaxSize) {
    ++m_dropped_payloads;
    return;
  }
  const NodeInfo to = known->member.node;
  Send(to, std::move(datagram), effects);
}

void MembershipMachine::OnDatagram(const DatagramReceived& event,
                                   TimePoint now,
                                   Effects& effects) {
  if (m_left)
    return;
  auto decoded = m_codec.Decode(event.bytes);
  if (!decoded) {
    Error error = decoded.error();
    error.peer = event.from.value();
    effects.emplace_back(DatagramRefused{event.from, std::move(error)});
    return;
  }
  const Datagram& datagram = decoded.value();
  if (datagram.sender.vm == m_options.self.vm)
    return;
  if (m_options.observe_stamp)
    m_options.observe_stamp(datagram.stamp);
  OnSender(datagram, now, effects);
  for (const Member& rumor : datagram.rumors)
    MergeRumor(rumor, datagram.sender, now, effects);
  if (datagram.answer)
    OnAnswer(datagram, now, effects);
  if (datagram.probe)
    OnProbe(datagram, now, effects);
  if (datagram.request)
    OnIndirectProbeRequest(datagram, now, effects);
  if (datagram.sync_request && !m_isolated && now >= m_view_untrusted_until)
    OnSyncRequest(datagram, effects);
  if (datagram.sync_page)
    OnSyncPage(datagram, now, effects);
  for (const Payload& payload : datagram.payloads)
    effects.emplace_back(
        PayloadReceived{datagram.sender, payload.channel, payload.bytes});
  CompareZones(datagram, now, effects);
}

void MembershipMachine::MergeRumor(const Member& rumor,
                                   const NodeInfo& source,
                                   TimePoint now,
                                   Effects& effects) {
  constexpr size_t kMaxThirdPartyContacts = 1'024;
  // A lost contact is present again only when it sends a datagram itself.
  if (IsPresent(rumor) && m_table.IsLost(rumor.node.vm, rumor.incarnation))
    return;
  const bool known = m_table.Find(rumor.node.vm) != nullptr;
  if (!known && rumor.node.zone != source.zone &&
      m_table.LostAllOf(rumor.node.zone)) {
    ProbeLostZone(rumor, now, effects);
    return;
  }
  Merge(rumor, true, now, effects);
  if (known || m_table.InZone(rumor.node) || rumor.node.zone == source.zone ||
      m_table.Find(rumor.node.vm) == nullptr)
    return;
  if (m_third_party_contacts.size() >= kMaxThirdPartyContacts)
    m_third_party_contacts.clear();
  m_third_party_contacts.insert(rumor.node.vm);
}

void MembershipMachine::OnSender(const Datagram& datagram,
                                 TimePoint now,
                                 Effects& effects) {
  const Member statement{datagram.sender, datagram.incarnation,
                         MemberState::kAlive, datagram.leaving};
  Merge(statement, true, now, effects);
  const MemberTable::Entry* known = m_table.Find(datagram.sender.vm);
  const bool needs_refutation =
      known != nullptr && known->member.incarnation >= datagram.incarnation &&
      (known->member.state == MemberState::kSuspect ||
       known->member.state == MemberState::kDead);
  // Sends the statement about the sender to it, so that it can refute the
  // statement. Answers to its probes, and the probes that it answered, carry
  // the statement as well.
  if (needs_refutation && !datagram.probe && !datagram.answer)
    SendUntrackedProbe(datagram.sender, effects);
}

void MembershipMachine::OnAnswer(const Datagram& datagram,
                                 TimePoint now,
                                 Effects& effects) {
  m_last_answer = now;
  if (std::exchange(m_isolated, false)) {
    // Conclusions made during the isolation are not gossiped, and the view is
    // not sent to others until they had time to prove that they are alive.
    // Takeovers stop while view() reports likely_partitioned.
    m_rumors.Clear();
    m_view_untrusted_until = now + kViewRecoveryTime;
  }
  m_outstanding.erase(datagram.answer->sequence);
  const auto relayed = m_relayed.find(datagram.answer->sequence);
  if (relayed != m_relayed.end()) {
    Datagram answer = NewDatagram();
    answer.answer = ProbeAnswer{relayed->second.requester_sequence};
    // This statement carries a refutation to the requester.
    answer.rumors.push_back(Member{datagram.sender, datagram.incarnation,
                                   MemberState::kAlive, datagram.leaving});
    NodeInfo requester;
    requester.zone = m_options.self.zone;
    requester.address = relayed->second.requester;
    m_relayed.erase(relayed);
    Send(requester, std::move(answer), effects);
  }
  if (!m_table.InZone(datagram.sender))
    RotateContact(datagram, now, effects);
}

void MembershipMachine::OnProbe(const Datagram& datagram,
                                TimePoint /*now*/,
                                Effects& effects) {
  const Probe& probe = *datagram.probe;
  if (!probe.target.empty() && probe.target != m_options.self.vm)
    return;
  Datagram answer = NewDatagram();
  answer.answer = ProbeAnswer{probe.sequence};
  if (!m_table.InZone(datagram.sender)) {
    answer.rumors =
        m_table.SampleZone(kNamedToOtherZone, datagram.sender.vm, m_random);
    for (Member& contact :
         m_table.SampleContacts(1, datagram.sender.vm, m_random))
      answer.rumors.push_back(std::move(contact));
    std::erase_if(answer.rumors, [](const Member& member) {
      return member.state != MemberState::kAlive;
    });
  }
  Send(datagram.sender, std::move(answer), effects);
}

void MembershipMachine::OnIndirectProbeRequest(const Datagram& datagram,
                                               TimePoint now,
                                               Effects& effects) {
  const IndirectProbeRequest& request = *datagram.request;
  if (m_relayed.size() >= kMaxRelayedProbes)
    return;
  const uint64_t sequence = ++m_last_sequence;
  m_relayed[sequence] = RelayedProbe{datagram.sender.address, request.sequence,
                                     now + kRelayedProbeRetention};
  CheckZone(request.target.zone, now, effects);
  Datagram probe = NewDatagram();
  probe.probe = Probe{sequence, request.target.vm};
  Send(request.target, std::move(probe), effects);
}

void MembershipMachine::OnSyncRequest(const Datagram& datagram,
                                      Effects& effects) {
  Datagram answer = NewDatagram();
  SyncPage& page = answer.sync_page.emplace();
  const bool same_zone = m_table.InZone(datagram.sender);
  if (!same_zone) {
    for (Member& member : m_table.Contacts()) {
      if (member.node.zone == datagram.sender.zone &&
          member.node.vm != datagram.sender.vm)
        page.members.push_back(std::move(member));
    }
    page.last = true;
    answer.rumors =
        m_table.SampleZone(kNamedToOtherZone, datagram.sender.vm, m_random);
    Send(datagram.sender, std::move(answer), effects);
    return;
  }
  // Reserves space for the statement about the receiver that Send may add.
  constexpr size_t kReserve = 128;
  size_t size = EncodedSize(answer) + kReserve;
  const auto fits = [&size](const Member& member) {
    size += EncodedSize(member);
    return size <= DatagramCodec::kMaxSize;
  };
  std::vector<Member> members =
      m_table.Page(datagram.sync_request->after, kPageMembers);
  page.last = members.size() < kPageMembers;
  for (Member& member : members) {
    if (!fits(member)) {
      page.last = false;
      break;
    }
    page.members.push_back(std::move(member));
  }
  if (page.last) {
    for (Member& contact :
         m_table.SampleContacts(kPageMembers, datagram.sender.vm, m_random)) {
      if (!fits(contact))
        break;
      answer.rumors.push_back(std::move(contact));
    }
  }
  Send(datagram.sender, std::move(answer), effects);
}

void MembershipMachine::OnSyncPage(const Datagram& datagram,
                                   TimePoint now,
                                   Effects& effects) {
  const SyncPage& page = *datagram.sync_page;
  for (const Member& member : page.members)
    Merge(member, false, now, effects);
  if (!m_sync.active)
    return;
  if (m_sync.peer.empty())
    m_sync.peer = datagram.sender.address;  // The first one to answer.
  if (datagram.sender.address != m_sync.peer)
    return;
  if (!m_table.InZone(datagram.sender)) {
    // A proxy of another zone named members of this zone, which are asked next
    // for the full list.
    m_sync.retry_at = now;
    if (m_table.zone_size() > 0)
      return;
    m_sync.active = false;
    FinishJoin(true, effects);
    return;
  }
  if (page.last) {
    m_sync.active = false;
    FinishJoin(true, effects);
    return;
  }
  if (page.members.empty())
    return;
  m_sync.after = page.members.back().node.vm;
  m_sync.retry_at = now + kSyncRetry;
  Datagram request = NewDatagram();
  request.sync_request = SyncRequest{m_sync.after};
  Send(datagram.sender, std::move(request), effects);
}

void MembershipMachine::CompareZones(const Datagram& datagram,
                                     TimePoint now,
                                     Effects& effects) {
  if (!m_joined || m_sync.active || !m_table.InZone(datagram.sender))
    return;
  if (datagram.zone_hash == ZoneHash()) {
    m_different_hashes = 0;
    return;
  }
  const bool settled =
      m_suspicions.empty() && !m_rumors.HasZoneRumor(RumorLimit());
  if (!settled || ++m_different_hashes < kHashesBeforeRepair ||
      now < m_next_repair)
    return;
  m_different_hashes = 0;
  m_next_repair = now + kRepairInterval + RandomPart(kRepairInterval);
  m_sync = Sync{true, VmName(), datagram.sender.address, now + kSyncRetry, 0};
  Datagram request = NewDatagram();
  request.sync_request = SyncRequest{};
  Send(datagram.sender, std::move(request), effects);
}

void MembershipMachine::Merge(const Member& statement,
                              bool spread,
                              TimePoint now,
                              Effects& effects) {
  if (statement.node.vm == m_options.self.vm)
    Refute(statement);
  else if (m_table.InZone(statement.node))
    MergeZoneMember(statement, spread, now, effects);
  else
    MergeForeign(statement, now, effects);
}

void MembershipMachine::Refute(const Member& statement) {
  const bool contradicts_self = statement.state != MemberState::kAlive ||
                                statement.node != m_options.self ||
                                statement.leaving != m_leaving;
  if (m_left || statement.incarnation < m_incarnation ||
      (statement.incarnation == m_incarnation && !contradicts_self))
    return;
  m_incarnation = statement.incarnation + 1;
  m_rumors.Add(SelfStatement(), true);
}

void MembershipMachine::MergeZoneMember(const Member& statement,
                                        bool spread,
                                        TimePoint now,
                                        Effects& effects) {
  const VmName& vm = statement.node.vm;
  const MemberTable::Entry* known = m_table.Find(vm);
  if (known != nullptr && !Supersedes(statement, known->member))
    return;
  const bool was_present = known != nullptr && IsPresent(known->member);
  m_table.Store(statement, now);
  if (spread)
    m_rumors.Add(statement, true);
  if (statement.state == MemberState::kSuspect)
    StartSuspicion(statement, now, effects);
  else
    m_suspicions.erase(vm);
  if (IsPresent(statement) && !was_present) {
    std::uniform_int_distribution<size_t> place(0, m_probe_round.size());
    m_probe_round.insert(
        m_probe_round.begin() + static_cast<std::ptrdiff_t>(place(m_random)),
        vm);
  }
  if (IsPresent(statement) || was_present)
    effects.emplace_back(MemberChanged{statement});
  if (spread && was_present && !IsPresent(statement))
    NotifyRemoval(statement, effects);
}

void MembershipMachine::MergeForeign(const Member& statement,
                                     TimePoint now,
                                     Effects& effects) {
  const MemberTable::Entry* known = m_table.Find(statement.node.vm);
  if (known != nullptr && !Supersedes(statement, known->member))
    return;
  const bool was_present = known != nullptr && IsPresent(known->member);
  if (!IsPresent(statement)) {
    m_table.Store(statement, now);
    m_rumors.Add(statement, false);
    if (was_present)
      effects.emplace_back(MemberChanged{statement});
    return;
  }
  // Only the member's own zone decides whether a suspicion is justified.
  if (statement.state != MemberState::kAlive)
    return;
  if (!was_present && !m_table.WantsContact(statement.node.zone)) {
    if (known != nullptr)
      m_table.Forget(statement.node.vm);
    return;
  }
  m_table.Store(statement, now);
  if (!was_present)
    m_contact_round.push_back(statement.node.vm);
  effects.emplace_back(MemberChanged{statement});
}

void MembershipMachine::FinishJoin(bool found_peers, Effects& effects) {
  if (m_joined)
    return;
  m_joined = true;
  m_verifying = false;
  const bool has_peers = m_table.zone_size() + m_table.contact_count() > 0;
  m_isolated = !found_peers && has_peers;
  effects.emplace_back(Joined{found_peers});
}

FleetView MembershipMachine::view(TimePoint now) const {
  constexpr Duration kLossWindow = std::chrono::seconds(60);
  FleetView view;
  view.zone = m_table.ZoneMembers();
  view.contacts = m_table.Contacts();
  std::sort(view.contacts.begin(), view.contacts.end(),
            [](const Member& a, const Member& b) {
              return std::tie(a.node.zone, a.node.vm) <
                     std::tie(b.node.zone, b.node.vm);
            });
  for (const Member& member : m_table.UnreachablePeers()) {
    if (m_table.InZone(member.node))
      view.dead_members.push_back(member.node.vm);
  }
  view.leaving = m_leaving;
  view.joined = m_joined;
  view.likely_partitioned =
      m_isolated || m_table.LostSince(now - kLossWindow) >
                        view.zone.size() + view.contacts.size();
  return view;
}

std::optional<Member> MembershipMachine::Find(const VmName& vm) const {
  const MemberTable::Entry* entry = m_table.Find(vm);
  if (entry == nullptr)
    return std::nullopt;
  return entry->member;
}

}  // namespace jackdawturn::fleet
