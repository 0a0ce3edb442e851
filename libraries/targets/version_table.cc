#include "targets/version_table.h"

namespace jackdawturn::targets {

namespace {

uint64_t HashOf(const SpreadObject& object) {
  return Hash64(object.key, object.version.value);
}

}  // namespace

size_t VersionTable::BucketOf(const std::string& key) {
  return Hash64(key) % kBuckets;
}

bool VersionTable::Accept(const SpreadObject& object) {
  const size_t bucket = BucketOf(object.key);
  const auto [item, added] =
      m_buckets[bucket].try_emplace(object.key, SpreadObject());
  SpreadObject& held = item->second;
  if (!added) {
    if (object.version <= held.version)
      return false;
    m_bucket_hashes[bucket] ^= HashOf(held);
    m_hash ^= HashOf(held);
    m_value_bytes -= held.value.size();
  } else {
    ++m_size;
  }
  held = object;
  m_bucket_hashes[bucket] ^= HashOf(held);
  m_hash ^= HashOf(held);
  m_value_bytes += held.value.size();
  return true;
}

const SpreadObject* VersionTable::Find(const std::string& key) const {
  const auto& bucket = m_buckets[BucketOf(key)];
  const auto found = bucket.find(key);
  return found == bucket.end() ? nullptr : &found->second;
}

ObjectVersion VersionTable::VersionOf(const std::string& key) const {
  const SpreadObject* object = Find(key);
  return object == nullptr ? ObjectVersion() : object->version;
}

std::vector<const SpreadObject*> VersionTable::Bucket(size_t bucket,
                                                      const std::string& after,
                                                      size_t count) const {
  VERIFY(bucket < kBuckets);
  std::vector<const SpreadObject*> objects;
  const auto& items = m_buckets[bucket];
  for (auto item = items.upper_bound(after);
       item != items.end() && objects.size() < count; ++item)
    objects.push_back(&item->second);
  return objects;
}

size_t VersionTable::StateBytes() const {
  // Size of a std::map node header in common implementations.
  constexpr size_t kMapNodeOverhead = 40;
  size_t bytes = sizeof(*this) + m_value_bytes;
  for (const auto& bucket : m_buckets) {
    for (const auto& [key, object] : bucket)
      bytes += kMapNodeOverhead + sizeof(std::string) + sizeof(SpreadObject) +
               2 * object.key.size();
  }
  return bytes;
}

}  // namespace jackdawturn::targets
