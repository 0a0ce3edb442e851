#pragma once

#include <map>
#include <optional>
#include <string>

#include "gateway/metadata_store.h"

namespace jackdawturn::gateway {

// What this proxy has received of one collection, from which it serves the
// watches of other proxies. Keeps the last change of each record, and that of
// the records removed most recently. Thread safety: not thread-safe.
class RecordCache {
 public:
  static constexpr size_t kMaxRemovals = 256;

  // Takes over a list. Records that it lacks have been removed.
  void Replace(const RecordList& list);
  // Precondition: the changes are those after revision().
  void Apply(const RecordChanges& changes);

  // Returns the revision up to which changes are included, or 0 before the
  // first list.
  uint64_t revision() const { return m_revision; }

  // Returns the last change of each record that changed after `revision`, or
  // nullopt if removals since then may have been dropped, or if `revision`
  // shows records of an earlier era that this cache has never held and that the
  // store may have lost.
  std::optional<RecordChanges> ChangesSince(uint64_t revision) const;

 private:
  struct Entry {
    RecordChange change;
    // The revision of the list or watch that delivered it, which may be later
    // than that of the record.
    uint64_t received_with = 0;
  };

  // Notes that a later revision has been reached.
  void Advance(uint64_t revision);
  void Put(const RecordChange& change, uint64_t revision);
  void DropOldRemovals();

  std::map<std::string, Entry> m_entries;
  uint64_t m_revision = 0;
  // The last revision before the present era.
  uint64_t m_earlier_era_revision = 0;
  // Removals before this revision are not known.
  uint64_t m_complete_since = 0;
  size_t m_removals = 0;
};

}  // namespace jackdawturn::gateway
