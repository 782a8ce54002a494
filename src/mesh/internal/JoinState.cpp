#include "mesh/Mesh.h"

#include <algorithm>

namespace lycheethread::mesh {

namespace {

/// Listed nodes that have ended do not answer; a starting node does not wait
/// for them any longer.
constexpr Milliseconds MaxJoinTime{1200};
/// Part of the listed nodes that a new node waits for, in percent.
constexpr std::size_t JoinPercent = 75;
/// The store answers a node of its own region within this time, even if the
/// node has only a tenth of a core. The round trip to the other region takes 60
/// ms, and connecting takes another.
constexpr Milliseconds NearStoreResponseTime{80};
constexpr Milliseconds MaxFirstReadDelay{400};
constexpr Milliseconds FirstReadDelayPerNode{2};

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

// When all nodes start at once, the configuration would cross the region link
// once for each node of the remote region. A node that gets slow answers from
// the store first waits for nodes near the store to pass the records on. Of
// many nodes near the store, the first ones read it and the others take the
// records from them.
FirstReadDelay firstReadDelay(std::size_t Listed, Milliseconds ResponseTime) {
  if (ResponseTime >= NearStoreResponseTime)
    return {MaxFirstReadDelay, MaxFirstReadDelay};
  return {Milliseconds(0),
          std::min(MaxFirstReadDelay,
                   FirstReadDelayPerNode * static_cast<std::int64_t>(Listed))};
}

} // namespace lycheethread::mesh
