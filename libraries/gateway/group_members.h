#pragma once

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "gateway/gateway_log.h"
#include "gateway/metadata_store.h"
#include "gateway/timers.h"

namespace jackdawturn::gateway {

// The instances of a group at a time when its replicas had every acknowledged
// commit. As long as none of them leaves, the replica with the highest received
// position has every acknowledged commit.
struct GroupMembers {
  // Each instance and the incarnation that it had.
  std::map<InstanceName, uint64_t> incarnations;
  InstanceName primary;
  // The term in which `primary` is primary.
  uint64_t term = 0;
  // The era of the store in which this was observed. The store may have lost a
  // later record of an earlier era.
  uint64_t era = 0;

  bool operator==(const GroupMembers&) const = default;
};

// Encodes the body of a group's record. Thread-safe.
std::string EncodeMembers(const GroupMembers& members);
// Decodes the body of a group's record. Errors: kInvalidArgument. Thread-safe.
Result<GroupMembers> DecodeMembers(const std::string& body);

// Returns whether every instance of `recorded` that may have the only copy of a
// commit is still present, with the same incarnation. The primary may be
// missing while its term lasts, because a commit is acknowledged only after a
// replica has received it. `term` is that of the replicas. Thread-safe.
bool RetainsAllCommits(const GroupMembers& recorded,
                       const std::vector<const BackendServer*>& present,
                       uint64_t term);

// Records the members of each group in the store. A proxy that starts after an
// instance has left needs the record to find that the instance is missing.
// Thread safety: not thread-safe.
class MemberRecords {
 public:
  // `store`, `timers` and `log` outlive this.
  MemberRecords(MetadataStore& store,
                Timers& timers,
                GatewayLog& log,
                uint64_t seed);
  ~MemberRecords();
  MemberRecords(const MemberRecords&) = delete;
  MemberRecords& operator=(const MemberRecords&) = delete;

  // Writes `members` to the group's record, unless this proxy has last read or
  // written the same members.
  // Precondition: as far as this proxy has observed since its start, the
  // replicas of the group have every acknowledged commit.
  void StoreIfChanged(const GroupName& group, const GroupMembers& members);

 private:
  struct Record {
    // The members that this proxy last read from the store or wrote to it.
    GroupMembers stored;
    GroupMembers desired;
    // True while a call to the store is scheduled or in progress.
    bool call_pending = false;
  };

  void Read(const GroupName& group);
  // Takes what is stored from a record, or logs why it cannot be read.
  void TakeOver(const GroupName& group, const StoredRecord& record);
  void ReadCompleted(const GroupName& group,
                     const Result<StoredRecord>& record);
  void Write(const GroupName& group, uint64_t expected);
  void WriteCompleted(const GroupName& group,
                      const Result<StoredRecord>& record);

  MetadataStore& m_store;
  Timers& m_timers;
  GatewayLog& m_log;
  std::mt19937_64 m_random;
  // Null once this object is destroyed; callbacks may run after that.
  std::shared_ptr<MemberRecords*> m_self;
  std::map<GroupName, Record> m_records;
};

}  // namespace jackdawturn::gateway
