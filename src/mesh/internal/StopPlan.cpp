#include "mesh/Mesh.h"

#include <algorithm>

namespace lycheethread::mesh {

namespace {

/// Callers stop sending after two missed readiness probes, sent once per
/// second; until then a stopping node keeps serving where the grace time allows
/// it.
constexpr Milliseconds CallerDrainTime{2600};
/// Reserved at the end of the grace time for delivering answers and for
/// shutting down. An upstream may be at work up to the last sixth of the grace
/// time, so the part has to be smaller than that.
constexpr Milliseconds MaxStopMargin{700};
constexpr int StopMarginPercent = 11;
/// Many requests take longer than the mean service time.
constexpr int SlowRequestFactor = 2;

} // namespace

StopPlan planStop(const MeshBounds &Bounds) {
  constexpr int Whole = 100;
  const Milliseconds Margin =
      std::min(MaxStopMargin, Bounds.GraceTime * StopMarginPercent / Whole);
  StopPlan Plan;
  Plan.SendUntil = Bounds.GraceTime - Margin;
  // What is accepted last has as long to finish as callers have to leave.
  Plan.AcceptUntil = std::min(CallerDrainTime, Plan.SendUntil / 2);
  Plan.EndAt = Bounds.GraceTime - Margin / 2;
  return Plan;
}

bool canFinish(const StopPlan &Plan, Milliseconds SinceStop, Milliseconds Wait,
               Milliseconds ServiceTime) {
  return SinceStop + Wait + ServiceTime * SlowRequestFactor <= Plan.SendUntil;
}

} // namespace lycheethread::mesh
