#include "gateway/gateway_host.h"
#include "gateway/random_delay.h"

#include <algorithm>
#include <utility>

namespace jackdawturn::gateway {

namespace {

using namespace std::chrono_literals;  // NOLINT(google-build-using-namespace)

constexpr Duration kTickInterval = 100ms;
constexpr uint64_t kTicksBetweenIdleSweeps = 2;
// An outdated list of peers costs only a failed attempt or leads to a less
// suitable holder.
constexpr Duration kPeerWatchWait = 10s;
constexpr Duration kChangeWatchWait = 10s;
// A primary change updates two records, and both updates must be received
// immediately. After an outage, the records of all instances are updated one by
// one; those updates are coalesced.
constexpr unsigned kImmediateServerWatches = 2;
constexpr Duration kServerCoalesceDelay = 300ms;
constexpr Duration kPeerCoalesceDelay = 1s;
constexpr Duration kPeerOpenTimeout = 150ms;
constexpr Duration kPeerIdleTime = 5s;
constexpr Duration kZoneProbeTimeout = 200ms;
constexpr size_t kMaxConcurrentPeerOpens = 8;
// JSON numbers are exact only up to 53 bits.
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
      m_lease_renewal(m_context, m_ports.read_status),
      m_commit_confirmation(m_context, m_ports.read_status),
      m_watches(m_ports.store,
                m_peers,
                m_ports.timers,
                log,
                m_ports.watch_at_peer),
      m_configuration_sync(
          m_watches,
          m_ports.timers,
          m_store_retries,
          RecordCollection::kConfiguration,
          m_options.seed + 1,
          {[this](const RecordList& list) { ConfigurationListed(list); },
           [this](const RecordChange& change) {
             if (!change.removed)
               ConfigurationChanged(change.record);
           },
           [this](const Error* lost) {
             StoreReachabilityChanged("configuration", lost);
           },
           [this](Duration age) { StoreAnswered(age); }},
          {.wait = std::min(m_options.configuration_wait,
                            StoreContact::kMaxWatch)}),
      m_servers_sync(
          m_watches,
          m_ports.timers,
          m_store_retries,
          RecordCollection::kServers,
          m_options.seed + 2,
          {[this](const RecordList& list) { ServersListed(list); },
           [this](const RecordChange& change) { ServerChanged(change); },
           [this](const Error* lost) {
             StoreReachabilityChanged("servers", lost);
           },
           [this](Duration age) { StoreAnswered(age); }},
          {.wait = m_options.servers_wait,
           .coalesce_delay = kServerCoalesceDelay,
           .immediate_watches = kImmediateServerWatches}),
      m_peers_sync(
          m_watches,
          m_ports.timers,
          m_store_retries,
          RecordCollection::kPeers,
          m_options.seed + 3,
          {[this](const RecordList& list) { PeersListed(list); },
           [this](const RecordChange& change) { PeerChanged(change); },
           [this](const Error* lost) {
             StoreReachabilityChanged("peers", lost);
           },
           [this](Duration age) { StoreAnswered(age); }},
          {.wait = kPeerWatchWait, .coalesce_delay = kPeerCoalesceDelay}),
      m_changes_sync(m_watches,
                     m_ports.timers,
                     m_store_retries,
                     RecordCollection::kPrimaryChanges,
                     m_options.seed + 6,
                     {[this](const RecordList& list) { ChangesListed(list); },
                      [this](const RecordChange& change) {
                        if (!change.removed)
                          ChangeRecorded(change.record);
                      },
                      [this](const Error* lost) {
                        StoreReachabilityChanged("primary_changes", lost);
                      },
                      [this](Duration age) { StoreAnswered(age); }},
                     {.wait = kChangeWatchWait}),
      m_registration(m_ports.store,
                     m_ports.timers,
                     log,
                     {.name = m_options.name,
                      .zone = m_options.zone,
                      .relay_address = m_options.relay_address,
                      .weight = m_options.weight,
                      .records_address = m_options.records_address,
                      .incarnation = m_options.seed & kIncarnationMask},
                     m_options.seed + 4),
      m_member_records(m_ports.store, m_ports.timers, log, m_options.seed + 5),
      m_random(m_options.seed) {
  if (!m_options.promotion_deposes_primary)
    m_context.renew_lease = [this](const GroupName& group,
                                   std::function<void()> then) {
      m_lease_renewal.Renew(group, std::move(then));
    };
  m_context.confirm_commit = [this](const GroupName& group,
                                    CommitPosition position, TimePoint deadline,
                                    CommitConfirmation::OnDecision then) {
    m_commit_confirmation.Confirm(group, position, deadline, std::move(then));
  };
  m_context.may_confirm_commit = [this](const GroupName& group) {
    return m_commit_confirmation.MayConfirm(group);
  };
  if (m_ports.ask_limits)
    LimitCustomers();
}

void GatewayHost::LimitCustomers() {
  const auto find_limit =
      [this](const CustomerName& customer) -> std::optional<RateLimit> {
    if (!m_context.config)
      return std::nullopt;
    const auto found = m_context.config->customers.find(customer);
    return found == m_context.config->customers.end() ? std::nullopt
                                                      : found->second.limit;
  };
  m_customer_limits = CustomerLimits::Create(
      {.name = m_options.name, .started = m_ports.timers.now()},
      {.timers = m_ports.timers,
       .peers = m_peers,
       .log = m_log,
       .find_limit = find_limit,
       .ask = m_ports.ask_limits});
  m_context.admit_operation = [this](const CustomerName& customer,
                                     TimePoint deadline,
                                     CustomerLimits::OnDecision then) {
    m_customer_limits->Admit(customer, deadline, std::move(then));
  };
}

void GatewayHost::AnswerLimitQuestion(
    const LimitQuestion& question,
    std::function<void(LimitAnswer)> respond) {
  if (!m_customer_limits)
    return respond({});
  m_customer_limits->Answer(question, std::move(respond));
}

void GatewayHost::Start() {
  m_ports.store.era().SetOnBegan(
      [this](std::optional<uint64_t> previous, uint64_t era) {
        StoreEraBegan(previous, era);
      });
  m_configuration_sync.Start();
  m_servers_sync.Start();
  m_peers_sync.Start();
  m_changes_sync.Start();
  Tick();
}

bool GatewayHost::ready() const {
  return m_context.config && m_servers_listed && !m_context.drain &&
         !m_context.isolation.isolated_since();
}

void GatewayHost::Drain(const DrainSchedule& schedule) {
  m_context.drain.emplace(schedule);
  m_registration.Leave();
  m_log.LogStateChange(EventKind::kProcess, GroupName(), "drain", "", {});
}

void GatewayHost::WhenConfigured(std::function<void()> action) {
  if (m_context.config)
    return action();
  m_awaiting_configuration.push_back(std::move(action));
}

Result<std::shared_ptr<ClientSession>> GatewayHost::OpenSession(
    const std::string& database,
    std::string_view api_key,
    ClientSession::OnReply on_reply) {
  VERIFY(m_context.config);
  const Route* route = m_context.config->FindRoute(database);
  if (!route)
    return Failure(ErrorCode::kNotFound, "session.open", database,
                   "no such database");
  const ApiKeyDigest key = DigestApiKey(api_key);
  if (m_context.config->requires_api_keys && !route->is_public &&
      !m_context.config->FindKeyHolder(key)) {
    m_log.CountUnauthorized();
    return Failure(ErrorCode::kUnauthorized, "session.open", database,
                   "no customer holds the API key");
  }
  return ClientSession::Create(m_context, database,
                               ClientSession::Origin::kClient,
                               std::move(on_reply), {.key = key});
}

Result<std::shared_ptr<ClientSession>> GatewayHost::OpenRelayedSession(
    const RelayDestination& destination,
    const CustomerName& customer,
    ClientSession::OnReply on_reply) {
  VERIFY(m_context.config);
  if (destination.peer != m_options.name)
    return Failure(ErrorCode::kNotFound, "relay.open", destination.peer.value(),
                   "another proxy is here");
  if (destination.route_version > m_context.config->version)
    return Failure(ErrorCode::kExhausted, "relay.open",
                   destination.peer.value(),
                   "the configuration is older than the route");
  if (!m_context.config->FindRoute(destination.database))
    return Failure(ErrorCode::kNotFound, "relay.open", destination.peer.value(),
                   "no such database");
  return ClientSession::Create(m_context, destination.database,
                               ClientSession::Origin::kPeer,
                               std::move(on_reply), {.customer = customer});
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
  options.keep_one_idle = [this](const BackendServer& server) {
    return m_peers.Holds(server.group, m_context.ConnectionsOf(server.group));
  };
  options.seed = m_options.seed + 7;
  options.on_pace_change = [this](const BackendServer& server,
                                  std::optional<PaceReason> reason) {
    m_log.LogPaceChange(server.group, server.id, reason);
  };
  return options;
}

BackendPool::Options GatewayHost::PeerPoolOptions() {
  BackendPool::Options options;
  options.open_timeout = kPeerOpenTimeout;
  options.idle_time = kPeerIdleTime;
  options.concurrent_opens = kMaxConcurrentPeerOpens;
  // A proxy limits what it accepts by itself.
  options.limits_load = false;
  // Otherwise connections to proxies that no longer hold the group would never
  // be closed.
  options.keep_one_idle = [](const BackendServer&) { return false; };
  return options;
}

void GatewayHost::StoreReachabilityChanged(const char* collection,
                                           const Error* lost) {
  m_log.LogStateChange(EventKind::kPlatform, GroupName(),
                       lost ? "lost" : "regained", collection,
                       lost ? GatewayLog::Fields{{"error", lost->message}}
                            : GatewayLog::Fields{});
}

void GatewayHost::StoreAnswered(Duration age) {
  const TimePoint now = m_ports.timers.now();
  // An outage that ends with this answer must not go unnoticed.
  m_context.claims.Check(now, m_context.store_contact);
  m_context.store_contact.Answered(now - age);
}

void GatewayHost::StoreEraBegan(std::optional<uint64_t> previous,
                                uint64_t era) {
  const TimePoint now = m_ports.timers.now();
  // The era that a proxy finds when it starts may have begun just before.
  if (m_ports.store.era().has_eras())
    m_context.store_restored_at = now;
  if (!previous)
    return;
  m_log.CountStoreRestored();
  m_log.LogStateChange(
      EventKind::kPlatform, GroupName(), "store_restored", "",
      {{"old_era", std::to_string(*previous)},
       {"new_era", std::to_string(era)},
       {"lists", "configuration servers peers primary_changes"}});
  m_context.store_contact.Reset();
  m_context.claims.StoreRestored(now, PrimaryChange::kPromotionTimeLimit);
  m_next_claims_refresh =
      now + RandomDelay(m_random, {}, PrimaryChange::kPromotionTimeLimit / 2);
  for (StoreSync* sync :
       {&m_configuration_sync, &m_servers_sync, &m_peers_sync, &m_changes_sync})
    sync->StoreRestored();
}

void GatewayHost::Tick() {
  m_ports.timers.After(kTickInterval, [this] { Tick(); });
  if (m_servers_sync.store_reachable()) {
    for (const BackendServer& server :
         m_directory.TakeOverdue(m_ports.timers.now()))
      CheckUnlisted(server);
  }
  if (++m_ticks % kTicksBetweenIdleSweeps == 0) {
    m_pool.CloseIdle();
    m_peer_pool.CloseIdle();
  }
  CheckClaims();
  CheckIsolation();
  if (!m_context.config)
    return;
  for (const auto& [group, limits] : m_context.config->groups)
    CheckGroup(group);
}

void GatewayHost::CheckIsolation() {
  const TimePoint now = m_ports.timers.now();
  ZoneIsolation& isolation = m_context.isolation;
  const auto verdict = m_context.zone_reachability.Check(
      m_directory.OutsideZone(m_options.zone), now);
  if (verdict == OtherZoneReachability::Verdict::kIsolated)
    isolation.Confirm(now);
  else if (verdict == OtherZoneReachability::Verdict::kReached)
    isolation.Connected();
  else if (verdict == OtherZoneReachability::Verdict::kFailing ||
           !m_servers_sync.store_reachable())
    isolation.Suspect(now);
  if (isolation.BeginRound(now))
    ProbeOtherZones();
  // Probe rounds end between two calls, so the state is compared with the last
  // logged one.
  const bool isolated = isolation.isolated_since().has_value();
  if (isolated != std::exchange(m_isolation_logged, isolated))
    m_log.LogStateChange(EventKind::kMembership, GroupName(),
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
  const std::string database =
      m_context.config && !peers.empty() ? m_context.config->AnyDatabase() : "";
  // If there is no peer or no database to probe, the result depends on the
  // instances alone.
  if (database.empty())
    return m_context.isolation.RoundEnded(
        m_context.zone_reachability.Check(
            m_directory.OutsideZone(m_options.zone), m_ports.timers.now()) !=
            OtherZoneReachability::Verdict::kIsolated,
        m_ports.timers.now());
  for (const Peer* peer : peers) {
    m_peer_pool.Probe(
        MakeRelayServer(*peer, database, 0), kZoneProbeTimeout,
        [this, round](const Result<void>& answer) {
          // A peer that refuses the probe is reachable.
          round->reached = round->reached || answer ||
                           answer.error().code == ErrorCode::kNotFound ||
                           answer.error().code == ErrorCode::kExhausted;
          if (--round->awaited > 0)
            return;
          if (round->reached)
            m_context.zone_reachability.ForgetFailures();
          m_context.isolation.RoundEnded(round->reached, m_ports.timers.now());
        });
  }
}

void GatewayHost::OpenFailed(const BackendServer& server, const Error& error) {
  const TimePoint now = m_ports.timers.now();
  if (error.code == ErrorCode::kTimeout ||
      error.code == ErrorCode::kUnavailable)
    m_context.zone_reachability.Failed(server.id, now);
  if (error.code == ErrorCode::kTimeout)
    m_context.failure_detector.OpenTimedOut(server.id, now);
  else if (error.code == ErrorCode::kUnavailable)
    m_context.failure_detector.Refused(server.id, now);
}

}  // namespace jackdawturn::gateway
