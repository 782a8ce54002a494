#ifndef LYCHEETHREAD_MODEL_TYPES_STABLEHASH_H
#define LYCHEETHREAD_MODEL_TYPES_STABLEHASH_H

#include <cstdint>
#include <string_view>

namespace lycheethread {

inline constexpr std::uint64_t Fnv1aBasis = 0xcbf29ce484222325U;

/// Returns the FNV-1a hash of \p Text. Unlike std::hash, the result is the same
/// on every node and in every build.
constexpr std::uint64_t fnv1a(std::string_view Text,
                              std::uint64_t Basis = Fnv1aBasis) {
  std::uint64_t Hash = Basis;
  for (const char Byte : Text)
    Hash = (Hash ^ static_cast<unsigned char>(Byte)) * 0x100000001b3U;
  return Hash;
}

/// Finalizer of splitmix64. FNV-1a alone leaves the high bits of short, similar
/// texts close together.
constexpr std::uint64_t mixBits(std::uint64_t Value) {
  Value = (Value ^ (Value >> 30U)) * 0xbf58476d1ce4e5b9U;
  Value = (Value ^ (Value >> 27U)) * 0x94d049bb133111ebU;
  return Value ^ (Value >> 31U);
}

} // namespace lycheethread

#endif // LYCHEETHREAD_MODEL_TYPES_STABLEHASH_H
