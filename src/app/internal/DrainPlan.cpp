#include "app/internal/DrainPlan.h"

#include <algorithm>

namespace lycheethread::app {

namespace {

constexpr Milliseconds MaxLastHopIdle{3000};
constexpr Milliseconds MaxListenIdle{1000};
/// Time for callers to finish after the port has closed.
constexpr Milliseconds MaxCallerTime{10'000};

} // namespace

DrainPlan planDrain(Milliseconds Timeout) {
  DrainPlan Plan;
  Plan.LastHopIdle = std::min(MaxLastHopIdle, Timeout / 4);
  Plan.LastHopLimit = Timeout - std::min(MaxCallerTime, Timeout / 2);
  Plan.ListenIdle = std::min(MaxListenIdle, Timeout / 8);
  return Plan;
}

} // namespace lycheethread::app
