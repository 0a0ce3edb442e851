#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "core/core.h"

namespace jackdawturn::targets {

// An object of the store in the form in which proxies forward it.
struct SpreadObject {
  std::string key;
  ObjectVersion version;
  std::string value;
};

// The newest received version of each object, with hashes that allow two
// proxies to find differing objects without listing all of them.
// Thread safety: not thread-safe.
class VersionTable {
 public:
  // Number of buckets over which objects are distributed by the hash of their
  // key.
  static constexpr size_t kBuckets = 64;
  using BucketHashes = std::array<uint64_t, kBuckets>;

  // Stores the object if it is newer than the one held. Returns whether it was
  // stored.
  bool Accept(const SpreadObject& object);

  // Returns nullptr for an unknown key. Valid until the next Accept.
  const SpreadObject* Find(const std::string& key) const;
  ObjectVersion VersionOf(const std::string& key) const;

  // Tables with equal hashes hold the same versions of the same keys.
  uint64_t hash() const { return m_hash; }
  const BucketHashes& bucket_hashes() const { return m_bucket_hashes; }
  // Returns up to `count` objects of a bucket with keys after `after`, ordered
  // by key.
  std::vector<const SpreadObject*> Bucket(size_t bucket,
                                          const std::string& after,
                                          size_t count) const;
  static size_t BucketOf(const std::string& key);

  size_t size() const { return m_size; }
  size_t StateBytes() const;

 private:
  std::array<std::map<std::string, SpreadObject>, kBuckets> m_buckets;
  BucketHashes m_bucket_hashes{};
  uint64_t m_hash = 0;
  size_t m_size = 0;
  size_t m_value_bytes = 0;
};

}  // namespace jackdawturn::targets
