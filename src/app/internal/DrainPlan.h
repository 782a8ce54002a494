#ifndef LYCHEETHREAD_APP_INTERNAL_DRAINPLAN_H
#define LYCHEETHREAD_APP_INTERNAL_DRAINPLAN_H

#include "model/Model.h"

namespace lycheethread::app {

/// How a drain divides the time that the settings allow.
struct DrainPlan {
  /// The port for callers closes once the last hop has had no requests for this
  /// time: requests that were in transit have arrived then, and the other nodes
  /// have learnt of the drain.
  Milliseconds LastHopIdle{0};
  /// The port for callers closes after this time in any case.
  Milliseconds LastHopLimit{0};
  /// The node ends once it has had no requests for this time after the port was
  /// closed: a caller that connected just before has sent its request by then.
  Milliseconds ListenIdle{0};
};

DrainPlan planDrain(Milliseconds Timeout);

} // namespace lycheethread::app

#endif // LYCHEETHREAD_APP_INTERNAL_DRAINPLAN_H
