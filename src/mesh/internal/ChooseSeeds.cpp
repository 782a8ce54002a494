#include "mesh/Mesh.h"

#include <algorithm>
#include <set>

namespace lycheethread::mesh {

namespace {

/// Exponential backoff for listed nodes that do not answer.
constexpr Milliseconds MinSeedBackoff{500};
constexpr Milliseconds MaxSeedBackoff{8000};
/// A node of another zone is found through the others; each node contacts only
/// a few there, so that a start of all nodes does not send a datagram for each
/// pair of them.
constexpr int SeedsPerOtherZone = 6;
/// A node that has not answered this often is probably gone for good. The nodes
/// of a zone share the further attempts.
constexpr int MaxOwnTries = 3;

Endpoint contact(SeedNodes::value_type &Item, SteadyTime Now) {
  SeedNode &Seed = Item.second;
  ++Seed.Tries;
  Seed.Backoff = Seed.Backoff == Milliseconds(0)
                     ? MinSeedBackoff
                     : std::min(MaxSeedBackoff, Seed.Backoff * 2);
  Seed.NextTry = after(Now, Seed.Backoff);
  return Item.first;
}

} // namespace

std::vector<Endpoint> chooseSeeds(SeedNodes &Seeds, const NodeTable &Known,
                                  const AvailabilityZone &Zone, SteadyTime Now,
                                  std::mt19937_64 &Random) {
  std::set<Endpoint> Alive;
  std::size_t ZoneNodes = 1;
  for (const auto &[Id, Node] : Known.Nodes) {
    if (!isAlive(Known, Node, Now))
      continue;
    Alive.insert(Node.LastReport.Gossip);
    ZoneNodes += Node.LastReport.At.Zone == Zone ? 1 : 0;
  }
  std::vector<Endpoint> Chosen;
  std::map<AvailabilityZone, std::vector<SeedNodes::value_type *>> OtherZones;
  SeedNodes::value_type *Silent = nullptr;
  std::uint64_t SilentSeen = 0;
  for (auto &Item : Seeds) {
    SeedNode &Seed = Item.second;
    if (Alive.count(Item.first) != 0)
      Seed = {Seed.Zone, {}, Milliseconds(0), 0};
    else if (Seed.Tries >= MaxOwnTries)
      Silent = Random() % ++SilentSeen == 0 ? &Item : Silent;
    else if (Now < Seed.NextTry)
      continue;
    else if (Seed.Zone.empty() || Seed.Zone == Zone)
      Chosen.push_back(contact(Item, Now));
    else
      OtherZones[Seed.Zone].push_back(&Item);
  }
  for (auto &[Name, Items] : OtherZones)
    for (int Count = 0; Count < SeedsPerOtherZone && !Items.empty(); ++Count) {
      std::swap(Items[Random() % Items.size()], Items.back());
      Chosen.push_back(contact(*Items.back(), Now));
      Items.pop_back();
    }
  if (Silent != nullptr && Random() % ZoneNodes == 0)
    Chosen.push_back(contact(*Silent, Now));
  return Chosen;
}

} // namespace lycheethread::mesh
