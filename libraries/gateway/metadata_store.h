#pragma once

#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include "core/core.h"
#include "gateway/store_era.h"

namespace jackdawturn::gateway {

// The collections of records that a proxy reads or writes in the platform's
// store.
enum class RecordCollection {
  kConfiguration,   // Written by operators.
  kServers,         // Written by the instances.
  kPrimaryChanges,  // Written by proxies: claims to change a group's primary.
  kPeers,           // Written by proxies: the address of each proxy.
  kGroupMembers,    // Written by proxies: instances that hold all commits.
};

// Returns the name used in logs and between proxies. Thread-safe.
std::string_view ToString(RecordCollection collection);

struct StoredRecord {
  std::string name;
  // Changes with every change of the record. A later change of any record in
  // the store has a higher revision. Combined with the era of the answer that
  // showed it, see store_era.h, as are all revisions of this interface.
  uint64_t revision = 0;
  // JSON; empty if what is stored cannot be read.
  std::string body;
};

struct RecordList {
  std::vector<StoredRecord> records;
  // The revision of the store that the list reflects.
  uint64_t revision = 0;
  // Records that were left out because they could not be read at all.
  size_t unreadable = 0;
};

struct RecordChange {
  StoredRecord record;
  bool removed = false;
};

struct RecordChanges {
  std::vector<RecordChange> changes;
  // The revision from which to start the next watch.
  uint64_t revision = 0;
  // Changes that were left out because they could not be read at all.
  size_t unreadable = 0;
  // How long ago the answer was current, if another proxy gave it.
  Duration age{0};
};

// The interface to the platform's metadata store. Thread safety: all methods
// and callbacks run on one thread. Common errors: kUnavailable (the call had no
// effect), kExhausted (over the store's rate limits; the call had no effect),
// kTimeout (outcome unknown: a write may have been applied, or may be applied
// later if its condition still holds). A late answer of an earlier era counts
// as none (kTimeout).
class MetadataStore {
 public:
  using OnRecord = std::function<void(Result<StoredRecord>)>;

  virtual ~MetadataStore() = default;

  // What the answers of the store have shown of its eras. Implementations pass
  // the era of every answer to it before the answer itself is given.
  virtual StoreEra& era() { return m_era; }

  virtual void List(RecordCollection collection,
                    Duration timeout,
                    std::function<void(Result<RecordList>)> on_list) = 0;

  // Returns the changes after `revision` as soon as there is one, or no changes
  // after `wait`. Error kNotFound: the store has dropped its history since
  // `revision`.
  virtual void Watch(RecordCollection collection,
                     uint64_t revision,
                     Duration wait,
                     std::function<void(Result<RecordChanges>)> on_changes) = 0;

  // Error kNotFound: the record does not exist.
  virtual void Read(RecordCollection collection,
                    const std::string& name,
                    Duration timeout,
                    OnRecord on_record) = 0;

  // Stores `body` if the record has the revision `expected`, or, with 0, if the
  // record does not exist. Error kConflict: the condition does not hold, or
  // `expected` is of an earlier era, in which case nothing is sent: the store
  // may have given its number out again.
  virtual void Update(RecordCollection collection,
                      const std::string& name,
                      uint64_t expected,
                      const std::string& body,
                      Duration timeout,
                      OnRecord on_record) = 0;

 private:
  StoreEra m_era;
};

// Promotes an instance to primary of its group. `token` fences older calls.
// Errors: kConflict (a newer token was used, or the instance is not running),
// kUnavailable and kExhausted (the call had no effect), kTimeout (outcome
// unknown: the promotion may still take effect).
using PromoteInstance = std::function<void(const GroupName& group,
                                           const InstanceName& instance,
                                           uint64_t token,
                                           Duration timeout,
                                           std::function<void(Result<void>)>)>;

}  // namespace jackdawturn::gateway
