#include "gateway/record_cache.h"

#include <algorithm>
#include <set>

namespace jackdawturn::gateway {

void RecordCache::Replace(const RecordList& list) {
  // A list may be older than what a watch has delivered.
  if (list.revision < m_revision)
    return;
  std::set<std::string> listed;
  for (const StoredRecord& record : list.records) {
    listed.insert(record.name);
    const auto known = m_entries.find(record.name);
    if (known == m_entries.end() || known->second.change.removed ||
        known->second.change.record.revision != record.revision)
      Put({record, false}, list.revision);
  }
  for (const auto& [name, entry] : m_entries) {
    if (!entry.change.removed && !listed.contains(name))
      Put({{name, list.revision, ""}, true}, list.revision);
  }
  if (m_revision == 0)
    m_complete_since = list.revision;
  Advance(list.revision);
  DropOldRemovals();
}

void RecordCache::Apply(const RecordChanges& changes) {
  // An older answer holds nothing new.
  if (m_revision == 0 || changes.revision < m_revision)
    return;
  for (const RecordChange& change : changes.changes)
    Put(change, changes.revision);
  Advance(changes.revision);
  DropOldRemovals();
}

void RecordCache::Advance(uint64_t revision) {
  if (RevisionEra(revision) > RevisionEra(m_revision))
    m_earlier_era_revision = m_revision;
  m_revision = revision;
}

void RecordCache::Put(const RecordChange& change, uint64_t revision) {
  Entry& entry = m_entries[change.record.name];
  m_removals += (change.removed ? 1 : 0) - (entry.change.removed ? 1 : 0);
  entry = {change, revision};
}

void RecordCache::DropOldRemovals() {
  while (m_removals > kMaxRemovals) {
    auto oldest = m_entries.end();
    for (auto entry = m_entries.begin(); entry != m_entries.end(); ++entry) {
      if (entry->second.change.removed &&
          (oldest == m_entries.end() ||
           entry->second.received_with < oldest->second.received_with))
        oldest = entry;
    }
    m_complete_since = std::max(m_complete_since, oldest->second.received_with);
    m_entries.erase(oldest);
    --m_removals;
  }
}

std::optional<RecordChanges> RecordCache::ChangesSince(
    uint64_t revision) const {
  if (m_revision == 0 || revision < m_complete_since)
    return std::nullopt;
  const uint64_t eras = RevisionEra(m_revision) - RevisionEra(revision);
  if (RevisionEra(revision) < RevisionEra(m_revision) &&
      (eras > 1 || revision > m_earlier_era_revision))
    return std::nullopt;
  RecordChanges changes;
  changes.revision = m_revision;
  for (const auto& [name, entry] : m_entries) {
    if (entry.received_with > revision)
      changes.changes.push_back(entry.change);
  }
  return changes;
}

}  // namespace jackdawturn::gateway
