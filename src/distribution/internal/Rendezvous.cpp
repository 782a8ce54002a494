#include "distribution/Distribution.h"

#include <algorithm>
#include <utility>

namespace lycheethread::distribution {

std::uint64_t nextRandom(std::uint64_t &Seed) {
  Seed += 0x9e3779b97f4a7c15ULL;
  return mixBits(Seed);
}

std::size_t randomBelow(std::uint64_t &Seed, std::size_t Bound) {
  return Bound == 0 ? 0 : static_cast<std::size_t>(nextRandom(Seed) % Bound);
}

std::uint64_t stableHash(const std::string &Text) {
  return mixBits(fnv1a(Text));
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
