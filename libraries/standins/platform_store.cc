#include "standins/platform_store.h"

#include <algorithm>
#include <utility>

namespace jackdawturn {

namespace {
constexpr const char* kPeer = "platform";
}  // namespace

Result<void> PlatformStore::CheckAvailable(const char* step) const {
  if (!m_available)
    return Failure(ErrorCode::kTimeout, step, kPeer, "no answer");
  return Success();
}

Result<VersionedObject> PlatformStore::Read(const std::string& key) {
  ++m_reads;
  TRY(CheckAvailable("platform.read"));
  const auto found = m_objects.find(key);
  if (found == m_objects.end())
    return VersionedObject{key, ObjectVersion(), ""};
  return found->second.object;
}

Result<VersionedObject> PlatformStore::Update(const std::string& key,
                                              ObjectVersion expected,
                                              const std::string& value) {
  constexpr const char* kStep = "platform.update";
  ++m_writes;
  TRY(CheckAvailable(kStep));
  if (value.size() > kMaxValueSize)
    return Failure(ErrorCode::kInvalidArgument, kStep, kPeer,
                   "value is too large");
  const auto found = m_objects.find(key);
  const ObjectVersion current =
      found == m_objects.end() ? ObjectVersion() : found->second.object.version;
  if (current != expected)
    return Failure(ErrorCode::kConflict, kStep, kPeer,
                   key + " has version " + std::to_string(current.value));
  StoredObject& stored = m_objects[key];
  stored.object = VersionedObject{key, current.Next(), value};
  stored.revision = ++m_revision;
  if (m_answers_to_lose > 0) {
    --m_answers_to_lose;
    return Failure(ErrorCode::kTimeout, kStep, kPeer, "no answer");
  }
  return stored.object;
}

Result<std::vector<VersionedObject>> PlatformStore::ChangesAfter(
    const std::string& prefix,
    uint64_t revision) {
  ++m_reads;
  TRY(CheckAvailable("platform.watch"));
  std::vector<const StoredObject*> changed;
  for (auto item = m_objects.lower_bound(prefix);
       item != m_objects.end() && item->first.starts_with(prefix); ++item) {
    if (item->second.revision > revision)
      changed.push_back(&item->second);
  }
  std::sort(changed.begin(), changed.end(), [](const auto* a, const auto* b) {
    return a->revision < b->revision;
  });
  std::vector<VersionedObject> objects;
  objects.reserve(changed.size());
  for (const StoredObject* stored : changed)
    objects.push_back(stored->object);
  return objects;
}

Result<std::vector<ListedVm>> PlatformStore::ListVms() {
  ++m_reads;
  TRY(CheckAvailable("platform.list_vms"));
  return m_published_vms;
}

void PlatformStore::SetVm(ListedVm vm) {
  const VmName name = vm.name;
  m_vms[name] = std::move(vm);
}

void PlatformStore::RemoveVm(const VmName& name) {
  m_vms.erase(name);
}

void PlatformStore::PublishVms() {
  m_published_vms.clear();
  for (const auto& [name, vm] : m_vms)
    m_published_vms.push_back(vm);
}

}  // namespace jackdawturn
