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

// Proxies that may exist, from the settings or the platform's VM list. They are
// contacted, but become members only by answering. `vm` and `zone` of a node
// may be empty.
struct PeerHints {
  std::vector<NodeInfo> nodes;
};

// Sends a message of another state machine to a present member. A message to an
// unknown member, or one that does not fit into a datagram, is dropped and
// counted.
struct SendPayload {
  VmName to;
  uint8_t channel = 0;
  std::string bytes;
};

// Announces that this proxy accepts no new work; it still answers.
struct AnnounceLeaving {};

// Announces that this proxy has shut down; no probe is sent afterwards.
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

// The state of a zone member or contact changed, or this proxy announced that
// it is leaving. view() returns the other members.
struct MemberChanged {
  Member member;
};

struct PayloadReceived {
  NodeInfo from;
  uint8_t channel = 0;
  std::string bytes;
};

// The zone's members were read from a peer, or no peer answered before the
// timeout. The other state machines start after this effect. Emitted once, and
// again after each pause.
struct Joined {
  bool found_peers = false;
};

// This proxy detected, by a gap between its own ticks, that it was not running.
// It must make no decision about other proxies until the next Joined.
struct PauseNoticed {
  Duration gap{};
};

// A datagram was rejected by the codec; the adapter counts these.
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
  // Should exceed the incarnation of every earlier process on this VM, for
  // example the wall clock in milliseconds. Peers correct a value that is too
  // low.
  uint64_t incarnation = 1;
  // Peers from the settings, contacted at start and whenever no other peer
  // answers.
  std::vector<NodeInfo> seeds;
  // Returns the timestamp for an outgoing datagram.
  std::function<ClockStamp()> stamp;
  // Receives the timestamp of each authentic datagram; may be empty.
  std::function<void(const ClockStamp&)> observe_stamp;

  // One member of the zone is probed per interval.
  Duration probe_interval = std::chrono::milliseconds(500);
  // One contact of another zone is probed per interval.
  Duration contact_interval = std::chrono::milliseconds(2'000);
  // Timeout of a probe before indirect probes are sent, and of these before
  // suspicion starts.
  Duration answer_timeout = std::chrono::milliseconds(150);
  // Minimum time from suspicion to removal. It grows with the logarithm of the
  // zone's size, as the time that a refutation takes to spread does.
  Duration suspicion_time = std::chrono::milliseconds(500);
  // Number of peers that are asked to probe on behalf of this proxy.
  size_t indirect_probes = 3;
  // Number of contacts per other zone.
  size_t contacts_per_zone = 2;
  // A tick delayed by more than this is treated as a pause of this proxy.
  Duration pause_limit = std::chrono::milliseconds(2'000);
  // Time for which a removed member is retained and probed periodically.
  Duration removed_retention = std::chrono::hours(2);
  // Timeout for an answer from a peer at start, after which the proxy joins
  // without one.
  Duration join_timeout = std::chrono::milliseconds(800);
};

// The membership as seen by the other state machines.
struct FleetView {
  // Present members of this zone excluding this proxy, ordered by name.
  std::vector<Member> zone;
  // Present contacts in other zones, ordered by zone and name.
  std::vector<Member> contacts;
  // Members of this zone that were removed by suspicion and are still retained.
  std::vector<VmName> dead_members;
  // True after this proxy announced that it is leaving.
  bool leaving = false;
  // False from start or a pause until Joined.
  bool joined = false;
  // Most known peers were lost within the last minute, so it is more likely
  // that this proxy is partitioned than that they are dead. It must not take
  // over their work.
  bool likely_partitioned = false;
};

// SWIM-style gossip membership of a zone, with suspicion and incarnation
// numbers, and a few contacts for each other zone. The number of messages per
// node does not depend on the size of the fleet. A wrong view costs performance
// only; no guarantee depends on it.
// Thread safety: not thread-safe; owned by the decision thread.
class MembershipMachine {
 public:
  // Precondition: options.stamp is set. The first OnTime starts the machine.
  MembershipMachine(MembershipOptions options,
                    DatagramCodec codec,
                    std::mt19937_64 random);

  std::vector<MembershipEffect> Handle(const MembershipEvent& event,
                                       TimePoint now);
  // Runs all timers that have expired at `now`.
  std::vector<MembershipEffect> OnTime(TimePoint now);
  // Returns when OnTime must be called next. A call that is later than this
  // time by more than pause_limit is treated as a pause of this proxy.
  TimePoint NextWakeup() const;

  const NodeInfo& self() const { return m_options.self; }
  uint64_t incarnation() const { return m_incarnation; }
  FleetView view(TimePoint now) const;
  // Returns the latest statement about a VM, including a removed one.
  std::optional<Member> Find(const VmName& vm) const;
  // Returns the memory used by the tables in bytes, excluding allocator
  // overhead.
  size_t StateBytes() const;
  // Number of payloads dropped because of an unknown receiver or their size.
  uint64_t dropped_payloads() const { return m_dropped_payloads; }

 private:
  struct OutstandingProbe {
    Member target;
    TimePoint indirect_at;
    TimePoint fails_at;
    bool indirect_sent = false;
    // Starts at 1; only contacts get more than one attempt.
    size_t attempt = 1;
  };
  // A probe on behalf of another proxy.
  struct RelayedProbe {
    PeerAddress requester;
    uint64_t requester_sequence = 0;
    TimePoint forget_at;
  };
  struct Suspicion {
    TimePoint started;
    TimePoint remove_at;
    TimePoint next_probe;
  };
  // Retry interval of a request for the members of the zone.
  static constexpr Duration kSyncRetry = std::chrono::milliseconds(150);

  // Reading the members of the zone from a peer, page by page.
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
  // Probes all contacts of another zone immediately, because one of them did
  // not answer this proxy or another proxy of this zone, which sent a request
  // for an indirect probe. A lost zone is thus detected long before a round
  // over all contacts ends.
  void CheckZone(const ZoneName& zone, TimePoint now, Effects& effects);
  // Probes a member, named by a proxy of a third zone, of a zone whose contacts
  // were all lost. The member becomes a contact only when it answers; otherwise
  // proxies with outdated views would add the members of a lost zone again.
  void ProbeLostZone(const Member& member, TimePoint now, Effects& effects);
  void OnProbe(const Datagram& datagram, TimePoint now, Effects& effects);
  void OnIndirectProbeRequest(const Datagram& datagram,
                              TimePoint now,
                              Effects& effects);
  void OnSyncRequest(const Datagram& datagram, Effects& effects);
  void OnSyncPage(const Datagram& datagram, TimePoint now, Effects& effects);
  void CompareZones(const Datagram& datagram, TimePoint now, Effects& effects);
  void OnHints(const PeerHints& hints, TimePoint now);
  void OnPayload(const SendPayload& payload, Effects& effects);

  // Merges a statement and gossips it if `spread` is true. `spread` is false
  // for statements from a page of members, which the zone already has.
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
  void AnnounceSelfToOtherZones(Effects& effects);
  // Returns whether this proxy is among those that notify `zone` of the
  // removal.
  bool IsRemovalNotifier(const VmName& removed, const ZoneName& zone) const;
  // Notifies all contacts in the zones for which this proxy is a notifier.
  void NotifyRemoval(const Member& statement, Effects& effects);
  void FinishJoin(bool found_peers, Effects& effects);

  void RunSync(TimePoint now, Effects& effects);
  // Called when no member of the zone answered after a pause: each member must
  // answer or is removed before this proxy joins again.
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
  // Sends a probe without a timeout for its answer.
  void SendUntrackedProbe(const NodeInfo& target, Effects& effects);
  void SendIndirect(uint64_t sequence,
                    const OutstandingProbe& probe,
                    Effects& effects);
  void OnProbeFailed(const Member& target,
                     size_t attempt,
                     TimePoint now,
                     Effects& effects);
  void AnnounceSelf(Effects& effects);
  void Send(const NodeInfo& to, Datagram datagram, Effects& effects);
  Datagram NewDatagram() const;
  Member SelfStatement() const;
  uint64_t ZoneHash() const;
  Duration SuspicionTime() const;
  size_t RumorLimit() const;
  // Returns removed members and unknown hinted peers whose zones need more
  // members or contacts. Sets `urgent` when one of these zones has no present
  // member.
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
  // Contacts that were named by a proxy of a third zone. They are replaced by
  // one that their own zone names, because proxies that start together would
  // otherwise all load the same contacts.
  std::set<VmName> m_third_party_contacts;
  // When the contacts of a zone may be checked again.
  std::map<ZoneName, TimePoint> m_zone_checks;
  TimePoint m_next_lost_zone_probe;
  Sync m_sync;
  // Number of consecutive peers whose zone hash differed.
  size_t m_different_hashes = 0;

  bool m_started = false;
  TimePoint m_last_run;
  // When OnTime was due, but not before the last event: a received statement
  // makes gossip due at a time that may be long past.
  TimePoint m_expected_run;
  // Time of the last answer to a probe of this proxy.
  TimePoint m_last_answer;
  // True from when all peers became unresponsive until one answers.
  bool m_isolated = false;
  // Sync requests are not answered before this time, because the view of this
  // proxy is not trusted after an isolation.
  TimePoint m_view_untrusted_until;
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
