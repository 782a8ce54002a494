#ifndef LYCHEETHREAD_MODEL_TYPES_ROUTEOUTCOMES_H
#define LYCHEETHREAD_MODEL_TYPES_ROUTEOUTCOMES_H

#include "model/types/Ids.h"

#include <array>
#include <cstdint>

namespace lycheethread {

/// Number of latency buckets of RouteOutcomes.
inline constexpr std::size_t LatencyBuckets = 24;

/// What one last hop saw of one route and version in one interval.
struct RouteOutcomes {
  GroupName Group;
  RouteName Route;
  VersionName Version;
  std::int64_t Requests = 0;
  std::int64_t Failures = 0;
  /// Bucket I counts latencies below 2^I * 0.25 ms that are not in a lower
  /// one; the last bucket takes the rest.
  std::array<std::int64_t, LatencyBuckets> Latency{};
};

} // namespace lycheethread

#endif // LYCHEETHREAD_MODEL_TYPES_ROUTEOUTCOMES_H
