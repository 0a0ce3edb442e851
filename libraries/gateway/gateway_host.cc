#include "gateway/gateway_host.h"

#include <algorithm>
#include <set>
#include <utility>

namespace jackdawturn::gateway {

namespace {

using namespace std::chrono_literals;  // NOLINT(google-build-using-namespace)

constexpr Duration kTickInterval = 100ms;
constexpr uint64_t kTicksBetweenSweeps = 2;
constexpr uint64_t kTicksBetweenRecords = 10;
// Proxies that see the same reason start one after the other within this time.
constexpr Duration kStartSpread = 150ms;
constexpr Duration kRetryAfterOther = 1s;
constexpr Duration kRetryAfterFailure = 300ms;
// A promotion that the registry does not show yet looks like a missing primary.
constexpr Duration kMissingPrimaryTime = 500ms;
// A new primary is not replaced sooner, so that proxies that see different
// parts of the network do not replace each other's choice.
constexpr Duration kShortestLead = 3s;
// Between two changes that only make room for reads, so that a group whose
// instances are all slow is not changed over and over.
constexpr Duration kReliefInterval = 10s;
constexpr Duration kReliefRetry = 1s;
// Proxies that do not hold a group's connections leave it to the holders to
// change its primary, unless these do nothing for this long; they then start
// one after the other.
constexpr Duration kObserverPatience = 1'200ms;
constexpr Duration kObserverSpread = 2s;
// A list of peers that is this old costs a detour, nothing else.
constexpr Duration kPeerWatchWait = 10s;
// A change of primary changes two entries at a time, and both must be known at
// once; after an outage, entries of all instances come back one by one.
constexpr unsigned kPromptServerAnswers = 2;
constexpr Duration kServerSettleTime = 300ms;
constexpr Duration kPeerSettleTime = 1s;
constexpr Duration kPeerOpenTimeout = 150ms;
constexpr Duration kPeerIdleTime = 5s;
constexpr Duration kZoneProbeTimeout = 200ms;
constexpr size_t kPeerOpens = 8;
// JSON numbers keep 53 bits.
constexpr uint64_t kIncarnationMask = (uint64_t{1} << 52) - 1;

}  // namespace

GatewayHost::GatewayHost(Options options, Ports ports, GatewayLog& log)
    : m_options(std::move(options)),
      m_ports(std::move(ports)),
      m_peers(m_options.name, m_options.zone),
      m_pool(m_ports.timers, m_ports.open, PoolOptions()),
      m_peer_pool(m_ports.timers, m_ports.open, PeerPoolOptions()),
      m_log(log),
      m_context{.timers = m_ports.timers,
                .pool = m_pool,
                .peer_pool = m_peer_pool,
                .peers = m_peers,
                .directory = m_directory,
                .log = m_log,
                .zone = m_options.zone},
      m_configuration_sync(
          m_ports.store,
          m_ports.timers,
          m_store_retries,
          RecordCollection::kConfiguration,
          m_options.seed + 1,
          {[this](const RecordList& list) { ConfigurationListed(list); },
           [this](const RecordChange& change) {
             if (!change.removed)
               ConfigurationChanged(change.record);
           },
           [this](const Error* lost) { StoreContact("configuration", lost); }},
          {.wait = m_options.configuration_wait}),
      m_servers_sync(
          m_ports.store,
          m_ports.timers,
          m_store_retries,
          RecordCollection::kServers,
          m_options.seed + 2,
          {[this](const RecordList& list) { ServersListed(list); },
           [this](const RecordChange& change) { ServerChanged(change); },
           [this](const Error* lost) { StoreContact("servers", lost); }},
          {.wait = m_options.servers_wait,
           .settle = kServerSettleTime,
           .prompt_answers = kPromptServerAnswers}),
      m_peers_sync(m_ports.store,
                   m_ports.timers,
                   m_store_retries,
                   RecordCollection::kPeers,
                   m_options.seed + 3,
                   {[this](const RecordList& list) { PeersListed(list); },
                    [this](const RecordChange& change) { PeerChanged(change); },
                    [this](const Error* lost) { StoreContact("peers", lost); }},
                   {.wait = kPeerWatchWait, .settle = kPeerSettleTime}),
      m_registration(m_ports.store,
                     m_ports.timers,
                     log,
                     {.name = m_options.name,
                      .zone = m_options.zone,
                      .relay_address = m_options.relay_address,
                      .weight = m_options.weight,
                      .incarnation = m_options.seed & kIncarnationMask},
                     m_options.seed + 4),
      m_member_records(m_ports.store, m_ports.timers, log, m_options.seed + 5),
      m_random(m_options.seed) {}

void GatewayHost::Start() {
  m_configuration_sync.Start();
  m_servers_sync.Start();
  m_peers_sync.Start();
  Tick();
}

bool GatewayHost::ready() const {
  return m_context.deployment && m_servers_known && !m_draining &&
         !m_context.isolation.since();
}

void GatewayHost::Drain() {
  m_draining = true;
  m_registration.Leave();
  m_log.Belief(EventKind::kProcess, GroupName(), "drain", "", {});
}

void GatewayHost::WhenConfigured(std::function<void()> action) {
  if (m_context.deployment)
    return action();
  m_awaiting_configuration.push_back(std::move(action));
}

std::shared_ptr<ClientSession> GatewayHost::OpenSession(
    const std::string& database,
    ClientSession::OnReply on_reply) {
  VERIFY(m_context.deployment);
  if (!m_context.deployment->FindRoute(database))
    return nullptr;
  return ClientSession::Create(
      m_context, database, ClientSession::Origin::kClient, std::move(on_reply));
}

Result<std::shared_ptr<ClientSession>> GatewayHost::OpenRelayedSession(
    const RelayTarget& target,
    ClientSession::OnReply on_reply) {
  VERIFY(m_context.deployment);
  if (target.peer != m_options.name)
    return Failure(ErrorCode::kNotFound, "relay.open", target.peer.value(),
                   "another proxy is here");
  if (target.route_version > m_context.deployment->version)
    return Failure(ErrorCode::kExhausted, "relay.open", target.peer.value(),
                   "the configuration is older than the route");
  if (!m_context.deployment->FindRoute(target.database))
    return Failure(ErrorCode::kNotFound, "relay.open", target.peer.value(),
                   "no such database");
  return ClientSession::Create(m_context, target.database,
                               ClientSession::Origin::kPeer,
                               std::move(on_reply));
}

void GatewayHost::ConfigurationListed(const RecordList& list) {
  for (const StoredRecord& record : list.records)
    ConfigurationChanged(record);
}

void GatewayHost::ConfigurationChanged(const StoredRecord& record) {
  auto decoded = m_ports.decode_deployment(record);
  if (!decoded) {
    m_log.Belief(EventKind::kTargets, GroupName(), "refused", record.name,
                 {{"error", decoded.error().message}});
    return;
  }
  // A version that was in force never comes back.
  if (m_context.deployment &&
      decoded.value().version <= m_context.deployment->version)
    return;
  for (auto& [database, route] : decoded.value().routes)
    route.since_version = decoded.value().version;
  if (m_context.deployment)
    decoded.value().ContinueFrom(*m_context.deployment);
  m_context.deployment =
      std::make_shared<const Deployment>(std::move(decoded.value()));
  m_log.Belief(
      EventKind::kTargets, GroupName(), "in_force", record.name,
      {{"version", std::to_string(m_context.deployment->version)},
       {"revision", std::to_string(record.revision)},
       {"routes", std::to_string(m_context.deployment->routes.size())}});
  for (const auto& action : std::exchange(m_awaiting_configuration, {}))
    action();
}

void GatewayHost::ServersListed(const RecordList& list) {
  std::set<InstanceName> unlisted = m_directory.Known();
  size_t listed = 0;
  for (const StoredRecord& record : list.records) {
    const auto server = DecodeServer(record);
    if (!server)
      continue;
    ++listed;
    unlisted.erase(server->id);
    UpdateServer(*server);
  }
  for (const InstanceName& id : unlisted)
    ServerUnlisted(id, list.revision);
  m_servers_known = true;
  m_log.Belief(EventKind::kMembership, GroupName(), "listed", "",
               {{"instances", std::to_string(listed)},
                {"revision", std::to_string(list.revision)}});
}

void GatewayHost::ServerChanged(const RecordChange& change) {
  if (change.removed)
    return ServerUnlisted(InstanceName(change.record.name),
                          change.record.revision);
  if (const auto server = DecodeServer(change.record))
    UpdateServer(*server);
}

void GatewayHost::ServerUnlisted(const InstanceName& id, uint64_t revision) {
  m_log.Belief(EventKind::kMembership, GroupName(), "unlisted", id.value(),
               {{"revision", std::to_string(revision)}});
  const BackendServer* known = m_directory.Find(id);
  const GroupName group = known ? known->group : GroupName();
  m_directory.Remove(id, m_ports.timers.now());
  if (!m_directory.Find(id))
    ForgetServer(group, id);
}

std::optional<BackendServer> GatewayHost::DecodeServer(
    const StoredRecord& record) {
  auto server = m_ports.decode_server(record);
  if (server)
    return std::move(server.value());
  m_log.Belief(EventKind::kMembership, GroupName(), "bad_entry", record.name,
               {{"error", server.error().message}});
  return std::nullopt;
}

void GatewayHost::UpdateServer(const BackendServer& server) {
  const BackendServer* known = m_directory.Find(server.id);
  if (known && server.revision < known->revision)
    return;
  if (!known || known->role != server.role ||
      known->draining != server.draining || known->born != server.born) {
    m_log.Belief(
        EventKind::kMembership, server.group, "instance", server.id.value(),
        {{"role",
          server.role == ReplicationRole::kPrimary ? "primary" : "replica"},
         {"draining", server.draining ? "yes" : "no"},
         {"revision", std::to_string(server.revision)}});
  }
  if (known && known->born != server.born) {
    // Whatever it had received before is gone.
    m_context.progress.erase(server.id);
    m_context.watch.Forget(server.id);
    m_context.departures[server.group] = m_ports.timers.now();
  }
  m_directory.Update(server);
}

void GatewayHost::ForgetServer(const GroupName& group, const InstanceName& id) {
  m_log.Belief(EventKind::kMembership, group, "gone", id.value(), {});
  m_pool.Forget(id);
  m_context.watch.Forget(id);
  m_context.lag_watch.Forget(id);
  m_context.progress.erase(id);
  m_context.departures[group] = m_ports.timers.now();
}

std::optional<Peer> GatewayHost::DecodePeerRecord(const StoredRecord& record) {
  auto peer = DecodePeer(record.name, record.body);
  if (peer)
    return std::move(peer.value());
  m_log.Belief(EventKind::kMembership, GroupName(), "bad_peer", record.name,
               {{"error", peer.error().message}});
  return std::nullopt;
}

void GatewayHost::PeersListed(const RecordList& list) {
  std::vector<Peer> peers;
  const StoredRecord* own = nullptr;
  for (const StoredRecord& record : list.records) {
    if (record.name == m_options.name.value())
      own = &record;
    if (auto peer = DecodePeerRecord(record))
      peers.push_back(std::move(*peer));
  }
  m_log.Belief(EventKind::kMembership, GroupName(), "peers_listed", "",
               {{"peers", std::to_string(peers.size())},
                {"revision", std::to_string(list.revision)}});
  m_peers.Replace(std::move(peers));
  m_registration.Seen(own);
}

void GatewayHost::PeerChanged(const RecordChange& change) {
  const bool own = change.record.name == m_options.name.value();
  if (change.removed) {
    m_peers.Remove(VmName(change.record.name));
    if (own)
      m_registration.Seen(nullptr);
    return;
  }
  if (own)
    m_registration.Seen(&change.record);
  if (const auto peer = DecodePeerRecord(change.record))
    m_peers.Update(*peer);
}

BackendPool::Options GatewayHost::PoolOptions() {
  BackendPool::Options options;
  options.on_open_failed = [this](const BackendServer& server,
                                  const Error& error) {
    OpenFailed(server, error);
  };
  options.max_connections = [this](const BackendServer& server) {
    return m_peers.ConnectionLimit(server.group,
                                   m_context.ConnectionsOf(server.group));
  };
  options.keeps_idle = [this](const BackendServer& server) {
    return m_peers.Holds(server.group, m_context.ConnectionsOf(server.group));
  };
  return options;
}

BackendPool::Options GatewayHost::PeerPoolOptions() {
  BackendPool::Options options;
  options.open_timeout = kPeerOpenTimeout;
  options.idle_time = kPeerIdleTime;
  options.concurrent_opens = kPeerOpens;
  // Connections to proxies that no longer hold the group would stay for ever.
  options.keeps_idle = [](const BackendServer&) { return false; };
  return options;
}

Duration GatewayHost::ObserverDelay(const GroupName& group) {
  const size_t connections = m_context.ConnectionsOf(group);
  if (m_peers.Holds(group, connections))
    return Duration(0);
  return kObserverPatience + Jitter(kObserverSpread);
}

void GatewayHost::StoreContact(const char* collection, const Error* lost) {
  m_log.Belief(EventKind::kPlatform, GroupName(), lost ? "lost" : "regained",
               collection,
               lost ? GatewayLog::Fields{{"error", lost->message}}
                    : GatewayLog::Fields{});
}

void GatewayHost::Tick() {
  m_ports.timers.After(kTickInterval, [this] { Tick(); });
  if (m_servers_sync.in_contact()) {
    for (const BackendServer& server : m_directory.Expire(m_ports.timers.now()))
      ForgetServer(server.group, server.id);
  }
  if (++m_ticks % kTicksBetweenSweeps == 0) {
    m_pool.CloseIdle();
    m_peer_pool.CloseIdle();
  }
  CheckIsolation();
  if (!m_context.deployment)
    return;
  for (const auto& [group, limits] : m_context.deployment->groups)
    CheckGroup(group);
}

void GatewayHost::CheckIsolation() {
  const TimePoint now = m_ports.timers.now();
  ZoneIsolation& isolation = m_context.isolation;
  const bool before = isolation.since().has_value();
  const auto sign =
      m_context.reach.Check(m_directory.OutsideZone(m_options.zone), now);
  if (sign == ZoneReach::Sign::kIsolated)
    isolation.Confirm(now);
  else if (sign == ZoneReach::Sign::kReached)
    isolation.Connected();
  else if (sign == ZoneReach::Sign::kFailing || !m_servers_sync.in_contact())
    isolation.Suspect(now);
  if (isolation.BeginRound(now))
    ProbeOtherZones();
  const bool isolated = isolation.since().has_value();
  if (isolated != before)
    m_log.Belief(EventKind::kMembership, GroupName(),
                 isolated ? "zone_isolated" : "zone_connected",
                 m_options.zone.value(), {});
}

void GatewayHost::ProbeOtherZones() {
  struct Round {
    size_t awaited = 0;
    bool reached = false;
  };
  const auto peers = m_peers.OneOfEachOtherZone(m_random);
  const auto round = std::make_shared<Round>();
  round->awaited = peers.size();
  const std::string database = m_context.deployment && !peers.empty()
                                   ? m_context.deployment->AnyDatabase()
                                   : "";
  // Without a proxy to ask, only the instances tell.
  if (database.empty())
    return m_context.isolation.RoundEnded(
        m_context.reach.Check(m_directory.OutsideZone(m_options.zone),
                              m_ports.timers.now()) !=
            ZoneReach::Sign::kIsolated,
        m_ports.timers.now());
  for (const Peer* peer : peers) {
    m_peer_pool.Probe(
        RelayServer(*peer, database, 0), kZoneProbeTimeout,
        [this, round](const Result<void>& answer) {
          // A peer that refuses can be reached as well.
          round->reached = round->reached || answer ||
                           answer.error().code == ErrorCode::kNotFound ||
                           answer.error().code == ErrorCode::kExhausted;
          if (--round->awaited > 0)
            return;
          if (round->reached)
            m_context.reach.ForgetFailures();
          m_context.isolation.RoundEnded(round->reached, m_ports.timers.now());
        });
  }
}

void GatewayHost::OpenFailed(const BackendServer& server, const Error& error) {
  const TimePoint now = m_ports.timers.now();
  if (error.code == ErrorCode::kTimeout ||
      error.code == ErrorCode::kUnavailable)
    m_context.reach.Failed(server.id, now);
  if (error.code == ErrorCode::kTimeout)
    m_context.watch.OpenTimedOut(server.id, now);
  else if (error.code == ErrorCode::kUnavailable)
    m_context.watch.Refused(server.id, now);
}

std::optional<GatewayHost::ChangeReason> GatewayHost::FindReason(
    const GroupName& group) const {
  if (m_directory.All(group).empty())
    return std::nullopt;
  const BackendServer* primary = m_directory.Primary(group);
  if (!primary)
    return ChangeReason{PrimaryChange::Kind::kFailure, "no_primary",
                        kMissingPrimaryTime};
  if (primary->draining)
    return ChangeReason{PrimaryChange::Kind::kPlanned, "draining", {}};
  if (const auto suspicion =
          m_context.watch.Check(primary->id, m_ports.timers.now()))
    return ChangeReason{
        PrimaryChange::Kind::kFailure, std::string(ToString(*suspicion)), {}};
  if (ReliefNeeded(group, *primary))
    return ChangeReason{PrimaryChange::Kind::kRelief, "replicas_behind", {}};
  return std::nullopt;
}

bool GatewayHost::ReliefNeeded(const GroupName& group,
                               const BackendServer& primary) const {
  const TimePoint now = m_ports.timers.now();
  const auto state = m_groups.find(group);
  if (state != m_groups.end() && now < state->second.next_relief)
    return false;
  std::vector<InstanceName> replicas;
  for (const BackendServer* server : m_directory.Serving(group)) {
    if (server->id != primary.id)
      replicas.push_back(server->id);
  }
  return m_context.lag_watch.ReliefNeeded(group, replicas, now);
}

void GatewayHost::NotePrimary(const GroupName& group, GroupState& state) {
  const BackendServer* primary = m_directory.Primary(group);
  if (!primary || primary->id == state.primary)
    return;
  // What was seen of it in another role says nothing of it as a primary.
  m_context.watch.Forget(primary->id);
  m_context.lag_watch.Forget(primary->id);
  if (!state.primary.empty()) {
    state.primary_since = m_ports.timers.now();
    state.next_relief = state.primary_since + kReliefInterval;
  }
  state.primary = primary->id;
}

void GatewayHost::RecordMembers(const GroupName& group) {
  if (!m_servers_sync.in_contact())
    return;
  const auto departure = m_context.departures.find(group);
  // A position of an earlier primary says nothing of the present one's term.
  const TimePoint since =
      std::max(departure == m_context.departures.end() ? m_context.started
                                                       : departure->second,
               m_groups[group].primary_since);
  const auto required = m_context.positions[group].Covering(since);
  if (!required)
    return;
  const BackendServer* primary = m_directory.Primary(group);
  GroupMembers members;
  members.primary = primary->id;
  members.term = required->term;
  bool covered = false;
  for (const BackendServer* server : m_directory.All(group)) {
    members.born[server->id] = server->born;
    const auto progress = m_context.progress.find(server->id);
    covered =
        covered ||
        (server->id != primary->id && progress != m_context.progress.end() &&
         progress->second.applied.value_or(CommitPosition{}) >= *required);
  }
  if (covered)
    m_member_records.Verified(group, members);
}

void GatewayHost::CheckGroup(const GroupName& group) {
  GroupState& state = m_groups[group];
  const TimePoint now = m_ports.timers.now();
  NotePrimary(group, state);
  const auto reason = FindReason(group);
  if (!reason) {
    state.reason_since.reset();
    if (m_ticks % kTicksBetweenRecords == 0)
      RecordMembers(group);
    return;
  }
  if (!state.reason_since) {
    state.reason_since = now;
    state.next_change = std::max(
        {state.next_change, state.primary_since + kShortestLead,
         now + reason->patience + Jitter(kStartSpread) + ObserverDelay(group)});
  }
  if (state.change || now < state.next_change)
    return;
  StartChange(group, *reason);
}

void GatewayHost::StartChange(const GroupName& group,
                              const ChangeReason& reason) {
  const BackendServer* primary = m_directory.Primary(group);
  PrimaryChange::Options options;
  options.group = group;
  options.kind = reason.kind;
  options.reason = reason.text;
  if (primary)
    options.old_primary = primary->id;
  options.holder = m_options.name;
  options.attempt = m_options.name.value() + "-" +
                    std::to_string(m_options.seed) + "-" +
                    std::to_string(++m_attempts);
  GroupState& state = m_groups[group];
  state.next_relief = m_ports.timers.now() + kReliefRetry;
  state.change = PrimaryChange::Create(
      m_context,
      {m_ports.store, m_ports.promote, m_ports.open, m_ports.read_status},
      std::move(options), [this, group](PrimaryChange::Outcome outcome) {
        ChangeEnded(group, outcome);
      });
  state.change->Start();
}

void GatewayHost::ChangeEnded(const GroupName& group,
                              PrimaryChange::Outcome outcome) {
  GroupState& state = m_groups[group];
  const bool other = outcome == PrimaryChange::Outcome::kOtherHolder;
  state.next_change = m_ports.timers.now() +
                      (other ? kRetryAfterOther : kRetryAfterFailure) +
                      Jitter(kStartSpread);
  state.reason_since.reset();
  if (outcome == PrimaryChange::Outcome::kFalseAlarm) {
    if (const BackendServer* primary = m_directory.Primary(group))
      m_context.watch.Forget(primary->id);
  }
  // The change may still be on the stack.
  m_ports.timers.After(Duration(0),
                       [this, group] { m_groups[group].change.reset(); });
}

Duration GatewayHost::Jitter(Duration longest) {
  return Duration(
      std::uniform_int_distribution<int64_t>(0, longest.count())(m_random));
}

}  // namespace jackdawturn::gateway
