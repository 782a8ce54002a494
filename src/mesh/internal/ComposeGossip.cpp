#include "mesh/Mesh.h"

#include <algorithm>

namespace lycheethread::mesh {

namespace {

/// A state is forwarded this many times by each node that has it, plus one for
/// each doubling of the number of nodes.
constexpr int MinStateForwards = 3;
/// A load is newer again within a second; most of its copies would come late.
constexpr int MaxLoadForwards = 3;

int stateForwardLimit(std::size_t Nodes) {
  int Limit = MinStateForwards;
  for (; Nodes > 1; Nodes /= 2)
    ++Limit;
  return Limit;
}

/// Adds the reports whose state still spreads, up to \p Room bytes; returns the
/// bytes used.
std::size_t addReports(NodeTable &Known, const GossipPlan &Plan,
                       std::size_t Room, SteadyTime Now, GossipContent &To) {
  const int Limit = stateForwardLimit(Known.Nodes.size());
  std::size_t Used = 0;
  for (std::size_t Left = Known.Unspread.size(); Left > 0; --Left) {
    const NodeId Id = Known.Unspread.front();
    const auto Found = Known.Nodes.find(Id);
    if (Found == Known.Nodes.end() || Found->second.StateForwards >= Limit ||
        !isAlive(Known, Found->second, Now)) {
      if (Found != Known.Nodes.end())
        Found->second.IsUnspread = false;
      Known.Unspread.pop_front();
      continue;
    }
    NodeReport Report = forwardedReport(Found->second, Now);
    const std::size_t Size = Plan.ReportBytes(Report);
    if (Used + Size > Room)
      break;
    Used += Size;
    ++Found->second.StateForwards;
    ++Found->second.LoadForwards;
    To.Reports.push_back(std::move(Report));
    // The others get their turn first.
    Known.Unspread.pop_front();
    Known.Unspread.push_back(Id);
  }
  return Used;
}

bool mayCarry(const NodeTable &Known, const KnownNode &Node, SteadyTime Now) {
  return Node.LoadForwards < MaxLoadForwards &&
         Node.LastReport.State > Sequence() && isAlive(Known, Node, Now);
}

/// Walks once through the nodes from the cursor and adds the loads that
/// \p Wanted selects, up to \p Count.
template <typename Selector>
void addBeats(NodeTable &Known, std::size_t Count, SteadyTime Now,
              const Selector &Wanted, GossipContent &To) {
  auto It = Known.Nodes.upper_bound(Known.BeatCursor);
  for (std::size_t Left = Known.Nodes.size(); Left > 0 && Count > 0; --Left) {
    if (It == Known.Nodes.end())
      It = Known.Nodes.begin();
    KnownNode &Node = It->second;
    if (Wanted(Node.LastReport.At) && mayCarry(Known, Node, Now)) {
      ++Node.LoadForwards;
      To.Beats.push_back(beatOf(Node.LastReport));
      Known.BeatCursor = It->first;
      --Count;
    }
    ++It;
  }
}

} // namespace

GossipContent composeGossip(NodeTable &Known, const GossipPlan &Plan,
                            SteadyTime Now) {
  GossipContent Content;
  // Changed states are rare but for a start of many nodes; loads keep half of
  // the room even then.
  const std::size_t Used =
      addReports(Known, Plan, Plan.Bytes / 2, Now, Content);
  const std::size_t Room = (Plan.Bytes - Used) / Plan.BeatBytes;
  const auto IsInZone = [&](const Location &At) {
    return At.Zone == Plan.At.Zone;
  };
  const auto IsInRegion = [&](const Location &At) {
    return At.RegionName == Plan.At.RegionName;
  };
  switch (Plan.Scope) {
  case BeatScope::Zone:
    addBeats(Known, Room, Now, IsInZone, Content);
    break;
  case BeatScope::Region:
    addBeats(Known, Room, Now, IsInRegion, Content);
    break;
  case BeatScope::All:
    addBeats(Known, Room / 2, Now, IsInZone, Content);
    addBeats(
        Known, Room - Content.Beats.size(), Now,
        [&](const Location &At) { return !IsInZone(At); }, Content);
    break;
  }
  return Content;
}

} // namespace lycheethread::mesh
