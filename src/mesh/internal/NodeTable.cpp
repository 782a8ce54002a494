#include "mesh/Mesh.h"

#include <algorithm>
#include <utility>

namespace lycheethread::mesh {

namespace {

/// A node that has been silent for longer counts as gone. The time grows with
/// the number of nodes, whose loads share the same datagrams.
constexpr Milliseconds MinAliveTimeout{6000};
constexpr Milliseconds AliveTimePerNode{80};
constexpr int RemovalFactor = 2;
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

/// The report of a new node counts as forwarded this often: its loads show that
/// it is there, and whoever lacks the report asks for it.
constexpr int NewNodeForwards = 3;

std::uint64_t rendezvousWeight(const std::string &Subject, const NodeId &Id) {
  return mixBits(fnv1a(Id.str(), mixBits(fnv1a(Subject))));
}

/// Takes what \p Report says and \p Into does not know yet. Returns whether the
/// state has changed, and sets \p IsNews if anything has.
bool updateNode(KnownNode &Into, const NodeReport &Report, SteadyTime Now,
                bool &IsNews) {
  const NodeReport &Old = Into.LastReport;
  const bool IsSameLife = Old.IncarnationNumber == Report.IncarnationNumber;
  const bool HasNewerLoad = !IsSameLife || Old.Number < Report.Number;
  // A node that does not count its states changes with each message.
  const bool HasNewerState = !IsSameLife || Old.State < Report.State ||
                             (Report.State == Sequence() && HasNewerLoad);
  const bool IsCurrentState = IsSameLife && Old.State == Report.State;
  IsNews = HasNewerState || (HasNewerLoad && IsSameLife);
  if (HasNewerState || (IsCurrentState && HasNewerLoad)) {
    const Sequence Number = Old.Number;
    const LoadReport Load = Old.Load;
    Into.LastReport = Report;
    Into.ReportedAt = Now;
    if (!HasNewerLoad) {
      Into.LastReport.Number = Number;
      Into.LastReport.Load = Load;
    }
  } else if (HasNewerLoad) {
    Into.LastReport.Number = Report.Number;
    Into.LastReport.Load = Report.Load;
  }
  if (HasNewerLoad) {
    Into.HeardAt = Now;
    Into.LoadForwards = 0;
  }
  if (HasNewerState)
    Into.StateForwards = 0;
  return HasNewerState;
}

} // namespace

bool mergeReport(NodeTable &Known, const NodeReport &Report, SteadyTime Now) {
  if (Report.Id == Known.Self || Report.Id.empty())
    return false;
  const auto [Found, IsNew] = Known.Nodes.try_emplace(Report.Id);
  KnownNode &Node = Found->second;
  if (!IsNew && Node.LastReport.IncarnationNumber > Report.IncarnationNumber)
    return false;
  const Upstream Before = Node.LastReport.LocalUpstream;
  const NodeKey OldKey = nodeKey(Report.Id, Node.LastReport.IncarnationNumber);
  bool IsNews = IsNew;
  bool HasNewState = IsNew;
  if (IsNew)
    Node = {Report, Now, Now, NewNodeForwards, 0, std::nullopt};
  else
    HasNewState = updateNode(Node, Report, Now, IsNews);
  if (HasNewState) {
    Known.ByKey.erase(OldKey.value());
    Known.ByKey[nodeKey(Report.Id, Report.IncarnationNumber).value()] =
        Report.Id;
    Known.Unspread.push_front(Report.Id);
  }
  if (isLeaving(Before) && Before.StartedAtUnixMs > 0)
    Node.Left = Before;
  Upstream &Current = Node.LastReport.LocalUpstream;
  if (Node.Left && isSameProcess(*Node.Left, Current) && !isLeaving(Current))
    Current.State = Node.Left->State;
  return IsNews;
}

bool recordLeaving(NodeTable &Known, const NodeId &Id, Upstream Process) {
  const auto Found = Known.Nodes.find(Id);
  if (Found == Known.Nodes.end() || isLeaving(Process))
    return false;
  KnownNode &Node = Found->second;
  Process.State = UpstreamState::Draining;
  if (isSameProcess(Node.LastReport.LocalUpstream, Process))
    Node.LastReport.LocalUpstream.State = UpstreamState::Draining;
  if (Process.StartedAtUnixMs > 0)
    Node.Left = Process;
  return true;
}

NodeKey nodeKey(const NodeId &Id, Incarnation Number) {
  // 40 bits are short on the wire and still tell a few thousand nodes apart.
  constexpr unsigned DroppedBits = 24;
  return NodeKey(static_cast<std::int64_t>(
      mixBits(fnv1a(Id.str()) + static_cast<std::uint64_t>(Number.value())) >>
      DroppedBits));
}

bool mergeBeat(NodeTable &Known, const LoadBeat &Beat, SteadyTime Now) {
  const auto Id = Known.ByKey.find(Beat.Node.value());
  const auto Found = Id == Known.ByKey.end() ? Known.Nodes.end()
                                             : Known.Nodes.find(Id->second);
  if (Found == Known.Nodes.end())
    return false;
  KnownNode &Node = Found->second;
  if (Node.LastReport.Number < Beat.Number) {
    Node.LastReport.Number = Beat.Number;
    Node.LastReport.Load = Beat.Load;
    Node.HeardAt = Now;
    Node.LoadForwards = 0;
  }
  return Beat.State <= Node.LastReport.State;
}

LoadBeat beatOf(const NodeReport &Report) {
  return {nodeKey(Report.Id, Report.IncarnationNumber), Report.State,
          Report.Number, Report.Load};
}

NodeReport forwardedReport(const KnownNode &Node, SteadyTime Now) {
  NodeReport Report = Node.LastReport;
  // Ages count from the time of sending.
  const Milliseconds Since = elapsed(Node.ReportedAt, Now);
  if (Report.ConfirmedAge)
    *Report.ConfirmedAge += Since;
  for (RolloutReport &Rollout : Report.Rollouts) {
    Rollout.Age += Since;
    if (Rollout.Judged)
      Rollout.Judged->Age += Since;
  }
  Milliseconds &Cold = Report.LocalUpstream.ColdRemaining;
  Cold = std::max(Milliseconds(0), Cold - Since);
  return Report;
}

bool isLeaving(const Upstream &Item) {
  return !Item.Id.empty() && (Item.State == UpstreamState::Draining ||
                              Item.State == UpstreamState::Gone);
}

bool isSameProcess(const Upstream &First, const Upstream &Second) {
  return First.Id == Second.Id &&
         First.StartedAtUnixMs == Second.StartedAtUnixMs;
}

Milliseconds aliveTimeout(std::size_t Nodes) {
  return std::max(MinAliveTimeout,
                  AliveTimePerNode * static_cast<std::int64_t>(Nodes));
}

bool isAlive(const NodeTable &Known, const KnownNode &Node, SteadyTime Now) {
  return elapsed(Node.HeardAt, Now) < aliveTimeout(Known.Nodes.size());
}

void expireNodes(NodeTable &Known, SteadyTime Now) {
  const Milliseconds Longest = std::max(
      RemovalTimeout, aliveTimeout(Known.Nodes.size()) * RemovalFactor);
  for (auto It = Known.Nodes.begin(); It != Known.Nodes.end();) {
    if (elapsed(It->second.HeardAt, Now) <= Longest) {
      ++It;
      continue;
    }
    Known.ByKey.erase(
        nodeKey(It->first, It->second.LastReport.IncarnationNumber).value());
    It = Known.Nodes.erase(It);
  }
}

std::size_t rendezvousRank(const NodeTable &Known, const std::string &Subject,
                           SteadyTime Now) {
  const std::uint64_t Own = rendezvousWeight(Subject, Known.Self);
  return static_cast<std::size_t>(std::count_if(
      Known.Nodes.begin(), Known.Nodes.end(), [&](const auto &Item) {
        return isAlive(Known, Item.second, Now) &&
               !Item.second.LastReport.Stopping &&
               rendezvousWeight(Subject, Item.first) < Own;
      }));
}

namespace {

/// Returns the first \p Count of the nodes that \p IsWanted selects, and this
/// node.
template <typename Selector>
std::vector<NodeId> firstByWeight(const NodeTable &Known,
                                  const std::string &Subject, std::size_t Count,
                                  const Selector &IsWanted) {
  std::vector<std::pair<std::uint64_t, NodeId>> Weighted{
      {rendezvousWeight(Subject, Known.Self), Known.Self}};
  for (const auto &[Id, Node] : Known.Nodes)
    if (!Node.LastReport.Stopping && IsWanted(Node))
      Weighted.emplace_back(rendezvousWeight(Subject, Id), Id);
  Count = std::min(Count, Weighted.size());
  std::partial_sort(Weighted.begin(),
                    Weighted.begin() + static_cast<std::ptrdiff_t>(Count),
                    Weighted.end());
  std::vector<NodeId> First;
  for (std::size_t At = 0; At < Count; ++At)
    First.push_back(Weighted[At].second);
  return First;
}

} // namespace

std::vector<NodeId> rendezvousFirst(const NodeTable &Known,
                                    const std::string &Subject,
                                    std::size_t Count, SteadyTime Now) {
  return firstByWeight(Known, Subject, Count, [&](const KnownNode &Node) {
    return isAlive(Known, Node, Now);
  });
}

std::vector<NodeId> rendezvousOrder(const NodeTable &Known,
                                    const std::string &Subject,
                                    std::size_t Count) {
  return firstByWeight(Known, Subject, Count,
                       [](const KnownNode &) { return true; });
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
