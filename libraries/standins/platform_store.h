#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "core/core.h"

namespace jackdawturn {

// A model of the platform's object API, as docs/design.md requires it in
// section 2 (P1 to P3), with faults on demand. Every call takes effect at
// once; latency belongs to whoever drives the model. Thread safety: not
// thread-safe.
class PlatformStore {
 public:
  // Largest value, in bytes.
  static constexpr size_t kMaxValueSize = 1'000'000;

  // An absent object has version 0 and an empty value.
  // Errors: kTimeout during an outage.
  Result<VersionedObject> Read(const std::string& key);

  // Stores `value` if the object has the version `expected` (0: absent).
  // Errors: kConflict, kInvalidArgument (value too large), kTimeout (outage, or
  // the answer was lost after the update took effect).
  Result<VersionedObject> Update(const std::string& key,
                                 ObjectVersion expected,
                                 const std::string& value);

  // Returns the objects under `prefix` whose last change is after `revision`,
  // in order of change. A watch is this call, repeated. Errors: kTimeout.
  Result<std::vector<VersionedObject>> ChangesAfter(const std::string& prefix,
                                                    uint64_t revision);
  // Number of changes so far.
  uint64_t revision() const { return m_revision; }

  // The VM list as it was published last. Errors: kTimeout.
  Result<std::vector<ListedVm>> ListVms();

  // Changes the true VM list; PublishVms makes it visible, which models lag.
  void SetVm(ListedVm vm);
  void RemoveVm(const VmName& name);
  void PublishVms();

  // Faults. During an outage every call fails and changes nothing.
  void SetAvailable(bool available) { m_available = available; }
  // The next `count` updates take effect but their answers are lost.
  void LoseAnswers(size_t count) { m_answers_to_lose = count; }

  // Calls counted against the platform's rates since creation.
  uint64_t reads() const { return m_reads; }
  uint64_t writes() const { return m_writes; }

 private:
  struct StoredObject {
    VersionedObject object;
    uint64_t revision = 0;
  };

  Result<void> CheckAvailable(const char* step) const;

  std::map<std::string, StoredObject> m_objects;
  std::map<VmName, ListedVm> m_vms;
  std::vector<ListedVm> m_published_vms;
  uint64_t m_revision = 0;
  uint64_t m_reads = 0;
  uint64_t m_writes = 0;
  size_t m_answers_to_lose = 0;
  bool m_available = true;
};

}  // namespace jackdawturn
