#include "mesh/Mesh.h"

#include <algorithm>

namespace lycheethread::mesh {

namespace {

/// A state is forwarded this many times by each node that has it. A node that
/// misses it all the same notices by the loads and asks for it.
constexpr int MaxStateForwards = 5;
/// A load is newer again within a second; most of its copies would come late.
constexpr int MaxLoadForwards = 3;
/// Loads that were heard of earlier are probably known to the receiver.
constexpr Milliseconds FreshLoadAge{1000};

/// Adds the reports whose state still spreads, up to \p Room bytes; returns the
/// bytes used.
std::size_t addReports(NodeTable &Known, const GossipPlan &Plan,
                       std::size_t Room, SteadyTime Now, GossipContent &To) {
  std::vector<NodeId> Sent;
  std::size_t Used = 0;
  for (std::size_t Left = Known.Unspread.size(); Left > 0; --Left) {
    const NodeId Id = Known.Unspread.front();
    const auto Found = Known.Nodes.find(Id);
    if (Found == Known.Nodes.end() ||
        Found->second.StateForwards >= MaxStateForwards ||
        !isAlive(Known, Found->second, Now) ||
        std::find(Sent.begin(), Sent.end(), Id) != Sent.end()) {
      Known.Unspread.pop_front();
      continue;
    }
    NodeReport Report = forwardedReport(Found->second, Now);
    const std::size_t Size = Plan.ReportBytes(Report);
    if (Size > Room) {
      // It must not hold up the others; whoever lacks it asks for it.
      Found->second.StateForwards = MaxStateForwards;
      continue;
    }
    if (Used + Size > Room)
      break;
    Used += Size;
    ++Found->second.StateForwards;
    ++Found->second.LoadForwards;
    To.Reports.push_back(std::move(Report));
    Known.Unspread.pop_front();
    Sent.push_back(Id);
  }
  // Newer states go first until they have spread.
  Known.Unspread.insert(Known.Unspread.begin(), Sent.begin(), Sent.end());
  return Used;
}

bool mayCarry(const NodeTable &Known, const KnownNode &Node, SteadyTime Now) {
  return Node.LoadForwards < MaxLoadForwards &&
         Node.LastReport.State > Sequence() && isAlive(Known, Node, Now);
}

/// Walks once through the nodes from the cursor and adds the loads that
/// \p Wanted selects, up to \p Count.
template <typename Selector>
void addLoads(NodeTable &Known, std::size_t Count, SteadyTime Now,
              const Selector &Wanted, GossipContent &To) {
  auto It = Known.Nodes.upper_bound(Known.BeatCursor);
  for (std::size_t Left = Known.Nodes.size(); Left > 0 && Count > 0; --Left) {
    if (It == Known.Nodes.end())
      It = Known.Nodes.begin();
    KnownNode &Node = It->second;
    if (mayCarry(Known, Node, Now) && Wanted(Node)) {
      ++Node.LoadForwards;
      To.Beats.push_back(beatOf(Node.LastReport));
      Known.BeatCursor = It->first;
      --Count;
    }
    ++It;
  }
}

bool isFresh(const KnownNode &Node, SteadyTime Now) {
  return elapsed(Node.HeardAt, Now) < FreshLoadAge;
}

/// Adds the fresh loads of the places that \p Wanted selects, up to \p Count.
template <typename Selector>
void addFreshBeats(NodeTable &Known, std::size_t Count, SteadyTime Now,
                   const Selector &Wanted, GossipContent &To) {
  addLoads(
      Known, Count, Now,
      [&](const KnownNode &Node) {
        return isFresh(Node, Now) && Wanted(Node.LastReport.At);
      },
      To);
}

/// Adds fresh loads first, then others.
template <typename Selector>
void addBeats(NodeTable &Known, std::size_t Count, SteadyTime Now,
              const Selector &Wanted, GossipContent &To) {
  const std::size_t Before = To.Beats.size();
  addFreshBeats(Known, Count, Now, Wanted, To);
  addLoads(
      Known, Count - (To.Beats.size() - Before), Now,
      [&](const KnownNode &Node) {
        return !isFresh(Node, Now) && Wanted(Node.LastReport.At);
      },
      To);
}

} // namespace

bool hasUrgentState(const NodeTable &Known) {
  if (Known.Unspread.empty())
    return false;
  const auto Found = Known.Nodes.find(Known.Unspread.front());
  return Found != Known.Nodes.end() && Found->second.StateForwards == 0;
}

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
  const auto IsElsewhere = [&](const Location &At) { return !IsInZone(At); };
  switch (Plan.Scope) {
  case BeatScope::Zone:
    addBeats(Known, Room, Now, IsInZone, Content);
    // The link is billed, so only what the other side probably lacks follows.
    if (Content.Beats.size() < Room / 2)
      addFreshBeats(Known, Room / 2 - Content.Beats.size(), Now, IsElsewhere,
                    Content);
    break;
  case BeatScope::All:
    addBeats(Known, Room / 2, Now, IsInZone, Content);
    addBeats(Known, Room - Content.Beats.size(), Now, IsElsewhere, Content);
    break;
  }
  return Content;
}

} // namespace lycheethread::mesh
