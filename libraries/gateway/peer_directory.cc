#include "gateway/peer_directory.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <utility>

#include <boost/json.hpp>

namespace jackdawturn::gateway {

namespace {

constexpr const char* kStep = "peers.decode";
// A proxy with fewer connections to an instance than this cannot run two
// statements there at a time.
constexpr size_t kMinConnectionsPerProxy = 2;
// Number of proxies of one zone that are tried in turn as holder of a group.
constexpr size_t kHolderCandidatesPerZone = 3;
// 1/kReservedDivisor of an instance's connections is reserved for primary
// changes and for proxies that find no holder.
constexpr size_t kReservedDivisor = 8;
constexpr unsigned kMaxDoublings = 5;
// In a smaller zone, the calls saved do not outweigh the dependence on another
// proxy.
constexpr size_t kMinSharingPeers = 6;
// Ranks the proxies that may watch the store for their zone. No group has this
// name.
const GroupName kWatchKey(" watch");
// Ranks the proxies that may grant permits apart from those that may hold
// connections to a group of the same name.
constexpr const char* kGrantKeyPrefix = " limit ";
// Number of proxies of one zone that are tried in turn as grantor.
constexpr size_t kGrantCandidates = 8;
constexpr char kSeparator = '/';

// Weighted rendezvous hashing: the peer with the highest score is preferred,
// for a share of the keys that is proportional to its weight.
double RendezvousScore(const Peer& peer, const std::string& key) {
  constexpr double kHashRange = 18446744073709551616.0;
  const auto hash =
      static_cast<double>(RendezvousWeight(key, peer.name.value()));
  return -peer.weight / std::log((hash + 0.5) / kHashRange);
}

}  // namespace

double HolderWeight(double processor_share) {
  constexpr double kExponent = 3;
  return std::pow(processor_share, kExponent);
}

Result<Peer> DecodePeer(const std::string& name, const std::string& body) {
  TRY(const boost::json::value value, ParseJson(body, kStep));
  TRY(const JsonFields fields, JsonFields::Create(value, kStep));
  Peer peer;
  peer.name = VmName(name);
  TRY(const std::string zone, fields.String("zone"));
  peer.zone = ZoneName(zone);
  TRY(peer.relay_address, fields.String("relay_address"));
  TRY(peer.leaving, fields.Boolean("leaving"));
  TRY(peer.incarnation, fields.Number("incarnation"));
  TRY(peer.records_address, fields.StringOr("records_address", ""));
  const auto* weight = fields.object().if_contains("weight");
  if (!weight || !weight->is_number() || weight->to_number<double>() <= 0)
    return Failure(ErrorCode::kInvalidArgument, kStep, name,
                   "weight: expected a positive number");
  peer.weight = weight->to_number<double>();
  return peer;
}

std::string EncodePeer(const Peer& peer) {
  return boost::json::serialize(
      boost::json::object{{"zone", peer.zone.value()},
                          {"relay_address", peer.relay_address},
                          {"weight", peer.weight},
                          {"records_address", peer.records_address},
                          {"leaving", peer.leaving},
                          {"incarnation", peer.incarnation}});
}

InstanceName RelayDestination::ToInstanceName() const {
  return InstanceName(peer.value() + kSeparator +
                      std::to_string(route_version) + kSeparator + database);
}

Result<RelayDestination> RelayDestination::Parse(const std::string& text) {
  const size_t first = text.find(kSeparator);
  const size_t second =
      first == std::string::npos ? first : text.find(kSeparator, first + 1);
  if (second == std::string::npos)
    return Failure(ErrorCode::kInvalidArgument, kStep, "",
                   "expected PEER/VERSION/DATABASE");
  RelayDestination destination;
  destination.peer = VmName(text.substr(0, first));
  destination.database = text.substr(second + 1);
  const char* end = text.data() + second;
  const auto parsed =
      std::from_chars(text.data() + first + 1, end, destination.route_version);
  if (parsed.ec != std::errc() || parsed.ptr != end)
    return Failure(ErrorCode::kInvalidArgument, kStep, "",
                   "the route's version is not a number");
  return destination;
}

BackendServer MakeRelayServer(const Peer& peer,
                              const std::string& database,
                              uint64_t route_version) {
  BackendServer server;
  server.id =
      RelayDestination{peer.name, database, route_version}.ToInstanceName();
  server.group = GroupName(database);
  server.address = peer.relay_address;
  server.zone = peer.zone;
  server.incarnation = peer.incarnation;
  return server;
}

PeerDirectory::PeerDirectory(VmName self, ZoneName zone)
    : m_self(std::move(self)), m_zone(std::move(zone)) {}

void PeerDirectory::Replace(std::vector<Peer> peers) {
  m_peers.clear();
  for (Peer& peer : peers) {
    const VmName name = peer.name;
    m_peers.insert_or_assign(name, std::move(peer));
  }
  RefreshDerivedState();
}

void PeerDirectory::Update(const Peer& peer) {
  const Peer* known = Find(peer.name);
  // Failures of the previous run of the process do not apply to the new one.
  if (known && known->incarnation != peer.incarnation)
    m_suspicions.erase(peer.name);
  m_peers.insert_or_assign(peer.name, peer);
  RefreshDerivedState();
}

void PeerDirectory::Remove(const VmName& name) {
  m_peers.erase(name);
  m_suspicions.erase(name);
  RefreshDerivedState();
}

void PeerDirectory::RefreshDerivedState() {
  m_holders_by_group.clear();
  m_active_peers = static_cast<size_t>(
      std::count_if(m_peers.begin(), m_peers.end(),
                    [](const auto& entry) { return !entry.second.leaving; }));
  m_watchable_peers = static_cast<size_t>(
      std::count_if(m_peers.begin(), m_peers.end(), [this](const auto& entry) {
        const Peer& peer = entry.second;
        return !peer.leaving && peer.zone == m_zone &&
               !peer.records_address.empty();
      }));
  std::set<ZoneName> zones;
  for (const auto& [name, peer] : m_peers)
    zones.insert(peer.zone);
  zones.erase(m_zone);
  m_other_zones.assign(zones.begin(), zones.end());
}

void PeerDirectory::Suspect(const VmName& name, TimePoint now) {
  Suspicion& suspicion = m_suspicions[name];
  // Failures while the peer is already suspected count as one.
  if (suspicion.until > now)
    return;
  suspicion.until =
      now + kSuspectTime * (1 << std::min(suspicion.failures, kMaxDoublings));
  ++suspicion.failures;
}

void PeerDirectory::Answered(const VmName& name) {
  m_suspicions.erase(name);
}

bool PeerDirectory::Usable(const VmName& name, TimePoint now) const {
  const auto suspicion = m_suspicions.find(name);
  return suspicion == m_suspicions.end() || suspicion->second.until <= now;
}

bool PeerDirectory::RequiresRelaying(size_t instance_connections) const {
  return instance_connections > 0 &&
         m_active_peers * kMinConnectionsPerProxy > instance_connections;
}

const std::vector<PeerDirectory::HolderOrder>& PeerDirectory::HoldersByZone(
    const GroupName& group) {
  const auto known = m_holders_by_group.find(group);
  if (known != m_holders_by_group.end())
    return known->second;
  std::map<ZoneName, std::vector<std::pair<double, VmName>>> zones;
  for (const auto& [name, peer] : m_peers) {
    if (!peer.leaving)
      zones[peer.zone].emplace_back(RendezvousScore(peer, group.value()), name);
  }
  std::vector<HolderOrder> holders(1);
  for (auto& [zone, scored] : zones) {
    std::sort(scored.rbegin(), scored.rend());
    scored.resize(std::min(scored.size(), kHolderCandidatesPerZone));
    HolderOrder order;
    for (const auto& [score, name] : scored)
      order.push_back(name);
    if (zone == m_zone)
      holders.front() = std::move(order);
    else
      holders.push_back(std::move(order));
  }
  return m_holders_by_group[group] = std::move(holders);
}

bool PeerDirectory::Holds(const GroupName& group, size_t instance_connections) {
  if (!RequiresRelaying(instance_connections))
    return true;
  const HolderOrder& own_zone = HoldersByZone(group).front();
  return !own_zone.empty() && own_zone.front() == m_self;
}

size_t PeerDirectory::ConnectionLimit(const GroupName& group,
                                      size_t instance_connections) {
  if (!RequiresRelaying(instance_connections))
    return 0;
  if (!Holds(group, instance_connections))
    return kMinConnectionsPerProxy;
  const size_t shared =
      instance_connections - instance_connections / kReservedDivisor;
  return std::max(shared / HoldersByZone(group).size(),
                  kMinConnectionsPerProxy);
}

const Peer* PeerDirectory::ChooseHolder(const GroupName& group,
                                        const std::set<VmName>& avoided,
                                        TimePoint now) {
  for (const HolderOrder& zone : HoldersByZone(group)) {
    for (const VmName& name : zone) {
      // Candidates later in the order relay to this proxy.
      if (name == m_self)
        return nullptr;
      if (Usable(name, now) && !avoided.contains(name))
        return Find(name);
    }
  }
  return nullptr;
}

std::vector<Peer> PeerDirectory::PossibleHolders(const GroupName& group,
                                                 size_t instance_connections) {
  std::set<VmName> names;
  for (const auto& [name, peer] : m_peers) {
    // One that is leaving may still run statements.
    if (peer.leaving || !RequiresRelaying(instance_connections))
      names.insert(name);
  }
  if (RequiresRelaying(instance_connections)) {
    for (const HolderOrder& zone : HoldersByZone(group))
      names.insert(zone.begin(), zone.end());
  }
  names.erase(m_self);
  std::vector<Peer> holders;
  for (const VmName& name : names) {
    const Peer& peer = m_peers.at(name);
    if (!peer.records_address.empty())
      holders.push_back(peer);
  }
  return holders;
}

bool PeerDirectory::SharesWatches() const {
  return m_watchable_peers >= kMinSharingPeers;
}

const Peer* PeerDirectory::ChooseUpstream(TimePoint now) {
  for (const VmName& name : HoldersByZone(kWatchKey).front()) {
    // Only proxies earlier in the order are followed, so that no two proxies
    // follow each other.
    if (name == m_self)
      return nullptr;
    const Peer* peer = Find(name);
    if (Usable(name, now) && !peer->records_address.empty())
      return peer;
  }
  return nullptr;
}

std::vector<const Peer*> PeerDirectory::GrantCandidates(
    const ZoneName& zone,
    const CustomerName& customer,
    size_t count,
    const std::function<bool(const Peer&)>& accepted) const {
  const std::string key = kGrantKeyPrefix + customer.value();
  std::vector<std::pair<double, const Peer*>> scored;
  for (const auto& [name, peer] : m_peers) {
    if (peer.zone == zone && !peer.leaving && !peer.records_address.empty() &&
        accepted(peer))
      scored.emplace_back(RendezvousScore(peer, key), &peer);
  }
  const size_t kept = std::min(scored.size(), count);
  std::partial_sort(scored.begin(),
                    scored.begin() + static_cast<ptrdiff_t>(kept), scored.end(),
                    [](const auto& left, const auto& right) {
                      return left.first != right.first
                                 ? left.first > right.first
                                 : left.second->name > right.second->name;
                    });
  std::vector<const Peer*> candidates;
  for (size_t index = 0; index < kept; ++index)
    candidates.push_back(scored[index].second);
  return candidates;
}

const Peer* PeerDirectory::ChooseGrantor(const CustomerName& customer,
                                         TimePoint now) const {
  for (const Peer* peer : GrantCandidates(m_zone, customer, kGrantCandidates,
                                          [](const Peer&) { return true; })) {
    // Candidates later in the order ask this proxy.
    if (peer->name == m_self)
      return nullptr;
    if (Usable(peer->name, now))
      return peer;
  }
  return nullptr;
}

const Peer* PeerDirectory::ChooseGrantorOf(const ZoneName& zone,
                                           const CustomerName& customer,
                                           TimePoint now) const {
  for (const Peer* peer : GrantCandidates(zone, customer, kGrantCandidates,
                                          [](const Peer&) { return true; })) {
    if (Usable(peer->name, now))
      return peer;
  }
  return nullptr;
}

std::vector<VmName> PeerDirectory::GrantVoters(
    const CustomerName& customer) const {
  const auto not_lost = [this](const Peer& peer) {
    const auto suspicion = m_suspicions.find(peer.name);
    return suspicion == m_suspicions.end() ||
           suspicion->second.failures < kVoterLossFailures;
  };
  std::vector<VmName> voters;
  for (const Peer* peer :
       GrantCandidates(m_zone, customer, kGrantVoters, not_lost))
    voters.push_back(peer->name);
  return voters;
}

std::vector<const Peer*> PeerDirectory::OneOfEachOtherZone(
    std::mt19937_64& random) const {
  std::map<ZoneName, std::vector<const Peer*>> zones;
  for (const auto& [name, peer] : m_peers) {
    if (!peer.leaving && peer.zone != m_zone)
      zones[peer.zone].push_back(&peer);
  }
  std::vector<const Peer*> chosen;
  for (const auto& [zone, peers] : zones) {
    std::uniform_int_distribution<size_t> index(0, peers.size() - 1);
    chosen.push_back(peers[index(random)]);
  }
  return chosen;
}

bool PeerDirectory::SameZone(const VmName& name) const {
  const Peer* peer = Find(name);
  return peer && peer->zone == m_zone;
}

const Peer* PeerDirectory::Find(const VmName& name) const {
  const auto found = m_peers.find(name);
  return found == m_peers.end() ? nullptr : &found->second;
}

}  // namespace jackdawturn::gateway
