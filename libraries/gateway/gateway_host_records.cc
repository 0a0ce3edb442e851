#include <set>
#include <utility>

#include "gateway/gateway_host.h"

// What the records of the store change in the decisions of a proxy.

namespace jackdawturn::gateway {

namespace {

constexpr Duration kUnlistedCheckTimeout = std::chrono::milliseconds(350);

}  // namespace

void GatewayHost::ConfigurationListed(const RecordList& list) {
  for (const StoredRecord& record : list.records)
    ConfigurationChanged(record);
}

void GatewayHost::ConfigurationChanged(const StoredRecord& record) {
  auto decoded = m_ports.decode_config(record);
  if (!decoded) {
    m_log.CountRefusedConfiguration();
    m_log.LogStateChange(EventKind::kTargets, GroupName(), "refused",
                         record.name, {{"error", decoded.error().message}});
    return;
  }
  // Versions only increase; an older one is never put in force again.
  if (m_context.config && decoded.value().version <= m_context.config->version)
    return;
  for (auto& [database, route] : decoded.value().routes)
    route.last_changed_version = decoded.value().version;
  const auto earlier = m_context.config;
  if (earlier)
    decoded.value().InheritRouteVersions(*earlier);
  m_context.config =
      std::make_shared<const GatewayConfig>(std::move(decoded.value()));
  m_log.LogStateChange(
      EventKind::kTargets, GroupName(), "in_force", record.name,
      {{"version", std::to_string(m_context.config->version)},
       {"revision", std::to_string(record.revision)},
       {"routes", std::to_string(m_context.config->routes.size())},
       {"customers", std::to_string(m_context.config->customers.size())}});
  if (earlier)
    LogLimitChanges(*earlier);
  for (const auto& action : std::exchange(m_awaiting_configuration, {}))
    action();
}

void GatewayHost::LogLimitChanges(const GatewayConfig& earlier) {
  size_t changed = 0;
  for (const auto& [name, customer] : m_context.config->customers) {
    const auto found = earlier.customers.find(name);
    if (found != earlier.customers.end() &&
        found->second.limit != customer.limit)
      ++changed;
  }
  if (changed > 0)
    m_log.LogStateChange(EventKind::kTargets, GroupName(), "limits_changed", "",
                         {{"customers", std::to_string(changed)}});
}

void GatewayHost::ServersListed(const RecordList& list) {
  std::set<InstanceName> unlisted = m_directory.AllInstanceIds();
  size_t listed = 0;
  for (const StoredRecord& record : list.records) {
    const auto server = DecodeServer(record);
    if (!server)
      continue;
    ++listed;
    if (PrecedesKnownStart(*server))
      continue;
    unlisted.erase(server->id);
    UpdateServer(*server);
  }
  for (const InstanceName& id : unlisted)
    ServerUnlisted(id, list.revision);
  m_servers_listed = true;
  m_log.LogStateChange(EventKind::kMembership, GroupName(), "listed", "",
                       {{"instances", std::to_string(listed)},
                        {"unreadable", std::to_string(list.unreadable)},
                        {"revision", std::to_string(list.revision)}});
}

void GatewayHost::ServerChanged(const RecordChange& change) {
  if (change.removed)
    return ServerUnlisted(InstanceName(change.record.name),
                          change.record.revision);
  if (const auto server = DecodeServer(change.record))
    return UpdateServer(*server);
  // Another writer has replaced the entry; it names no instance any more.
  if (m_directory.Find(InstanceName(change.record.name)))
    ServerUnlisted(InstanceName(change.record.name), change.record.revision);
}

void GatewayHost::ServerUnlisted(const InstanceName& id, uint64_t revision) {
  m_log.LogStateChange(EventKind::kMembership, GroupName(), "unlisted",
                       id.value(), {{"revision", std::to_string(revision)}});
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
  m_log.LogStateChange(EventKind::kMembership, GroupName(), "bad_entry",
                       record.name, {{"error", server.error().message}});
  return std::nullopt;
}

bool GatewayHost::PrecedesKnownStart(const BackendServer& server) const {
  const BackendServer* known = m_directory.Find(server.id);
  return known && RevisionEra(server.revision) > RevisionEra(known->revision) &&
         server.incarnation < known->incarnation;
}

void GatewayHost::UpdateServer(BackendServer server) {
  const BackendServer* known = m_directory.Find(server.id);
  if (known && server.revision < known->revision)
    return;
  if (PrecedesKnownStart(server))
    return;
  // An instance that leaves stays leaving until it ends; the copy may be from
  // before.
  if (known && known->incarnation == server.incarnation &&
      RevisionEra(server.revision) > RevisionEra(known->revision))
    server.draining = server.draining || known->draining;
  if (!known || known->role != server.role ||
      known->draining != server.draining ||
      known->incarnation != server.incarnation) {
    m_log.LogStateChange(
        EventKind::kMembership, server.group, "instance", server.id.value(),
        {{"role",
          server.role == ReplicationRole::kPrimary ? "primary" : "replica"},
         {"draining", server.draining ? "yes" : "no"},
         {"revision", std::to_string(server.revision)}});
  }
  if (known && known->incarnation != server.incarnation) {
    // The instance has restarted and lost all commits that it had received.
    m_context.progress.erase(server.id);
    m_context.failure_detector.Forget(server.id);
    m_context.last_member_loss[server.group] = m_ports.timers.now();
  }
  // What is listed when this proxy starts may have run for long.
  if (m_servers_listed && !known)
    m_pool.Started(server);
  m_directory.Update(server);
}

void GatewayHost::CheckUnlisted(const BackendServer& server) {
  const auto forget = [this, server] {
    if (m_directory.Forget(server))
      ForgetServer(server.group, server.id);
  };
  // A primary is replaced when it has gone, and deposed if it still runs.
  if (server.role == ReplicationRole::kPrimary)
    return forget();
  m_ports.open(server, kUnlistedCheckTimeout,
               [this, server, forget](const auto& opened) {
                 if (!opened && opened.error().code != ErrorCode::kExhausted)
                   return forget();
                 m_log.LogStateChange(EventKind::kMembership, server.group,
                                      "unlisted_but_running", server.id.value(),
                                      {});
               });
}

void GatewayHost::ForgetServer(const GroupName& group, const InstanceName& id) {
  m_log.LogStateChange(EventKind::kMembership, group, "gone", id.value(), {});
  m_pool.Forget(id);
  m_context.failure_detector.Forget(id);
  m_context.lag_monitor.Forget(id);
  m_context.progress.erase(id);
  m_context.last_member_loss[group] = m_ports.timers.now();
}

void GatewayHost::CheckClaims() {
  const TimePoint now = m_ports.timers.now();
  const bool incomplete = m_context.claims.Check(now, m_context.store_contact);
  const bool known = m_context.HearsOfClaims();
  if (known != std::exchange(m_claims_known, known))
    m_log.LogStateChange(EventKind::kFailover, GroupName(),
                         known ? "claims_known" : "claims_unknown", "", {});
  if (!incomplete || m_claims_refreshing || now < m_next_claims_refresh)
    return;
  m_claims_refreshing = true;
  m_changes_sync.Refresh(
      [this, losses = m_context.claims.losses()](const Result<void>& result) {
        m_claims_refreshing = false;
        if (result)
          m_context.claims.Received(losses);
      });
}

void GatewayHost::ChangesListed(const RecordList& list) {
  m_context.claims.Received(m_context.claims.losses());
  for (const StoredRecord& record : list.records)
    ChangeRecorded(record);
}

void GatewayHost::ChangeRecorded(const StoredRecord& record) {
  const auto change = DecodePrimaryChange(record.body);
  if (change)
    return ObserveChange(
        {GroupName(record.name), record.revision, change.value()});
  m_log.LogStateChange(EventKind::kFailover, GroupName(record.name),
                       "bad_claim", "", {{"error", change.error().message}});
}

void GatewayHost::ObserveChange(const ChangeAnnouncement& change) {
  m_context.changes.Observe(change.group, change.revision, change.record,
                            m_ports.timers.now());
  LogMissingCommits(
      m_log, change.group, change.record.promoted,
      m_context.acknowledged.ChangeRecorded(change.group, change.record));
}

AnnouncementAnswer GatewayHost::ChangeAnnounced(
    const ChangeAnnouncement& announcement) {
  m_log.LogStateChange(EventKind::kFailover, announcement.group,
                       "change_announced", "",
                       {{"claimant", announcement.record.claimant.value()},
                        {"attempt", announcement.record.attempt},
                        {"ended", announcement.record.ended ? "yes" : "no"},
                        {"revision", std::to_string(announcement.revision)}});
  ObserveChange(announcement);
  return {m_context.acknowledged.NewestPassedOn(announcement.group,
                                                announcement.record.term)};
}

std::optional<Peer> GatewayHost::DecodePeerRecord(const StoredRecord& record) {
  auto peer = DecodePeer(record.name, record.body);
  if (peer)
    return std::move(peer.value());
  m_log.LogStateChange(EventKind::kMembership, GroupName(), "bad_peer",
                       record.name, {{"error", peer.error().message}});
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
  m_log.LogStateChange(EventKind::kMembership, GroupName(), "peers_listed", "",
                       {{"peers", std::to_string(peers.size())},
                        {"revision", std::to_string(list.revision)}});
  m_peers.Replace(std::move(peers));
  m_registration.ReconcileOwnRecord(own);
}

void GatewayHost::PeerChanged(const RecordChange& change) {
  const bool own = change.record.name == m_options.name.value();
  if (change.removed) {
    m_peers.Remove(VmName(change.record.name));
    if (own)
      m_registration.ReconcileOwnRecord(nullptr);
    return;
  }
  if (own)
    m_registration.ReconcileOwnRecord(&change.record);
  if (const auto peer = DecodePeerRecord(change.record))
    m_peers.Update(*peer);
}

}  // namespace jackdawturn::gateway
