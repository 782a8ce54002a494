#ifndef LYCHEETHREAD_MOVEOWNER_INTERNAL_STOPSTATE_H
#define LYCHEETHREAD_MOVEOWNER_INTERNAL_STOPSTATE_H

#include "config/types/ConfigState.h"
#include "moves/Moves.h"
#include "proxy/types/OutcomeAccumulator.h"

#include <deque>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace lycheethread::moveowner {

/// Evidence of the entry node on one move.
struct EntryEvidence {
  moves::LocalStop Run;
  moves::CanaryAnalysis Tested;
};

/// Why this node stops the traffic of which moves.
struct StopState {
  /// Named by rumours, oldest first; also of moves not folded here yet.
  std::deque<MoveId> Rumoured;
  /// Stopped by this node as the entry.
  std::set<MoveId> Stopped;
  std::map<MoveId, EntryEvidence> Entry;
};

inline constexpr std::size_t MaxRumouredStops = 256;

/// False when \p Id is known already.
bool addStopRumour(StopState &Book, const MoveId &Id);

bool hasStopRumour(const StopState &Book, const MoveId &Id);

/// Feeds the entry's outcomes to the local stop of each running move; returns
/// the moves that stop by them.
std::vector<MoveId> addEntry(StopState &Book, const config::ConfigState &State,
                             const std::vector<proxy::ServiceOutcomes> &Seen,
                             SteadyTime Now);

/// The moves that get no traffic now: stopped, named by a rumour, or past the
/// deadline by this node's wall clock.
moves::StoppedMoveSet stoppedMovesOf(const StopState &Book,
                                     const config::ConfigState &State,
                                     WallTime Now);

} // namespace lycheethread::moveowner

#endif // LYCHEETHREAD_MOVEOWNER_INTERNAL_STOPSTATE_H
