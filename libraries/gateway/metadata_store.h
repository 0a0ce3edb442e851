#pragma once

#include <functional>
#include <string>
#include <vector>

#include "core/core.h"

namespace jackdawturn::gateway {

// The collections of records that a proxy reads or writes in the platform's
// store.
enum class RecordCollection {
  kConfiguration,   // Written by operators.
  kServers,         // Written by the instances.
  kPrimaryChanges,  // Written by proxies: who changes a group's primary.
  kPeers,           // Written by proxies: where each one can be reached.
  kGroupMembers,    // Written by proxies: who has each group's commits.
};

struct StoredRecord {
  std::string name;
  // Changes with every change of the record, and grows over all records.
  uint64_t revision = 0;
  // JSON.
  std::string body;
};

struct RecordList {
  std::vector<StoredRecord> records;
  // The store's revision at which the list is complete.
  uint64_t revision = 0;
};

struct RecordChange {
  StoredRecord record;
  bool removed = false;
};

struct RecordChanges {
  std::vector<RecordChange> changes;
  // Where the next watch begins.
  uint64_t revision = 0;
};

// The port to the platform's store. Thread safety: all methods and hooks run on
// one thread. Common errors: kUnavailable (nothing was done), kExhausted (over
// the store's rates, nothing was done), kTimeout (a write may have been done,
// or may be done later if its condition still holds).
class MetadataStore {
 public:
  using OnRecord = std::function<void(Result<StoredRecord>)>;

  virtual ~MetadataStore() = default;

  virtual void List(RecordCollection collection,
                    Duration timeout,
                    std::function<void(Result<RecordList>)> on_list) = 0;

  // Answers with the changes after `revision` once there is one, or with none
  // after `wait`. Error kNotFound: that part of the history is gone.
  virtual void Watch(RecordCollection collection,
                     uint64_t revision,
                     Duration wait,
                     std::function<void(Result<RecordChanges>)> on_changes) = 0;

  // Error kNotFound: there is none.
  virtual void Read(RecordCollection collection,
                    const std::string& name,
                    Duration timeout,
                    OnRecord on_record) = 0;

  // Stores `body` if the record has the revision `expected`; 0: if there is
  // none. Error kConflict: it has another one.
  virtual void Update(RecordCollection collection,
                      const std::string& name,
                      uint64_t expected,
                      const std::string& body,
                      Duration timeout,
                      OnRecord on_record) = 0;
};

// Names an instance as the primary of its group. `token` fences older calls.
// Errors: kConflict (a newer token was used, or the instance does not run),
// kUnavailable and kExhausted (nothing was done), kTimeout (it may be done
// later).
using PromoteInstance = std::function<void(const GroupName& group,
                                           const InstanceName& instance,
                                           uint64_t token,
                                           Duration timeout,
                                           std::function<void(Result<void>)>)>;

}  // namespace jackdawturn::gateway
