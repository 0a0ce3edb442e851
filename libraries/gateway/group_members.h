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

// The instances of a group at a moment at which the replicas among them had
// every acknowledged commit. As long as none of them leaves, the replica that
// has received most has every acknowledged commit.
struct GroupMembers {
  // When each instance was born.
  std::map<InstanceName, uint64_t> incarnations;
  InstanceName primary;
  // The term in which it leads.
  uint64_t term = 0;

  bool operator==(const GroupMembers&) const = default;
};

// Returns the body of a group's record. Thread-safe.
std::string EncodeMembers(const GroupMembers& members);
// Reads the body of a group's record. Errors: kInvalidArgument. Thread-safe.
Result<GroupMembers> DecodeMembers(const std::string& body);

// Returns whether no instance that may have the only copy of a commit has left
// since `recorded`. The primary may leave while its term lasts, because a
// commit is acknowledged only after a replica has received it. `term` is that
// of the replicas. Thread-safe.
bool RetainsAllCommits(const GroupMembers& recorded,
                       const std::vector<const BackendServer*>& present,
                       uint64_t term);

// Keeps the members of each group in the store, for proxies that start after an
// instance has left: they have not seen it leave. Thread safety: not
// thread-safe.
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

  // The replicas of the group have every acknowledged commit, as far as this
  // proxy has seen since its start. Writes the record unless it is known to say
  // so.
  void StoreIfChanged(const GroupName& group, const GroupMembers& members);

 private:
  struct Record {
    // What the store holds, as far as this proxy knows.
    GroupMembers stored;
    GroupMembers wanted;
    // A call is in progress or planned.
    bool busy = false;
  };

  void Read(const GroupName& group);
  void WasRead(const GroupName& group, const Result<StoredRecord>& record);
  void Write(const GroupName& group, uint64_t expected);
  void Written(const GroupName& group, const Result<StoredRecord>& record);

  MetadataStore& m_store;
  Timers& m_timers;
  GatewayLog& m_log;
  std::mt19937_64 m_random;
  // Hooks that outlive this object find it gone.
  std::shared_ptr<MemberRecords*> m_self;
  std::map<GroupName, Record> m_records;
};

}  // namespace jackdawturn::gateway
