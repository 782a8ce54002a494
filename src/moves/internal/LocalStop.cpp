#include "moves/Moves.h"

namespace lycheethread::moves {

namespace {

constexpr std::size_t MaxStopRoutes = 256;

/// The order of the requests in one report is not known, so only a report
/// without a success continues a run of failures.
bool extendsRun(std::int64_t &Run, const RouteOutcomes &Seen) {
  if (Seen.Requests == 0)
    return false;
  Run = Seen.Failures == Seen.Requests ? Run + Seen.Failures : 0;
  return Run >= MaxConsecutiveFailures;
}

} // namespace

bool addEntryOutcomes(LocalStop &State, const Move &Item,
                      const std::vector<RouteOutcomes> &Seen) {
  bool Stop = false;
  for (const RouteOutcomes &Outcome : Seen) {
    if (Outcome.Group != Item.Plan.Group || Outcome.Version != Item.Plan.To)
      continue;
    if (State.ConsecutiveFailures.count(Outcome.Route) == 0 &&
        State.ConsecutiveFailures.size() >= MaxStopRoutes)
      continue;
    Stop |= extendsRun(State.ConsecutiveFailures[Outcome.Route], Outcome);
  }
  return Stop;
}

} // namespace lycheethread::moves
