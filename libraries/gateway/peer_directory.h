#pragma once

#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "gateway/gateway_types.h"

namespace jackdawturn::gateway {

// A proxy as it describes itself in the store.
struct Peer {
  VmName name;
  ZoneName zone;
  // Where it serves statements for other proxies.
  std::string relay_address;
  // Its share of the holders' work, in proportion to its processor time.
  double weight = 1;
  // It is shutting down and takes no new work.
  bool leaving = false;
  // Differs between two runs of the process.
  uint64_t incarnation = 0;
};

// Reads the record of a peer. Errors: kInvalidArgument. Thread-safe.
Result<Peer> DecodePeer(const std::string& name, const std::string& body);
// Returns the body of a peer's record. Thread-safe.
std::string EncodePeer(const Peer& peer);

// What a proxy expects of the proxy that it relays a database's statements to.
struct RelayDestination {
  VmName peer;
  std::string database;
  // The configuration's version since which the database's route is as it is.
  uint64_t route_version = 0;

  // The text that stands for it when a connection is opened.
  InstanceName ToInstanceName() const;
  // Errors: kInvalidArgument. Thread-safe.
  static Result<RelayDestination> Parse(const std::string& text);
};

// Returns the peer as a server to which a database's statements are relayed.
// Thread-safe.
BackendServer MakeRelayServer(const Peer& peer,
                              const std::string& database,
                              uint64_t route_version);

// The proxies of the fleet, and which of them hold the connections to a group.
// An instance takes few connections; when the fleet is so large that a proxy
// would get fewer than two, one proxy in each zone holds them for the others.
// Load pattern: many proxies with little traffic each, a holder that dies or
// falls silent. Thread safety: not thread-safe.
class PeerDirectory {
 public:
  // A peer that failed is passed over for this time, which doubles with each
  // further failure up to 32 times as long.
  static constexpr Duration kSuspectTime = std::chrono::milliseconds(1'500);

  PeerDirectory(VmName self, ZoneName zone);

  // The store's whole content.
  void Replace(std::vector<Peer> peers);
  void Update(const Peer& peer);
  void Remove(const VmName& name);

  // The peer did not answer.
  void Suspect(const VmName& name, TimePoint now);
  void Answered(const VmName& name);

  // Returns whether holders serve a group whose instances take this many
  // connections.
  bool RequiresRelaying(size_t instance_connections) const;
  // Returns whether this proxy holds connections to the group.
  bool Holds(const GroupName& group, size_t instance_connections);
  // Returns how many connections to one instance this proxy may have; 0: no
  // limit but the instance's own.
  size_t ConnectionLimit(const GroupName& group, size_t instance_connections);

  // Returns the proxy that statements of the group are relayed to, or null
  // when this proxy is to serve them by itself. Precondition: RequiresRelaying.
  const Peer* ChooseHolder(const GroupName& group,
                           const std::set<VmName>& avoided,
                           TimePoint now);

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

  // The names of the group's holders of one zone, the preferred one first.
  using Order = std::vector<VmName>;

  // The holders of each zone, this proxy's zone first.
  const std::vector<Order>& HoldersOf(const GroupName& group);
  bool Usable(const VmName& name, TimePoint now) const;
  // Brings what was computed from m_peers up to date; called after each change.
  void PeersChanged();

  const VmName m_self;
  const ZoneName m_zone;
  std::map<VmName, Peer> m_peers;
  // Peers that are not leaving. Every statement asks for it.
  size_t m_present = 0;
  std::map<VmName, Suspicion> m_suspicions;
  // Computed from m_peers when it is asked for.
  std::map<GroupName, std::vector<Order>> m_holders;
};

}  // namespace jackdawturn::gateway
