#include "mesh/Mesh.h"

#include <algorithm>
#include <functional>

namespace lycheethread::mesh {

namespace {

/// A node that has been silent for longer counts as gone. Its reports reach
/// every node of the users' largest deployment within about two seconds.
constexpr Milliseconds AliveTimeout{6000};
/// A node that has been silent for longer is removed. Until then its last known
/// incarnation keeps rejecting older reports.
constexpr Milliseconds RemovalTimeout{60000};
/// Nodes that read the store all the time; more than one, since each may fail.
constexpr std::size_t PermanentReaders = 2;
/// The other nodes start to read when the known position has not been confirmed
/// for this long. A change must be in force well within the users' limit, of
/// which MaxAgePercent is the most that may pass before.
constexpr Milliseconds MaxConfirmationAge{1500};
constexpr int MaxAgePercent = 60;
constexpr Milliseconds DelayPerRank{20};
constexpr int MaxRankDelayPercent = 16;
constexpr Milliseconds MaxReadWait{1000};
constexpr int MaxReadWaitPercent = 40;

/// While the store fails, the serving nodes share the attempts: together they
/// call it about ten times per second on average, since calls are billed and
/// the store may be able to serve only a few of them.
constexpr Milliseconds MaxReaderBackoff{1000};
constexpr Milliseconds MinOtherBackoff{3000};
constexpr Milliseconds BackoffPerNode{200};

/// Time for the first node of a zone or region to fetch records over a link and
/// to tell the others that it has them. After this time the others fetch the
/// records over the link themselves.
constexpr Milliseconds RemoteFetchDelay{350};

std::uint64_t hashOf(const NodeId &Id) {
  // FNV-1a: all nodes must compute the same hash, and std::hash differs between
  // builds.
  std::uint64_t Hash = 14695981039346656037ULL;
  for (const char Byte : Id.str())
    Hash = (Hash ^ static_cast<unsigned char>(Byte)) * 1099511628211ULL;
  return Hash;
}

} // namespace

bool mergeReport(NodeTable &Known, const NodeReport &Report, SteadyTime Now) {
  if (Report.Id == Known.Self || Report.Id.empty())
    return false;
  const auto Found = Known.Nodes.find(Report.Id);
  if (Found == Known.Nodes.end()) {
    Known.Nodes.emplace(Report.Id, KnownNode{Report, Now, std::nullopt});
    return true;
  }
  const NodeReport &Old = Found->second.LastReport;
  const bool IsNewer = Old.IncarnationNumber != Report.IncarnationNumber
                           ? Old.IncarnationNumber < Report.IncarnationNumber
                           : Old.Number < Report.Number;
  if (!IsNewer)
    return false;
  std::optional<Upstream> Left = std::move(Found->second.Left);
  if (isLeaving(Old.LocalUpstream) && Old.LocalUpstream.StartedAtUnixMs > 0)
    Left = Old.LocalUpstream;
  Found->second = {Report, Now, std::move(Left)};
  Upstream &Current = Found->second.LastReport.LocalUpstream;
  const std::optional<Upstream> &Past = Found->second.Left;
  if (Past && isSameProcess(*Past, Current) && !isLeaving(Current))
    Current.State = Past->State;
  return true;
}

bool isLeaving(const Upstream &Item) {
  return !Item.Id.empty() && (Item.State == UpstreamState::Draining ||
                              Item.State == UpstreamState::Gone);
}

bool isSameProcess(const Upstream &First, const Upstream &Second) {
  return First.Id == Second.Id &&
         First.StartedAtUnixMs == Second.StartedAtUnixMs;
}

bool isAlive(const KnownNode &Node, SteadyTime Now) {
  return elapsed(Node.HeardAt, Now) < AliveTimeout;
}

void expireNodes(NodeTable &Known, SteadyTime Now) {
  for (auto It = Known.Nodes.begin(); It != Known.Nodes.end();)
    It = elapsed(It->second.HeardAt, Now) > RemovalTimeout
             ? Known.Nodes.erase(It)
             : std::next(It);
}

std::size_t rendezvousRank(const NodeTable &Known, const std::string &Subject,
                           SteadyTime Now) {
  const auto Weight = [&](const NodeId &Id) {
    return hashOf(NodeId(Subject + "/" + Id.str()));
  };
  const std::uint64_t Own = Weight(Known.Self);
  return static_cast<std::size_t>(std::count_if(
      Known.Nodes.begin(), Known.Nodes.end(), [&](const auto &Item) {
        return isAlive(Item.second, Now) && !Item.second.LastReport.Stopping &&
               Weight(Item.first) < Own;
      }));
}

bool shouldReadStore(std::size_t Rank, Milliseconds ConfirmedAge,
                     const MeshBounds &Bounds) {
  if (Rank < PermanentReaders)
    return true;
  const auto Delay =
      std::min(Bounds.ConfigApplyTime * MaxRankDelayPercent / 100,
               DelayPerRank * static_cast<std::int64_t>(Rank));
  const auto MaxAge = std::min(MaxConfirmationAge,
                               Bounds.ConfigApplyTime * MaxAgePercent / 100);
  return ConfirmedAge > MaxAge + Delay;
}

Milliseconds storeReadWait(const MeshBounds &Bounds) {
  return std::min(MaxReadWait,
                  Bounds.ConfigApplyTime * MaxReadWaitPercent / 100);
}

Milliseconds maxStoreBackoff(bool ReadsAlways, bool Serves, std::size_t Nodes) {
  if (ReadsAlways || !Serves)
    return MaxReaderBackoff;
  return std::max(MinOtherBackoff,
                  BackoffPerNode * static_cast<std::int64_t>(Nodes));
}

Milliseconds fetchDelay(const NodeTable &Known, const Location &At,
                        Proximity Nearest, SteadyTime Now) {
  if (Nearest <= Proximity::SameZone)
    return Milliseconds(0);
  // Among the nearby nodes, which lack the records too, only the first in the
  // zone or region fetches them over the link.
  NodeTable Nearby;
  Nearby.Self = Known.Self;
  for (const auto &[Id, Node] : Known.Nodes) {
    const bool IsNear = Nearest == Proximity::OtherRegion
                            ? Node.LastReport.At.RegionName == At.RegionName
                            : Node.LastReport.At.Zone == At.Zone;
    if (IsNear)
      Nearby.Nodes.emplace(Id, Node);
  }
  return rendezvousRank(Nearby, "fetch", Now) == 0 ? Milliseconds(0)
                                                   : RemoteFetchDelay;
}

Proximity proximityOf(const Location &From, const NodeId &Self,
                      const NodeReport &Of) {
  if (Of.Id == Self)
    return Proximity::SameNode;
  if (Of.At.Zone == From.Zone)
    return Proximity::SameZone;
  return Of.At.RegionName == From.RegionName ? Proximity::SameRegion
                                             : Proximity::OtherRegion;
}

} // namespace lycheethread::mesh
