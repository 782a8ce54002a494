#ifndef LYCHEETHREAD_MESH_TYPES_COLDSUSPICION_H
#define LYCHEETHREAD_MESH_TYPES_COLDSUSPICION_H

#include "model/Model.h"

#include <cstdint>
#include <optional>
#include <unordered_map>

namespace lycheethread::mesh {

/// Distribution of the logarithm of the service times of a route, in ms.
struct LogServiceTime {
  double Mean = 0;
  double Variance = 0;
  std::int64_t Samples = 0;
};

/// Service times of a route at one upstream.
struct RouteServiceTime {
  /// As measured until the upstream was last known to be warm.
  LogServiceTime Usual;
  /// With the later ones, which may be those of a cold upstream.
  LogServiceTime Newest;
};

/// Evidence from service times that an upstream has turned cold.
struct ColdSuspicion {
  std::unordered_map<RouteName, RouteServiceTime> ByRoute;
  /// Logarithm of the likelihood ratio of a cold upstream to a warm one over
  /// the answers since it was last 0; never below 0 (Page's test).
  double Evidence = 0;
  /// When the last health check was sent.
  std::optional<SteadyTime> CheckedAt;
};

/// Why a health check is sent.
enum class HealthCheckReason { SlowAnswers, ZoneReturned };

/// Outcome of a health check.
struct HealthAnswer {
  enum class Kind { Answered, Unanswered, ConnectionRefused };
  Kind Result = Kind::Unanswered;
  /// With Answered: how long the upstream stays cold; 0 if it is warm.
  Milliseconds ColdFor{0};
};

} // namespace lycheethread::mesh

#endif // LYCHEETHREAD_MESH_TYPES_COLDSUSPICION_H
