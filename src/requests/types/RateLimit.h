#ifndef LYCHEETHREAD_REQUESTS_TYPES_RATELIMIT_H
#define LYCHEETHREAD_REQUESTS_TYPES_RATELIMIT_H

#include "model/Model.h"

#include <optional>

namespace lycheethread::requests {

/// The rate at which an upstream takes requests, as it states in its answers,
/// and the token bucket of the last hop that keeps to it. The last hop is the
/// only sender to its upstream, so one bucket holds for all nodes together.
struct RateLimit {
  /// Requests a second; empty while the upstream states no limit.
  std::optional<double> PerSecond;
  /// When an answer last stated the limit; zero if another node told of it.
  SteadyTime StatedAt;
  /// Permits as of RefilledAt.
  double Tokens = 0;
  SteadyTime RefilledAt;
};

/// The part of an upstream's limit that one entry expects to get. Entries do
/// not coordinate: the share grows while the last hop admits their requests and
/// shrinks when it refuses them.
struct LimitShare {
  /// Requests a second; 0 while no limit is known.
  double PerSecond = 0;
  /// Requests that may be sent now, as of RefilledAt.
  double Tokens = 0;
  SteadyTime RefilledAt;
};

} // namespace lycheethread::requests

#endif // LYCHEETHREAD_REQUESTS_TYPES_RATELIMIT_H
