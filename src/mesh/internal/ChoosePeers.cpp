#include "mesh/Mesh.h"

#include <algorithm>

namespace lycheethread::mesh {

namespace {

/// Nodes of the local zone to which a report is sent in each round. It reaches
/// all nodes of a zone of 25 in about three rounds.
constexpr std::size_t PeersInZone = 2;
/// Datagrams per second from one zone to the rest of its region, and from one
/// region to the others. Each carries the reports of several nodes. A fixed
/// rate per node would let the traffic on links that are billed by volume grow
/// with the number of nodes.
constexpr double ZoneDatagramsPerSecond = 16;
constexpr double RegionDatagramsPerSecond = 12;
constexpr double MillisecondsPerSecond = 1000;

} // namespace

std::vector<Endpoint> choosePeers(const NodeTable &Known, const Location &At,
                                  Milliseconds Interval, SteadyTime Now,
                                  std::mt19937_64 &Random) {
  std::vector<Endpoint> InZone;
  std::vector<Endpoint> InRegion;
  std::vector<Endpoint> OtherRegions;
  for (const auto &[Id, Node] : Known.Nodes) {
    if (!isAlive(Node, Now))
      continue;
    const Proximity Distance = proximityOf(At, Known.Self, Node.LastReport);
    auto &List = Distance == Proximity::OtherRegion  ? OtherRegions
                 : Distance == Proximity::SameRegion ? InRegion
                                                     : InZone;
    List.push_back(Node.LastReport.Gossip);
  }
  const double Rounds =
      MillisecondsPerSecond / static_cast<double>(Interval.count());
  const auto AddOne = [&](const std::vector<Endpoint> &From, double Rate,
                          std::size_t Senders, std::vector<Endpoint> &To) {
    std::uniform_real_distribution<double> Chance(0, 1);
    const double Share = Rate / (Rounds * static_cast<double>(Senders));
    if (!From.empty() && Chance(Random) < Share)
      To.push_back(From[Random() % From.size()]);
  };
  const std::size_t ZoneNodes = InZone.size() + 1;
  std::vector<Endpoint> Peers = InZone;
  std::shuffle(Peers.begin(), Peers.end(), Random);
  Peers.resize(std::min(Peers.size(), PeersInZone));
  AddOne(InRegion, ZoneDatagramsPerSecond, ZoneNodes, Peers);
  AddOne(OtherRegions, RegionDatagramsPerSecond, ZoneNodes + InRegion.size(),
         Peers);
  return Peers;
}

} // namespace lycheethread::mesh
