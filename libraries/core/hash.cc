#include "core/hash.h"

#include <algorithm>
#include <utility>

#include <xxhash.h>

namespace jackdawturn {

uint64_t Hash64(std::string_view bytes, uint64_t seed) {
  return XXH3_64bits_withSeed(bytes.data(), bytes.size(), seed);
}

uint64_t RendezvousWeight(std::string_view key, std::string_view node) {
  return Hash64(node, Hash64(key));
}

std::vector<std::string> RendezvousOrder(std::string_view key,
                                         std::vector<std::string> nodes) {
  std::vector<std::pair<uint64_t, std::string>> weighted;
  weighted.reserve(nodes.size());
  for (std::string& node : nodes) {
    const uint64_t weight = RendezvousWeight(key, node);
    weighted.emplace_back(weight, std::move(node));
  }
  std::sort(weighted.begin(), weighted.end(), [](const auto& a, const auto& b) {
    return a.first != b.first ? a.first > b.first : a.second < b.second;
  });
  std::vector<std::string> ordered;
  ordered.reserve(weighted.size());
  for (auto& [weight, node] : weighted)
    ordered.push_back(std::move(node));
  return ordered;
}

}  // namespace jackdawturn
