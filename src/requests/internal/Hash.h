#ifndef LYCHEETHREAD_REQUESTS_INTERNAL_HASH_H
#define LYCHEETHREAD_REQUESTS_INTERNAL_HASH_H

#include <cstdint>
#include <string_view>

namespace lycheethread::requests {

/// Spreads the bits of \p Value with the finalizer of splitmix64.
constexpr std::uint64_t mixBits(std::uint64_t Value) {
  Value += 0x9e3779b97f4a7c15U;
  Value = (Value ^ (Value >> 30U)) * 0xbf58476d1ce4e5b9U;
  Value = (Value ^ (Value >> 27U)) * 0x94d049bb133111ebU;
  return Value ^ (Value >> 31U);
}

/// Returns the FNV-1a hash of \p Text with its bits mixed. Unlike std::hash,
/// the result is the same on every node and in every build.
constexpr std::uint64_t stableHash(std::string_view Text,
                                   std::uint64_t Seed = 0) {
  std::uint64_t Hash = 0xcbf29ce484222325U ^ Seed;
  for (const char Byte : Text)
    Hash = (Hash ^ static_cast<unsigned char>(Byte)) * 0x100000001b3U;
  return mixBits(Hash);
}

} // namespace lycheethread::requests

#endif // LYCHEETHREAD_REQUESTS_INTERNAL_HASH_H
