#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "core/core.h"
#include "fleet/datagram.h"
#include "fleet/member.h"
#include "fleet/member_table.h"

namespace jackdawturn::fleet {

// A datagram arrived at the socket.
struct DatagramReceived {
  PeerAddress from;
  std::string bytes;
};

// Proxies that may exist, from the settings or the platform's VM list. They
// are asked, never believed. `node.vm` and `node.zone` may be empty.
struct PeerHints {
  std::vector<NodeInfo> nodes;
};

// Sends bytes of another machine to a present member. Bytes for an unknown
// member, or too many bytes for a datagram, are dropped and counted.
struct SendPayload {
  VmName to;
  uint8_t channel = 0;
  std::string bytes;
};

// Announces that this proxy takes no new work; it still answers.
struct AnnounceLeaving {};

// Announces that this proxy is gone; no probe is sent afterwards.
struct AnnounceLeft {};

using MembershipEvent = std::variant<DatagramReceived,
                                     PeerHints,
                                     SendPayload,
                                     AnnounceLeaving,
                                     AnnounceLeft>;

struct SendDatagram {
  PeerAddress to;
  std::string bytes;
};

// The belief about a zone member or contact changed, or this proxy announced
// that it is leaving. Read view() for the rest.
struct MemberChanged {
  Member member;
};

struct PayloadReceived {
  NodeInfo from;
  uint8_t channel = 0;
  std::string bytes;
};

// The zone's members were read from a peer, or no peer answered in time. Other
// machines start their work after this effect. Emitted once, and again after
// each pause.
struct Joined {
  bool found_peers = false;
};

// This proxy noticed by the gap in its own ticks that it did not run. It must
// take no decision about others until the next Joined.
struct PauseNoticed {
  Duration gap{};
};

// A datagram was refused; the adapter counts these.
struct DatagramRefused {
  PeerAddress from;
  Error error;
};

using MembershipEffect = std::variant<SendDatagram,
                                      MemberChanged,
                                      PayloadReceived,
                                      Joined,
                                      PauseNoticed,
                                      DatagramRefused>;

struct MembershipOptions {
  NodeInfo self;
  // Larger than in any earlier life of this VM if possible, for example the
  // wall clock in milliseconds; a value that is too low is corrected by peers.
  uint64_t incarnation = 1;
  // Peers from the settings, asked at start and whenever nobody answers.
  std::vector<NodeInfo> seeds;
  // Returns the stamp for a datagram that is sent.
  std::function<ClockStamp()> stamp;
  // Takes the stamp of each authentic datagram; may be empty.
  std::function<void(const ClockStamp&)> observe_stamp;

  // One member of the zone is probed per interval.
  Duration probe_interval = std::chrono::milliseconds(500);
  // One contact of another zone is probed per interval.
  Duration contact_interval = std::chrono::milliseconds(2'000);
  // Wait for an answer before indirect probes, and again before suspicion.
  Duration answer_timeout = std::chrono::milliseconds(150);
  // Least time from suspicion to removal; grows with the logarithm of the
  // zone's size, because a refutation takes that long to spread.
  Duration suspicion_time = std::chrono::milliseconds(500);
  // Peers that are asked to probe on behalf of this proxy.
  size_t indirect_probes = 3;
  // Contacts that are kept for each other zone.
  size_t contacts_per_zone = 2;
  // A later tick than this means that this proxy was paused.
  Duration pause_limit = std::chrono::milliseconds(2'000);
  // A removed member is remembered, and asked now and then, for this time.
  Duration removed_retention = std::chrono::hours(2);
  // Waits this long for a peer at start before it goes on alone.
  Duration join_timeout = std::chrono::milliseconds(800);
};

// What other machines use of the membership.
struct FleetView {
  // Present members of this zone without this proxy, in order of names.
  std::vector<Member> zone;
  // Present contacts of other zones, in order of zone and name.
  std::vector<Member> contacts;
  // Members of this zone that were removed by suspicion and are remembered.
  std::vector<VmName> dead_members;
  // This proxy announced that it is leaving.
  bool leaving = false;
  // False from start or a pause until Joined.
  bool joined = false;
  // Most known peers vanished within the last minute, so this proxy is more
  // probably cut off than they are dead. It must not take over their work.
  bool likely_partitioned = false;
};

// Membership of a zone by gossip in the manner of SWIM, with suspicion and
// incarnation numbers, and a few contacts for each other zone. The number of
// messages per node does not depend on the size of the fleet. A wrong view
// costs speed only; no promise depends on it.
// Thread safety: not thread-safe; owned by the decision thread.
class MembershipMachine {
 public:
  // Precondition: options.stamp is set. The first OnTime starts the machine.
  MembershipMachine(MembershipOptions options,
                    DatagramCodec codec,
                    std::mt19937_64 random);

  std::vector<MembershipEffect> Handle(const MembershipEvent& event,
                                       TimePoint now);
  // Does all that is due at `now`.
  std::vector<MembershipEffect> OnTime(TimePoint now);
  // When OnTime must be called next. It is called at this time or soon after;
  // a call later than pause_limit is taken for a pause of this proxy.
  TimePoint NextWakeup() const;

  const NodeInfo& self() const { return m_options.self; }
  uint64_t incarnation() const { return m_incarnation; }
  FleetView view(TimePoint now) const;
  // Returns what is known of a VM, also of a removed one.
  std::optional<Member> Find(const VmName& vm) const;
  // Memory of the tables, in bytes, without allocator overhead.
  size_t StateBytes() const;
  // Payloads dropped for an unknown receiver or for their size.
  uint64_t dropped_payloads() const { return m_dropped_payloads; }

 private:
  struct OutstandingProbe {
    Member target;
    TimePoint indirect_at;
    TimePoint fails_at;
    bool indirect_sent = false;
    // Counts from 1; only contacts get more than one.
    size_t attempt = 1;
  };
  // A probe on behalf of another proxy.
  struct RelayedProbe {
    PeerAddress asker;
    uint64_t asker_sequence = 0;
    TimePoint forget_at;
  };
  struct Suspicion {
    TimePoint started;
    TimePoint remove_at;
    TimePoint next_probe;
  };
  // Reading the members of the zone from a peer, page by page.
  // A request for the members of the zone is repeated after this time.
  static constexpr Duration kSyncRetry = std::chrono::milliseconds(150);

  struct Sync {
    bool active = false;
    VmName after;
    PeerAddress peer;
    TimePoint retry_at;
    size_t attempts = 0;
  };
  using Effects = std::vector<MembershipEffect>;

  void Start(TimePoint now);
  void NoticePause(TimePoint now, Effects& effects);
  void OnDatagram(const DatagramReceived& event,
                  TimePoint now,
                  Effects& effects);
  void MergeRumor(const Member& rumor,
                  const NodeInfo& source,
                  TimePoint now,
                  Effects& effects);
  void OnSender(const Datagram& datagram, TimePoint now, Effects& effects);
  void OnAnswer(const Datagram& datagram, TimePoint now, Effects& effects);
  void RotateContact(const Datagram& datagram, TimePoint now, Effects& effects);
  // Probes all contacts of another zone at once, because one of them did not
  // answer here or, as its request for help shows, at another proxy of this
  // zone. So a lost zone is known long before a round over all contacts ends.
  void CheckZone(const ZoneName& zone, TimePoint now, Effects& effects);
  // A proxy of a third zone named a member of a zone of which all contacts were
  // lost. It becomes a contact only by its own answer; proxies that lag behind
  // would otherwise bring the members of a lost zone back.
  void AskSilentZone(const Member& member, TimePoint now, Effects& effects);
  void OnProbe(const Datagram& datagram, TimePoint now, Effects& effects);
  void OnIndirectProbeRequest(const Datagram& datagram,
                              TimePoint now,
                              Effects& effects);
  void OnSyncRequest(const Datagram& datagram, Effects& effects);
  void OnSyncPage(const Datagram& datagram, TimePoint now, Effects& effects);
  void CompareZones(const Datagram& datagram, TimePoint now, Effects& effects);
  void OnHints(const PeerHints& hints, TimePoint now);
  void OnPayload(const SendPayload& payload, Effects& effects);

  // Merges a statement. It is passed on if `spread` is true, which is so unless
  // it was read from a page of members that the zone knows already.
  void Merge(const Member& statement,
             bool spread,
             TimePoint now,
             Effects& effects);
  void MergeZoneMember(const Member& statement,
                       bool spread,
                       TimePoint now,
                       Effects& effects);
  void MergeForeign(const Member& statement, TimePoint now, Effects& effects);
  void Refute(const Member& statement);
  void StartSuspicion(const Member& member, TimePoint now, Effects& effects);
  void TellOtherZones(Effects& effects);
  // True when this proxy is among those that tell `zone` of the removal.
  bool TellsZone(const VmName& removed, const ZoneName& zone) const;
  // Tells all contacts of the zones that fall to this proxy.
  void TellRemoval(const Member& statement, Effects& effects);
  void FinishJoin(bool found_peers, Effects& effects);

  void RunSync(TimePoint now, Effects& effects);
  // After a pause in which no member of the zone answered: each must answer now
  // or is removed, before this proxy takes part again.
  void VerifyZone(TimePoint now, Effects& effects);
  void RunOutstanding(TimePoint now, Effects& effects);
  void RunSuspicions(TimePoint now, Effects& effects);
  void RunProbes(TimePoint now, Effects& effects);
  void RunGossip(TimePoint now, Effects& effects);
  // Returns the next name of a shuffled round over `members`.
  std::optional<Member> NextInRound(std::vector<VmName>& round, bool in_zone);
  void ProbeLostPeer(TimePoint now, Effects& effects);
  void SendProbe(const Member& target,
                 size_t attempt,
                 TimePoint now,
                 Effects& effects);
  // A probe whose answer is not awaited.
  void SendGreeting(const NodeInfo& target, Effects& effects);
  void SendIndirect(uint64_t sequence,
                    const OutstandingProbe& probe,
                    Effects& effects);
  void OnProbeFailed(const Member& target,
                     size_t attempt,
                     TimePoint now,
                     Effects& effects);
  void TellEveryone(Effects& effects);
  void Send(const NodeInfo& to, Datagram datagram, Effects& effects);
  Datagram NewDatagram() const;
  Member SelfStatement() const;
  uint64_t ZoneHash() const;
  Duration SuspicionTime() const;
  size_t RumorLimit() const;
  // Members that vanished and hinted peers that are not known, as far as their
  // zones want them. `urgent` is set when a zone has nobody else.
  std::vector<NodeInfo> MissingPeers(bool& urgent) const;
  Duration RandomPart(Duration whole);

  MembershipOptions m_options;
  DatagramCodec m_codec;
  std::mt19937_64 m_random;
  uint64_t m_incarnation = 0;
  bool m_leaving = false;
  bool m_left = false;
  bool m_joined = false;

  MemberTable m_table;
  RumorQueue m_rumors;
  std::map<uint64_t, OutstandingProbe> m_outstanding;
  std::map<uint64_t, RelayedProbe> m_relayed;
  std::map<VmName, Suspicion> m_suspicions;
  std::vector<NodeInfo> m_hints;
  uint64_t m_last_sequence = 0;
  std::vector<VmName> m_probe_round;
  std::vector<VmName> m_contact_round;
  // Contacts that were named by a proxy of a third zone. They are exchanged for
  // one that their own zone names, because proxies that start together would
  // otherwise all burden the same contacts.
  std::set<VmName> m_second_hand;
  // When the contacts of a zone may be checked again.
  std::map<ZoneName, TimePoint> m_zone_checks;
  TimePoint m_next_silent_zone;
  Sync m_sync;
  // Peers in a row whose hash of the zone differed.
  size_t m_different_hashes = 0;

  bool m_started = false;
  TimePoint m_last_run;
  // When OnTime was due, but not before the last event: a statement that comes
  // in makes gossip due at a time that may be long past.
  TimePoint m_expected_run;
  // When a peer last answered a probe of this proxy.
  TimePoint m_last_answer;
  // All peers stopped answering; set until one answers again.
  bool m_isolated = false;
  // Until then the view is not trusted, because this proxy was isolated.
  TimePoint m_cut_off_until;
  TimePoint m_next_probe;
  TimePoint m_next_contact_probe;
  TimePoint m_next_lost_probe;
  TimePoint m_next_gossip;
  TimePoint m_next_repair;
  TimePoint m_join_deadline;
  bool m_verifying = false;
  uint64_t m_dropped_payloads = 0;
};

}  // namespace jackdawturn::fleet
