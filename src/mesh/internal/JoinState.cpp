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

bool knowsListedNodes(const JoinState &State, std::size_t Heard) {
  constexpr std::size_t Whole = 100;
  // Nodes that start together may miss each other on the list, so a new node
  // has to hear of most of them. A listed one is known to the others.
  const std::size_t Wanted =
      State.IsNew ? (State.Others * JoinPercent + Whole - 1) / Whole
                  : std::min<std::size_t>(1, State.Others);
  return Heard >= Wanted;
}

bool hasJoined(const JoinState &State, std::size_t Heard, Milliseconds Waited) {
  if (Waited >= MaxJoinTime)
    return true;
  // Without the list, the other nodes tell who is there.
  return State.IsListed ? knowsListedNodes(State, Heard) : Heard > 0;
}

} // namespace lycheethread::mesh
