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
    entry.role_revision = server.revision;
    entry.demoted = false;
    const auto promoted = m_promoted.find(server.group);
    // The store now reflects the promotion or a later primary change.
    if (promoted != m_promoted.end() &&
        (server.role == ReplicationRole::kPrimary ||
         promoted->second == server.id))
      m_promoted.erase(promoted);
  }
  entry.server = server;
  entry.unlisted_since.reset();
  entry.next_check.reset();
}

void ServerDirectory::Remove(const InstanceName& id, TimePoint now) {
  const auto found = m_entries.find(id);
  if (found == m_entries.end())
    return;
  if (found->second.server.draining) {
    m_entries.erase(found);
    return;
  }
  if (!found->second.unlisted_since)
    found->second.unlisted_since = now;
}

std::vector<BackendServer> ServerDirectory::TakeOverdue(TimePoint now) {
  std::vector<BackendServer> due;
  for (auto& [id, entry] : m_entries) {
    if (!entry.unlisted_since ||
        *entry.unlisted_since + kUnlistedGracePeriod > now ||
        (entry.next_check && *entry.next_check > now))
      continue;
    entry.next_check = now + kUnlistedCheckInterval;
    due.push_back(entry.server);
  }
  return due;
}

bool ServerDirectory::Forget(const BackendServer& server) {
  const auto found = m_entries.find(server.id);
  if (found == m_entries.end() || !Overdue(found->second) ||
      found->second.server.incarnation != server.incarnation)
    return false;
  m_entries.erase(found);
  return true;
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
    const auto found = m_entries.find(promoted->second);
    if (found != m_entries.end() && !Overdue(found->second))
      return &found->second.server;
  }
  const Entry* latest = nullptr;
  for (const auto& [id, entry] : m_entries) {
    if (entry.server.group != group || entry.demoted || Overdue(entry) ||
        entry.server.role != ReplicationRole::kPrimary)
      continue;
    if (!latest || entry.role_revision > latest->role_revision)
      latest = &entry;
  }
  return latest ? &latest->server : nullptr;
}

std::vector<const BackendServer*> ServerDirectory::NonDraining(
    const GroupName& group) const {
  std::vector<const BackendServer*> servers;
  for (const auto& [id, entry] : m_entries) {
    if (entry.server.group == group && !entry.server.draining &&
        !Overdue(entry))
      servers.push_back(&entry.server);
  }
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
