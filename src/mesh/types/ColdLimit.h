#ifndef LYCHEETHREAD_MESH_TYPES_COLDLIMIT_H
#define LYCHEETHREAD_MESH_TYPES_COLDLIMIT_H

#include "model/Model.h"

#include <deque>
#include <optional>

namespace lycheethread::mesh {

/// Limits the requests to an upstream while it is cold, or may be: it has a low
/// rate then. The last hop is the only sender to its upstream, so the limit
/// holds for all nodes together.
struct ColdLimit {
  /// Requests a second that a cold upstream takes; without, there is no limit.
  std::optional<double> PerSecond;
  /// What it may get beyond that in any second: a factor on the rate, and a
  /// number on top.
  double Overage = 1;
  double Slack = 0;
  /// The upstream is cold until then, by its newest check-in or health check.
  SteadyTime ColdUntil;
  /// It may be cold, since UnsureSince, and no check-in or health check tells
  /// yet.
  bool IsUnsure = false;
  SteadyTime UnsureSince;
  /// When the health check ends that is outstanding.
  std::optional<SteadyTime> CheckEnd;
  /// A check-in of the same process that was received earlier may have been
  /// sent before the restart, the return of the zone or the health check.
  SteadyTime TrustedFrom;
  /// Permits as of RefilledAt.
  double Permits = 0;
  SteadyTime RefilledAt;
  /// When requests were sent within the last second, the oldest first.
  std::deque<SteadyTime> Sent;
};

/// A health check that takes longer counts as unanswered.
inline constexpr Milliseconds HealthCheckTimeout{250};

/// What the connections to an upstream show.
enum class ConnectionLoss {
  /// A connection broke; the process may still be the same.
  Broken,
  /// A new connection was not accepted; a new process is likely to follow.
  Refused
};

} // namespace lycheethread::mesh

#endif // LYCHEETHREAD_MESH_TYPES_COLDLIMIT_H
