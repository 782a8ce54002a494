#include "mesh/Mesh.h"

#include <algorithm>

namespace lycheethread::mesh {

namespace {

/// Nodes of the own zone told in each round. News reach a zone of 25 nodes in
/// about three rounds.
constexpr std::size_t PeersInZone = 2;
/// Datagrams a second from one zone to the rest of its region, and from one
/// region to the others. Each carries the news of several nodes. A fixed rate
/// for each node let the bytes over links that are billed by volume grow with
/// the number of nodes.
constexpr double ZoneDatagramsPerSecond = 16;
constexpr double RegionDatagramsPerSecond = 12;
constexpr double MillisecondsPerSecond = 1000;

} // namespace

std::vector<Endpoint> choosePeers(const Fleet &Known, const Location &At,
                                  Milliseconds Interval, SteadyTime Now,
                                  std::mt19937_64 &Random) {
  std::vector<Endpoint> InZone;
  std::vector<Endpoint> InRegion;
  std::vector<Endpoint> Far;
  for (const auto &[Id, Node] : Known.Nodes) {
    if (!isAlive(Node, Now))
      continue;
    const Proximity Distance = proximityOf(At, Known.Self, Node.News);
    auto &List = Distance == Proximity::OtherRegion ? Far
                 : Distance == Proximity::OwnRegion ? InRegion
                                                    : InZone;
    List.push_back(Node.News.Gossip);
  }
  const double Rounds =
      MillisecondsPerSecond / static_cast<double>(Interval.count());
  const auto AddOne = [&](const std::vector<Endpoint> &From, double Rate,
                          std::size_t Senders, std::vector<Endpoint> &To) {
    std::uniform_real_distribution<double> Part(0, 1);
    const double Share = Rate / (Rounds * static_cast<double>(Senders));
    if (!From.empty() && Part(Random) < Share)
      To.push_back(From[Random() % From.size()]);
  };
  const std::size_t ZoneNodes = InZone.size() + 1;
  std::vector<Endpoint> Peers = InZone;
  std::shuffle(Peers.begin(), Peers.end(), Random);
  Peers.resize(std::min(Peers.size(), PeersInZone));
  AddOne(InRegion, ZoneDatagramsPerSecond, ZoneNodes, Peers);
  AddOne(Far, RegionDatagramsPerSecond, ZoneNodes + InRegion.size(), Peers);
  return Peers;
}

} // namespace lycheethread::mesh
