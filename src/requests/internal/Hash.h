#ifndef LYCHEETHREAD_REQUESTS_INTERNAL_HASH_H
#define LYCHEETHREAD_REQUESTS_INTERNAL_HASH_H

#include "model/types/StableHash.h"

#include <cstdint>
#include <string_view>

namespace lycheethread::requests {

/// Returns a hash of \p Text that is the same on every node and in every build.
constexpr std::uint64_t stableHash(std::string_view Text,
                                   std::uint64_t Seed = 0) {
  constexpr std::uint64_t Offset = 0x9e3779b97f4a7c15U;
  return mixBits(fnv1a(Text, Fnv1aBasis ^ Seed) + Offset);
}

} // namespace lycheethread::requests

#endif // LYCHEETHREAD_REQUESTS_INTERNAL_HASH_H
