#include "mesh/Mesh.h"

#include <algorithm>
#include <functional>

namespace lycheethread::mesh {

namespace {

/// Silence after which a node counts as gone. News reach every node of the
/// users' largest deployment within about two seconds.
constexpr Milliseconds SilentAfter{6000};
/// A node that has been silent for this long is forgotten; until then its last
/// life still rejects older news of it.
constexpr Milliseconds ForgetAfter{60000};
/// Nodes that read the store all the time: each of them may fail.
constexpr std::size_t SteadyReaders = 2;
/// The others start to read when nobody has confirmed the position for this
/// long. A change must be in force well within the users' 2.5 s.
constexpr Milliseconds ConfirmationTooOld{1500};
constexpr Milliseconds DelayPerRank{20};
constexpr Milliseconds MaxRankDelay{400};

/// While the store fails, the nodes that serve try it in turn: all of them
/// together about ten times a second on average, since calls are billed and the
/// store may serve some of them only.
constexpr Milliseconds PauseOfReaders{1000};
constexpr Milliseconds ShortestPauseOfOthers{3000};
constexpr Milliseconds PausePerNode{200};

/// Time for the first node of a zone or region to fetch records over a link and
/// to tell the others; after it they fetch for themselves.
constexpr Milliseconds FetchPatience{350};

std::uint64_t hashOf(const NodeId &Id) {
  // FNV-1a: std::hash differs between builds, and all nodes must agree.
  std::uint64_t Hash = 14695981039346656037ULL;
  for (const char Byte : Id.str())
    Hash = (Hash ^ static_cast<unsigned char>(Byte)) * 1099511628211ULL;
  return Hash;
}

} // namespace

bool mergeReport(Fleet &Known, const NodeReport &News, SteadyTime Now) {
  if (News.Id == Known.Self || News.Id.empty())
    return false;
  const auto Found = Known.Nodes.find(News.Id);
  if (Found == Known.Nodes.end()) {
    Known.Nodes.emplace(News.Id, KnownNode{News, Now});
    return true;
  }
  const NodeReport &Old = Found->second.News;
  const bool IsNewer = Old.IncarnationNumber != News.IncarnationNumber
                           ? Old.IncarnationNumber < News.IncarnationNumber
                           : Old.Number < News.Number;
  if (!IsNewer)
    return false;
  Found->second = {News, Now};
  return true;
}

bool isAlive(const KnownNode &Node, SteadyTime Now) {
  return elapsed(Node.HeardAt, Now) < SilentAfter;
}

void expireNodes(Fleet &Known, SteadyTime Now) {
  for (auto It = Known.Nodes.begin(); It != Known.Nodes.end();)
    It = elapsed(It->second.HeardAt, Now) > ForgetAfter ? Known.Nodes.erase(It)
                                                        : std::next(It);
}

std::size_t rendezvousRank(const Fleet &Known, const std::string &Subject,
                           SteadyTime Now) {
  const auto Weight = [&](const NodeId &Id) {
    return hashOf(NodeId(Subject + "/" + Id.str()));
  };
  const std::uint64_t Own = Weight(Known.Self);
  return static_cast<std::size_t>(std::count_if(
      Known.Nodes.begin(), Known.Nodes.end(), [&](const auto &Item) {
        return isAlive(Item.second, Now) && !Item.second.News.Stopping &&
               Weight(Item.first) < Own;
      }));
}

bool shouldReadStore(std::size_t Rank, Milliseconds ConfirmedAge) {
  if (Rank < SteadyReaders)
    return true;
  const auto Delay =
      std::min(MaxRankDelay, DelayPerRank * static_cast<std::int64_t>(Rank));
  return ConfirmedAge > ConfirmationTooOld + Delay;
}

Milliseconds maxStoreBackoff(bool ReadsAlways, bool Serves, std::size_t Nodes) {
  if (ReadsAlways || !Serves)
    return PauseOfReaders;
  return std::max(ShortestPauseOfOthers,
                  PausePerNode * static_cast<std::int64_t>(Nodes));
}

Milliseconds fetchDelay(const Fleet &Known, const Location &At,
                        Proximity Nearest, SteadyTime Now) {
  if (Nearest <= Proximity::OwnZone)
    return Milliseconds(0);
  // Of those that lack the records as well, only the first in the zone, or in
  // the region, fetches them over the link.
  Fleet Near;
  Near.Self = Known.Self;
  for (const auto &[Id, Node] : Known.Nodes) {
    const bool IsNear = Nearest == Proximity::OtherRegion
                            ? Node.News.At.RegionName == At.RegionName
                            : Node.News.At.Zone == At.Zone;
    if (IsNear)
      Near.Nodes.emplace(Id, Node);
  }
  return rendezvousRank(Near, "fetch", Now) == 0 ? Milliseconds(0)
                                                 : FetchPatience;
}

Proximity proximityOf(const Location &From, const NodeId &Self,
                      const NodeReport &Of) {
  if (Of.Id == Self)
    return Proximity::OwnNode;
  if (Of.At.Zone == From.Zone)
    return Proximity::OwnZone;
  return Of.At.RegionName == From.RegionName ? Proximity::OwnRegion
                                             : Proximity::OtherRegion;
}

} // namespace lycheethread::mesh
