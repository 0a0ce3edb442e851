#include <algorithm>
#include <cmath>
#include <utility>

#include "fleet/membership_machine.h"

namespace jackdawturn::fleet {

namespace {

// Contacts can be in another region, with a longer round-trip time.
constexpr int kContactTimeoutFactor = 4;
// A contact is dropped only after this many failed attempts, because no other
// proxy of this zone can refute on its behalf. At 1% packet loss one attempt
// fails about once in 800,000 times, which a fleet of 6 reaches within a day or
// two.
constexpr size_t kContactAttempts = 3;
// Up to this many contacts are probed twice as often, because in a small fleet
// no other proxy of the zone may detect that one of them died.
constexpr size_t kFewContacts = 8;
constexpr Duration kGossipInterval = std::chrono::milliseconds(200);
constexpr Duration kLostInterval = std::chrono::seconds(2);
constexpr Duration kUrgentLostInterval = std::chrono::milliseconds(500);
constexpr size_t kRepairAttempts = 3;
// Number of peers that are asked for the members of the zone; the first answer
// is used.
constexpr size_t kSyncPeers = 3;
// Number of probes of a suspect by each proxy that received the suspicion.
constexpr int kProbesOfSuspect = 3;
// Factor by which a suspicion is extended when no other peer answers, because
// then this proxy is more likely to be partitioned.
constexpr int kIsolatedSuspicionFactor = 4;
constexpr Duration kSuspicionRecheckDelay = std::chrono::milliseconds(100);
// Without an answer for this time, a proxy probes other peers to check its own
// connectivity.
constexpr Duration kMaxAnswerAge = std::chrono::milliseconds(300);
// Number of transmissions of a statement by each proxy, as a multiple of the
// logarithm of the zone's size.
constexpr double kRumorFactor = 3;

}  // namespace

Duration MembershipMachine::RandomPart(Duration whole) {
  return Duration(std::uniform_int_distribution<Duration::rep>(
      0, std::max<Duration::rep>(whole.count() - 1, 0))(m_random));
}

void MembershipMachine::Start(TimePoint now) {
  m_started = true;
  m_last_run = now;
  m_expected_run = now;
  m_last_answer = now;
  m_last_sequence = m_random() >> 1;
  m_next_probe = now + RandomPart(m_options.probe_interval);
  m_next_contact_probe = now + RandomPart(m_options.contact_interval);
  m_next_lost_probe = now + RandomPart(kUrgentLostInterval);
  m_next_gossip = now + RandomPart(kGossipInterval);
  m_next_repair = now;
  m_join_deadline = now + m_options.join_timeout;
  m_verifying = false;
  m_sync = Sync{true, VmName(), PeerAddress(), now, 0};
}

void MembershipMachine::NoticePause(TimePoint now, Effects& effects) {
  const Duration late = now - m_expected_run;
  if (late <= m_options.answer_timeout || m_left)
    return;
  // Answers that arrived in the meantime were not read, so a missing answer
  // does not imply a failure.
  m_outstanding.clear();
  m_relayed.clear();
  for (auto& [vm, suspicion] : m_suspicions) {
    suspicion.started += late;
    suspicion.remove_at += late;
  }
  m_last_answer = std::max(m_last_answer, now - kMaxAnswerAge);
  if (late <= m_options.pause_limit)
    return;
  effects.emplace_back(PauseNoticed{now - m_last_run});
  m_joined = false;
  for (auto& [vm, suspicion] : m_suspicions)
    suspicion = Suspicion{now, now + SuspicionTime(), now};
  Start(now);
}

std::vector<MembershipEffect> MembershipMachine::OnTime(TimePoint now) {
  Effects effects;
  if (!m_started)
    Start(now);
  NoticePause(now, effects);
  if (!m_left) {
    RunSync(now, effects);
    if (m_joined)
      RunOutstanding(now, effects);
    if (m_joined || m_verifying)
      RunSuspicions(now, effects);
    RunProbes(now, effects);
    RunGossip(now, effects);
  }
  m_last_run = now;
  m_expected_run = std::max(NextWakeup(), now);
  return effects;
}

TimePoint MembershipMachine::NextWakeup() const {
  if (!m_started)
    return m_last_run;
  if (m_left)
    return TimePoint::max();
  TimePoint next =
      std::min({m_next_probe, m_next_contact_probe, m_next_lost_probe});
  if (m_sync.active)
    next = std::min(next, m_sync.retry_at);
  if (!m_joined)
    next = std::min(next, m_join_deadline);
  else
    for (const auto& [sequence, probe] : m_outstanding)
      next = std::min(next,
                      probe.indirect_sent ? probe.fails_at : probe.indirect_at);
  if (m_joined || m_verifying) {
    for (const auto& [vm, suspicion] : m_suspicions)
      next = std::min({next, suspicion.next_probe, suspicion.remove_at});
  }
  if (m_table.zone_size() > 0 && m_rumors.HasZoneRumor(RumorLimit()))
    next = std::min(next, m_next_gossip);
  return next;
}

void MembershipMachine::RunSync(TimePoint now, Effects& effects) {
  if (!m_joined && m_verifying && m_suspicions.empty()) {
    m_sync.active = false;
    FinishJoin(m_table.zone_size() > 0, effects);
    return;
  }
  if (!m_joined && now >= m_join_deadline) {
    if (!m_verifying && m_table.zone_size() > 0) {
      VerifyZone(now, effects);
      return;
    }
    m_sync.active = false;
    FinishJoin(false, effects);
    return;
  }
  if (!m_sync.active || now < m_sync.retry_at)
    return;
  if (m_joined && m_sync.attempts >= kRepairAttempts) {
    m_sync.active = false;
    return;
  }
  std::vector<NodeInfo> peers;
  for (const Member& member :
       m_table.SampleZone(kSyncPeers, VmName(), m_random))
    peers.push_back(member.node);
  if (peers.empty()) {
    std::vector<NodeInfo> others;
    for (const NodeInfo& hint : m_hints) {
      if (hint.address != m_options.self.address)
        (m_table.InZone(hint) ? peers : others).push_back(hint);
    }
    // This zone may have no other proxy, so other zones are asked as well.
    const bool ask_others = peers.empty() || m_sync.attempts % 2 == 1;
    if (ask_others && !others.empty())
      peers = std::move(others);
  }
  if (peers.empty()) {
    m_sync.active = false;
    FinishJoin(false, effects);
    return;
  }
  m_sync.peer = PeerAddress();
  m_sync.after = VmName();
  m_sync.retry_at = now + kSyncRetry;
  ++m_sync.attempts;
  std::shuffle(peers.begin(), peers.end(), m_random);
  if (peers.size() > kSyncPeers)
    peers.resize(kSyncPeers);
  for (const NodeInfo& peer : peers) {
    Datagram request = NewDatagram();
    request.sync_request = SyncRequest{};
    Send(peer, std::move(request), effects);
  }
}

void MembershipMachine::VerifyZone(TimePoint now, Effects& effects) {
  m_verifying = true;
  m_join_deadline = now + SuspicionTime() * (kIsolatedSuspicionFactor + 1);
  for (const Member& member : m_table.ZoneMembers())
    OnProbeFailed(member, kContactAttempts, now, effects);
}

void MembershipMachine::RunOutstanding(TimePoint now, Effects& effects) {
  std::vector<OutstandingProbe> failed;
  std::vector<ZoneName> unanswered_zones;
  for (auto item = m_outstanding.begin(); item != m_outstanding.end();) {
    OutstandingProbe& probe = item->second;
    if (!probe.indirect_sent && now >= probe.indirect_at) {
      probe.indirect_sent = true;
      SendIndirect(item->first, probe, effects);
      unanswered_zones.push_back(probe.target.node.zone);
    }
    if (now >= probe.fails_at) {
      failed.push_back(probe);
      item = m_outstanding.erase(item);
    } else {
      ++item;
    }
  }
  for (const OutstandingProbe& probe : failed)
    OnProbeFailed(probe.target, probe.attempt, now, effects);
  for (const ZoneName& zone : unanswered_zones)
    CheckZone(zone, now, effects);
}

void MembershipMachine::OnProbeFailed(const Member& target,
                                      size_t attempt,
                                      TimePoint now,
                                      Effects& effects) {
  const MemberTable::Entry* known = m_table.Find(target.node.vm);
  if (known == nullptr || known->member.state != MemberState::kAlive)
    return;
  Member statement = known->member;
  if (m_table.InZone(statement.node)) {
    statement.state = MemberState::kSuspect;
    Merge(statement, true, now, effects);
    return;
  }
  if (attempt < kContactAttempts) {
    SendProbe(known->member, attempt + 1, now, effects);
    return;
  }
  m_table.LoseContact(statement.node.vm, now);
  statement.state = MemberState::kDead;
  effects.emplace_back(MemberChanged{statement});
}

void MembershipMachine::StartSuspicion(const Member& member,
                                       TimePoint now,
                                       Effects& effects) {
  const Duration time = SuspicionTime();
  m_suspicions[member.node.vm] =
      Suspicion{now, now + time, now + RandomPart(time / kProbesOfSuspect)};
  if (now - m_last_answer < kMaxAnswerAge)
    return;
  for (const Member& other : m_table.SampleZone(1, member.node.vm, m_random))
    SendUntrackedProbe(other.node, effects);
  for (const Member& other : m_table.SampleContacts(1, VmName(), m_random))
    SendUntrackedProbe(other.node, effects);
}

void MembershipMachine::RunSuspicions(TimePoint now, Effects& effects) {
  const Duration time = SuspicionTime();
  std::vector<Member> removed;
  for (auto& [vm, suspicion] : m_suspicions) {
    const MemberTable::Entry* known = m_table.Find(vm);
    VERIFY(known != nullptr);
    if (now >= suspicion.next_probe) {
      suspicion.next_probe = now + time / kProbesOfSuspect;
      SendUntrackedProbe(known->member.node, effects);
    }
    if (now < suspicion.remove_at)
      continue;
    const bool others_answered = m_last_answer > suspicion.started;
    const bool has_others = m_table.zone_size() + m_table.contact_count() > 1;
    if (!others_answered && has_others &&
        now < suspicion.started + time * kIsolatedSuspicionFactor) {
      suspicion.remove_at = now + kSuspicionRecheckDelay;
      for (const Member& other : m_table.SampleZone(1, vm, m_random))
        SendUntrackedProbe(other.node, effects);
      for (const Member& other : m_table.SampleContacts(1, vm, m_random))
        SendUntrackedProbe(other.node, effects);
      continue;
    }
    m_isolated |= !others_answered;
    removed.push_back(known->member);
    removed.back().state = MemberState::kDead;
  }
  for (const Member& statement : removed) {
    m_suspicions.erase(statement.node.vm);
    Merge(statement, true, now, effects);
  }
}

std::optional<Member> MembershipMachine::NextInRound(std::vector<VmName>& round,
                                                     bool in_zone) {
  // A second pass is needed when the rest of the round was removed.
  for (int pass = 0; pass < 2; ++pass) {
    while (!round.empty()) {
      const VmName vm = round.back();
      round.pop_back();
      const MemberTable::Entry* known = m_table.Find(vm);
      if (known != nullptr && IsPresent(known->member) &&
          m_table.InZone(known->member.node) == in_zone)
        return known->member;
    }
    for (const Member& member :
         in_zone ? m_table.ZoneMembers() : m_table.Contacts())
      round.push_back(member.node.vm);
    // Rounds over contacts keep their order, which bounds the time between two
    // probes of the same contact.
    if (in_zone)
      std::shuffle(round.begin(), round.end(), m_random);
  }
  return std::nullopt;
}

void MembershipMachine::RunProbes(TimePoint now, Effects& effects) {
  const auto advance = [now](TimePoint& next, Duration interval) {
    next = std::max(next + interval, now + interval / 2);
  };
  if (now >= m_next_probe) {
    advance(m_next_probe, m_options.probe_interval);
    if (const auto target = NextInRound(m_probe_round, true))
      SendProbe(*target, 1, now, effects);
    std::erase_if(m_relayed, [now](const auto& item) {
      return now >= item.second.forget_at;
    });
  }
  if (now >= m_next_contact_probe) {
    const bool few = m_table.contact_count() <= kFewContacts;
    advance(m_next_contact_probe,
            few ? m_options.contact_interval / 2 : m_options.contact_interval);
    if (const auto target = NextInRound(m_contact_round, false))
      SendProbe(*target, 1, now, effects);
  }
  if (now >= m_next_lost_probe)
    ProbeLostPeer(now, effects);
}

std::vector<NodeInfo> MembershipMachine::MissingPeers(bool& urgent) const {
  std::set<PeerAddress> present;
  std::set<ZoneName> zones;
  for (const std::vector<Member>& members :
       {m_table.ZoneMembers(), m_table.Contacts()}) {
    for (const Member& member : members) {
      present.insert(member.node.address);
      zones.insert(member.node.zone);
    }
  }
  std::vector<NodeInfo> missing;
  for (const Member& member : m_table.UnreachablePeers())
    missing.push_back(member.node);
  for (const NodeInfo& hint : m_hints) {
    const bool wanted = m_table.InZone(hint) || m_table.WantsContact(hint.zone);
    if (wanted && hint.address != m_options.self.address &&
        present.count(hint.address) == 0)
      missing.push_back(hint);
  }
  urgent = std::any_of(
      missing.begin(), missing.end(),
      [&zones](const NodeInfo& node) { return zones.count(node.zone) == 0; });
  return missing;
}

void MembershipMachine::ProbeLostPeer(TimePoint now, Effects& effects) {
  m_table.ExpireRemoved(now - m_options.removed_retention);
  bool urgent = false;
  const std::vector<NodeInfo> missing = MissingPeers(urgent);
  m_next_lost_probe = now + (urgent ? kUrgentLostInterval : kLostInterval);
  if (missing.empty())
    return;
  std::uniform_int_distribution<size_t> choose(0, missing.size() - 1);
  SendUntrackedProbe(missing[choose(m_random)], effects);
}

void MembershipMachine::RunGossip(TimePoint now, Effects& effects) {
  if (now < m_next_gossip || !m_rumors.HasZoneRumor(RumorLimit()))
    return;
  m_next_gossip = now + kGossipInterval;
  for (const Member& member : m_table.SampleZone(1, VmName(), m_random))
    Send(member.node, NewDatagram(), effects);
}

void MembershipMachine::SendProbe(const Member& target,
                                  size_t attempt,
                                  TimePoint now,
                                  Effects& effects) {
  const Duration timeout =
      m_table.InZone(target.node)
          ? m_options.answer_timeout
          : m_options.answer_timeout * kContactTimeoutFactor;
  const uint64_t sequence = ++m_last_sequence;
  // A repeated attempt sends direct and indirect probes simultaneously, to
  // limit the additional time until a dead contact is dropped.
  const bool repeated = attempt > 1;
  OutstandingProbe& probe = m_outstanding[sequence];
  probe = OutstandingProbe{target, now + timeout,
                           now + (repeated ? timeout : 2 * timeout), repeated,
                           attempt};
  Datagram datagram = NewDatagram();
  datagram.probe = Probe{sequence, target.node.vm};
  Send(target.node, std::move(datagram), effects);
  if (repeated)
    SendIndirect(sequence, probe, effects);
}

void MembershipMachine::SendUntrackedProbe(const NodeInfo& target,
                                           Effects& effects) {
  Datagram datagram = NewDatagram();
  datagram.probe = Probe{++m_last_sequence, target.vm};
  Send(target, std::move(datagram), effects);
}

void MembershipMachine::SendIndirect(uint64_t sequence,
                                     const OutstandingProbe& probe,
                                     Effects& effects) {
  const VmName& vm = probe.target.node.vm;
  std::vector<Member> helpers =
      m_table.SampleZone(m_options.indirect_probes, vm, m_random);
  if (helpers.size() < m_options.indirect_probes) {
    for (Member& contact : m_table.SampleContacts(
             m_options.indirect_probes - helpers.size(), vm, m_random))
      helpers.push_back(std::move(contact));
  }
  for (const Member& helper : helpers) {
    Datagram datagram = NewDatagram();
    datagram.request = IndirectProbeRequest{sequence, probe.target.node};
    Send(helper.node, std::move(datagram), effects);
  }
}

void MembershipMachine::Send(const NodeInfo& to,
                             Datagram datagram,
                             Effects& effects) {
  const MemberTable::Entry* known = m_table.Find(to.vm);
  if (known != nullptr && known->member.state != MemberState::kAlive)
    datagram.rumors.push_back(known->member);
  const size_t size = EncodedSize(datagram);
  // Conclusions of an isolated proxy about others are not gossiped.
  if (size < DatagramCodec::kMaxSize && !m_isolated) {
    for (Member& rumor : m_rumors.Take(DatagramCodec::kMaxSize - size,
                                       RumorLimit(), m_table.InZone(to)))
      datagram.rumors.push_back(std::move(rumor));
  }
  auto encoded = m_codec.Encode(datagram);
  // Callers limit the datagram's size.
  VERIFY(encoded.has_value());
  effects.emplace_back(SendDatagram{to.address, std::move(encoded.value())});
}

Datagram MembershipMachine::NewDatagram() const {
  Datagram datagram;
  datagram.version = DatagramCodec::kVersion;
  datagram.readable_since = 1;
  datagram.stamp = m_options.stamp();
  datagram.sender = m_options.self;
  datagram.incarnation = m_incarnation;
  datagram.leaving = m_leaving;
  datagram.zone_hash = ZoneHash();
  return datagram;
}

Member MembershipMachine::SelfStatement() const {
  return Member{m_options.self, m_incarnation, MemberState::kAlive, m_leaving};
}

uint64_t MembershipMachine::ZoneHash() const {
  return m_table.zone_hash() ^ MemberTable::HashOf(SelfStatement());
}

Duration MembershipMachine::SuspicionTime() const {
  const double members = static_cast<double>(m_table.zone_size() + 1);
  const double factor = std::max(1.0, std::log2(members) / 2);
  return std::chrono::duration_cast<Duration>(m_options.suspicion_time *
                                              factor);
}

size_t MembershipMachine::RumorLimit() const {
  const double members = static_cast<double>(m_table.zone_size() + 2);
  return static_cast<size_t>(std::ceil(kRumorFactor * std::log2(members)));
}

size_t MembershipMachine::StateBytes() const {
  // Size of a name and a node header in one of the small maps and lists.
  constexpr size_t kSmallEntry = 160;
  size_t bytes = sizeof(*this) + m_table.StateBytes() + m_rumors.StateBytes();
  bytes +=
      (m_probe_round.capacity() + m_contact_round.capacity()) * sizeof(VmName);
  bytes += m_hints.size() * sizeof(NodeInfo);
  bytes += (m_outstanding.size() + m_relayed.size() + m_suspicions.size() +
            m_third_party_contacts.size() + m_zone_checks.size()) *
           kSmallEntry;
  return bytes;
}

}  // namespace jackdawturn::fleet
