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

/// Evidence about one move from the requests that entered at this node.
struct EntryEvidence {
  moves::LocalStop FailureRun;
  moves::CanaryAnalysis Analysis;
};

/// Moves whose traffic this node stops, with the reason.
struct StopState {
  /// Moves stopped by rumours, oldest first. May contain moves that this node
  /// has not folded yet.
  std::deque<MoveId> RumouredStops;
  /// Moves that this node stopped because of its own requests.
  std::set<MoveId> Stopped;
  std::map<MoveId, EntryEvidence> EntryByMove;
};

inline constexpr std::size_t MaxRumouredStops = 256;

/// Records a rumour to stop \p Id. Returns false when it was already known.
bool addStopRumour(StopState &Stops, const MoveId &Id);

bool hasStopRumour(const StopState &Stops, const MoveId &Id);

/// Adds the outcomes of requests that entered at this node to the evidence on
/// each running move. Returns the moves that are stopped because of them.
std::vector<MoveId>
evaluateEntryOutcomes(StopState &Stops, const config::ConfigState &State,
                      const std::vector<proxy::ServiceOutcomes> &Seen,
                      SteadyTime Now);

/// Returns the moves whose new version gets no traffic at \p Now: stopped by
/// this node, stopped by a rumour, or past the deadline by this node's wall
/// clock.
moves::StoppedMoveSet stoppedMovesOf(const StopState &Stops,
                                     const config::ConfigState &State,
                                     WallTime Now);

} // namespace lycheethread::moveowner

#endif // LYCHEETHREAD_MOVEOWNER_INTERNAL_STOPSTATE_H
