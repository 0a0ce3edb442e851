#pragma once

#include <functional>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "gateway/gateway_types.h"

namespace jackdawturn::gateway {

// A proxy's record in the store.
struct Peer {
  VmName name;
  ZoneName zone;
  // The address at which it accepts statements relayed by other proxies.
  std::string relay_address;
  // Its relative share of the groups to hold, in proportion to its processor
  // time.
  double weight = 1;
  // True when it is shutting down and accepts no new work.
  bool leaving = false;
  // The address at which it lets other proxies watch the collections of the
  // store; empty for a proxy that does not.
  std::string records_address;
  // Differs between runs of the process.
  uint64_t incarnation = 0;
};

// Returns the weight of a proxy for holding groups, by its share of a core.
// It grows faster than the share, because a holder carries the statements of a
// whole zone: a few large proxies should hold most groups beside many small
// ones. Precondition: processor_share > 0. Thread-safe.
double HolderWeight(double processor_share);

// Decodes a peer's record. Errors: kInvalidArgument. Thread-safe.
Result<Peer> DecodePeer(const std::string& name, const std::string& body);
// Returns the body of a peer's record. Thread-safe.
std::string EncodePeer(const Peer& peer);

// The proxy that a database's statements are relayed to, with the version of
// the route that it must have.
struct RelayDestination {
  VmName peer;
  std::string database;
  // The version of the configuration in which the database's route last
  // changed.
  uint64_t route_version = 0;

  // Returns the text form that is sent when a connection is opened.
  InstanceName ToInstanceName() const;
  // Parses the text form. Errors: kInvalidArgument. Thread-safe.
  static Result<RelayDestination> Parse(const std::string& text);
};

// Returns the peer as a server to which a database's statements are relayed.
// Thread-safe.
BackendServer MakeRelayServer(const Peer& peer,
                              const std::string& database,
                              uint64_t route_version);

// The proxies of the fleet, and which of them hold the connections to a group.
// An instance accepts few connections; when the fleet is so large that a proxy
// would get fewer than two, one proxy in each zone holds them and the others
// relay to it. Load pattern: many proxies with little traffic each, a holder
// that crashes or is unresponsive. Thread safety: not thread-safe.
class PeerDirectory {
 public:
  // A peer that failed is not chosen for this time, which doubles with each
  // further failure, up to 32 times as long.
  static constexpr Duration kSuspectTime = std::chrono::milliseconds(1'500);

  // With three voters, any two majorities share one, and one may be lost.
  static constexpr size_t kGrantVoters = 3;
  // With the time between failures, a loss of 22.5 s or longer. A partition
  // within a zone that lasts as long may give it two grantors.
  static constexpr unsigned kVoterLossFailures = 5;

  PeerDirectory(VmName self, ZoneName zone);

  // Replaces all peers by those listed in the store.
  void Replace(std::vector<Peer> peers);
  void Update(const Peer& peer);
  void Remove(const VmName& name);

  // Records that the peer did not answer.
  void Suspect(const VmName& name, TimePoint now);
  void Answered(const VmName& name);

  // Returns whether statements are relayed to holders for a group whose
  // instances accept this many connections.
  bool RequiresRelaying(size_t instance_connections) const;
  // Returns whether this proxy is the preferred holder of the group in its
  // zone, or no holder is required.
  bool Holds(const GroupName& group, size_t instance_connections);
  // Returns how many connections to one instance of the group this proxy may
  // open; 0: only the instance's own limit applies.
  size_t ConnectionLimit(const GroupName& group, size_t instance_connections);

  // Returns the proxy that statements of the group are relayed to, or null
  // when this proxy is to serve them itself. Precondition: RequiresRelaying.
  const Peer* ChooseHolder(const GroupName& group,
                           const std::set<VmName>& avoided,
                           TimePoint now);

  // Returns whether this zone has so many proxies that all but one watch the
  // collections of the store at another proxy.
  bool SharesWatches() const;
  // Returns the proxy of this zone to watch, or null when this proxy is to
  // watch the store.
  const Peer* ChooseUpstream(TimePoint now);

  // Returns the other proxies that may pass on commits of a group whose
  // instances accept this many connections: those that hold connections to it
  // or may do so if a holder fails.
  std::vector<Peer> PossibleHolders(const GroupName& group,
                                    size_t instance_connections);

  // Returns the proxy of this zone to ask for permits of a customer with a rate
  // limit, or null when this proxy is to grant them itself.
  const Peer* ChooseGrantor(const CustomerName& customer, TimePoint now) const;
  // Returns the proxy of another zone to ask, or null if none is usable.
  const Peer* ChooseGrantorOf(const ZoneName& zone,
                              const CustomerName& customer,
                              TimePoint now) const;
  // Returns the proxies of this zone that vote on who grants a customer's
  // permits, at most kGrantVoters of them. One that has not answered
  // kVoterLossFailures times is replaced as voter.
  std::vector<VmName> GrantVoters(const CustomerName& customer) const;
  // Returns the number of zones, from 1 on.
  size_t zone_count() const { return m_other_zones.size() + 1; }
  const std::vector<ZoneName>& other_zones() const { return m_other_zones; }

  // Returns one peer of each other zone that is not leaving, chosen at random.
  std::vector<const Peer*> OneOfEachOtherZone(std::mt19937_64& random) const;
  // Returns whether the peer is known and in this proxy's zone.
  bool SameZone(const VmName& name) const;

  // Returns the peer of that name, or null.
  const Peer* Find(const VmName& name) const;

 private:
  struct Suspicion {
    unsigned failures = 0;
    TimePoint until;
  };

  // The candidates of one zone for holding a group, the preferred one first.
  using HolderOrder = std::vector<VmName>;

  // Returns the candidates of each zone, this proxy's zone first.
  const std::vector<HolderOrder>& HoldersByZone(const GroupName& group);
  // Returns the proxies of a zone that may grant permits of a customer, the
  // preferred one first, at most `count` of those that `accepted` returns true
  // for.
  std::vector<const Peer*> GrantCandidates(
      const ZoneName& zone,
      const CustomerName& customer,
      size_t count,
      const std::function<bool(const Peer&)>& accepted) const;
  bool Usable(const VmName& name, TimePoint now) const;
  // Updates the state derived from m_peers; called after each change of it.
  void RefreshDerivedState();

  const VmName m_self;
  const ZoneName m_zone;
  std::map<VmName, Peer> m_peers;
  // The number of peers that are not leaving, cached because it is read for
  // every statement.
  size_t m_active_peers = 0;
  // Those of them in this proxy's zone that can be watched.
  size_t m_watchable_peers = 0;
  std::vector<ZoneName> m_other_zones;
  std::map<VmName, Suspicion> m_suspicions;
  // Cache, filled from m_peers on demand.
  std::map<GroupName, std::vector<HolderOrder>> m_holders_by_group;
};

}  // namespace jackdawturn::gateway
