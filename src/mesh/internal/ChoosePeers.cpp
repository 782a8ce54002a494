#include "mesh/Mesh.h"

#include <algorithm>

namespace lycheethread::mesh {

namespace {

/// Nodes of the local zone to which a report is sent in each round.
constexpr std::size_t PeersInZone = 2;
/// Datagrams per second from one zone to the rest of its region, and from one
/// region to the others. Each carries the reports of several nodes. A fixed
/// rate per node would let the traffic on links that are billed by volume grow
/// with the number of nodes.
constexpr double ZoneDatagramsPerSecond = 16;
constexpr double RegionDatagramsPerSecond = 12;
constexpr double MillisecondsPerSecond = 1000;

/// A random choice of up to \p Size endpoints among those added.
class Sample {
public:
  explicit Sample(std::size_t Size) : Size_(Size) {}

  void add(const Endpoint &At, std::mt19937_64 &Random) {
    ++Seen_;
    if (Chosen_.size() < Size_) {
      Chosen_.push_back(&At);
      return;
    }
    const std::size_t Place = Random() % Seen_;
    if (Place < Size_)
      Chosen_[Place] = &At;
  }

  std::size_t seen() const { return Seen_; }

  std::vector<Endpoint> take() const {
    std::vector<Endpoint> Taken;
    for (const Endpoint *Item : Chosen_)
      Taken.push_back(*Item);
    return Taken;
  }

private:
  std::size_t Size_;
  std::size_t Seen_ = 0;
  std::vector<const Endpoint *> Chosen_;
};

} // namespace

GossipTargets choosePeers(const NodeTable &Known, const Location &At,
                          Milliseconds Interval, SteadyTime Now,
                          std::mt19937_64 &Random) {
  Sample InZone(PeersInZone);
  Sample InRegion(1);
  Sample OtherRegions(1);
  for (const auto &[Id, Node] : Known.Nodes) {
    if (!isAlive(Known, Node, Now))
      continue;
    const Proximity Distance = proximityOf(At, Known.Self, Node.LastReport);
    Sample &Link = Distance == Proximity::OtherRegion  ? OtherRegions
                   : Distance == Proximity::SameRegion ? InRegion
                                                       : InZone;
    Link.add(Node.LastReport.Gossip, Random);
  }
  const double Rounds =
      MillisecondsPerSecond / static_cast<double>(Interval.count());
  const auto IsDue = [&](double Rate, std::size_t Senders) {
    std::uniform_real_distribution<double> Chance(0, 1);
    return Chance(Random) < Rate / (Rounds * static_cast<double>(Senders));
  };
  const std::size_t ZoneNodes = InZone.seen() + 1;
  GossipTargets Targets;
  Targets.InZone = InZone.take();
  if (IsDue(ZoneDatagramsPerSecond, ZoneNodes))
    Targets.InRegion = InRegion.take();
  if (IsDue(RegionDatagramsPerSecond, ZoneNodes + InRegion.seen()))
    Targets.OtherRegions = OtherRegions.take();
  return Targets;
}

} // namespace lycheethread::mesh
