#include "gateway/server_directory.h"

#include <algorithm>

namespace jackdawturn::gateway {

void ServerDirectory::Update(const BackendServer& server) {
  auto [found, added] = m_entries.try_emplace(server.id);
  Entry& entry = found->second;
  if (!added && server.revision < entry.server.revision)
    return;
  const bool restarted =
      !added && entry.server.incarnation != server.incarnation;
  if (added || restarted || entry.server.role != server.role) {
    entry.role_since = server.revision;
    entry.demoted = false;
    const auto promoted = m_promoted.find(server.group);
    // The registry has caught up with the promotion, or has moved past it.
    if (promoted != m_promoted.end() &&
        (server.role == ReplicationRole::kPrimary ||
         promoted->second == server.id))
      m_promoted.erase(promoted);
  }
  entry.server = server;
  entry.lapsed_at.reset();
}

void ServerDirectory::Remove(const InstanceName& id, TimePoint now) {
  const auto found = m_entries.find(id);
  if (found == m_entries.end())
    return;
  if (found->second.server.draining) {
    m_entries.erase(found);
    return;
  }
  if (!found->second.lapsed_at)
    found->second.lapsed_at = now;
}

std::vector<BackendServer> ServerDirectory::Expire(TimePoint now) {
  std::vector<BackendServer> gone;
  for (auto entry = m_entries.begin(); entry != m_entries.end();) {
    const auto& lapsed_at = entry->second.lapsed_at;
    if (lapsed_at && *lapsed_at + kUnlistedGracePeriod <= now) {
      gone.push_back(entry->second.server);
      entry = m_entries.erase(entry);
    } else {
      ++entry;
    }
  }
  return gone;
}

void ServerDirectory::MarkDemoted(const InstanceName& id) {
  const auto found = m_entries.find(id);
  if (found == m_entries.end())
    return;
  found->second.demoted = true;
  const auto promoted = m_promoted.find(found->second.server.group);
  if (promoted != m_promoted.end() && promoted->second == id)
    m_promoted.erase(promoted);
}

void ServerDirectory::MarkPromoted(const GroupName& group,
                                   const InstanceName& id) {
  for (auto& [name, entry] : m_entries) {
    if (entry.server.group == group)
      entry.demoted = name != id;
  }
  m_promoted[group] = id;
}

const BackendServer* ServerDirectory::Primary(const GroupName& group) const {
  const auto promoted = m_promoted.find(group);
  if (promoted != m_promoted.end()) {
    if (const BackendServer* server = Find(promoted->second))
      return server;
  }
  const Entry* best = nullptr;
  for (const auto& [id, entry] : m_entries) {
    if (entry.server.group != group || entry.demoted ||
        entry.server.role != ReplicationRole::kPrimary)
      continue;
    if (!best || entry.role_since > best->role_since)
      best = &entry;
  }
  return best ? &best->server : nullptr;
}

std::vector<const BackendServer*> ServerDirectory::NonDraining(
    const GroupName& group) const {
  std::vector<const BackendServer*> servers = All(group);
  std::erase_if(servers,
                [](const BackendServer* server) { return server->draining; });
  return servers;
}

std::vector<const BackendServer*> ServerDirectory::All(
    const GroupName& group) const {
  std::vector<const BackendServer*> servers;
  for (const auto& [id, entry] : m_entries) {
    if (entry.server.group == group)
      servers.push_back(&entry.server);
  }
  return servers;
}

std::vector<InstanceName> ServerDirectory::OutsideZone(
    const ZoneName& zone) const {
  std::vector<InstanceName> instances;
  for (const auto& [id, entry] : m_entries) {
    if (entry.server.zone != zone)
      instances.push_back(id);
  }
  return instances;
}

std::set<InstanceName> ServerDirectory::AllInstanceIds() const {
  std::set<InstanceName> ids;
  for (const auto& [id, entry] : m_entries)
    ids.insert(id);
  return ids;
}

const BackendServer* ServerDirectory::Find(const InstanceName& id) const {
  const auto found = m_entries.find(id);
  return found == m_entries.end() ? nullptr : &found->second.server;
}

}  // namespace jackdawturn::gateway
