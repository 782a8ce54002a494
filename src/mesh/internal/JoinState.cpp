#include "mesh/Mesh.h"

#include <algorithm>

namespace lycheethread::mesh {

namespace {

/// Listed nodes that have ended do not answer; a starting node does not wait
/// for them any longer.
constexpr Milliseconds MaxJoinTime{1200};
/// Part of the listed nodes that a new node waits for, in percent.
constexpr std::size_t JoinPercent = 75;

} // namespace

// Of two nodes that start together and miss each other on the list, the later
// one finds the other; so a new node has to hear of most of those before it.
bool knowsListedNodes(const JoinState &State, const NodeTable &Known) {
  constexpr std::size_t Whole = 100;
  if (!State.IsNew)
    return Known.Nodes.size() >= std::min<std::size_t>(1, State.Others);
  const auto Before = static_cast<std::size_t>(std::count_if(
      Known.Nodes.begin(), Known.Nodes.end(), [&](const auto &Item) {
        const Offset Place = Item.second.LastReport.Place;
        return Place > Offset() && Place < State.Place;
      }));
  return Before * Whole >= State.Others * JoinPercent;
}

bool hasJoined(const JoinState &State, const NodeTable &Known,
               Milliseconds Waited) {
  if (Waited >= MaxJoinTime)
    return true;
  // Without the list, the other nodes tell who is there.
  return State.IsListed ? knowsListedNodes(State, Known) : !Known.Nodes.empty();
}

} // namespace lycheethread::mesh
