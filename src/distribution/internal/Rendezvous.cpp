#include "distribution/Distribution.h"

#include <algorithm>
#include <utility>

namespace lycheethread::distribution {

namespace {

constexpr std::uint64_t FnvBasis = 0xcbf29ce484222325ULL;
constexpr std::uint64_t FnvPrime = 0x100000001b3ULL;

// Finalizer of splitmix64. FNV-1a alone leaves the high bits of short, similar
// ids close together, which would give most of the first ranks to one node.
std::uint64_t mix(std::uint64_t Value) {
  Value = (Value ^ (Value >> 30)) * 0xbf58476d1ce4e5b9ULL;
  Value = (Value ^ (Value >> 27)) * 0x94d049bb133111ebULL;
  return Value ^ (Value >> 31);
}

} // namespace

std::uint64_t nextRandom(std::uint64_t &Seed) {
  Seed += 0x9e3779b97f4a7c15ULL;
  return mix(Seed);
}

std::size_t randomBelow(std::uint64_t &Seed, std::size_t Bound) {
  return Bound == 0 ? 0 : static_cast<std::size_t>(nextRandom(Seed) % Bound);
}

std::uint64_t stableHash(const std::string &Text) {
  std::uint64_t Hash = FnvBasis;
  for (const char Byte : Text)
    Hash = (Hash ^ static_cast<unsigned char>(Byte)) * FnvPrime;
  return mix(Hash);
}

std::vector<NodeId> rendezvousOrder(const std::string &Key,
                                    std::vector<NodeId> Ids) {
  std::vector<std::pair<std::uint64_t, NodeId>> Ranked;
  Ranked.reserve(Ids.size());
  for (NodeId &Id : Ids) {
    const std::uint64_t Hash = stableHash(Key + '\n' + Id.str());
    Ranked.emplace_back(Hash, std::move(Id));
  }
  std::sort(Ranked.begin(), Ranked.end());
  std::vector<NodeId> Ordered;
  Ordered.reserve(Ranked.size());
  for (auto &Item : Ranked)
    Ordered.push_back(std::move(Item.second));
  return Ordered;
}

} // namespace lycheethread::distribution
