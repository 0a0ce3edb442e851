#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace jackdawturn {

// The 64-bit XXH3 hash, the same on every VM. Not for authentication.
uint64_t Hash64(std::string_view bytes, uint64_t seed = 0);

// The weight of `node` for `key` in rendezvous (highest random weight) hashing.
uint64_t RendezvousWeight(std::string_view key, std::string_view node);

// Returns `nodes` ordered by descending rendezvous weight for `key`. When a
// node leaves, the relative order of the others stays as it is.
std::vector<std::string> RendezvousOrder(std::string_view key,
                                         std::vector<std::string> nodes);

}  // namespace jackdawturn
