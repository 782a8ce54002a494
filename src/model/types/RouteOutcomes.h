#ifndef LYCHEETHREAD_MODEL_TYPES_ROUTEOUTCOMES_H
#define LYCHEETHREAD_MODEL_TYPES_ROUTEOUTCOMES_H

#include "model/types/Ids.h"

#include <array>
#include <cstdint>

namespace lycheethread {

/// Number of latency buckets of RouteOutcomes.
inline constexpr std::size_t LatencyBuckets = 24;

/// Request outcomes that a last hop counted for a route and version in an
/// interval.
struct RouteOutcomes {
  GroupName Group;
  RouteName Route;
  VersionName Version;
  std::int64_t Requests = 0;
  std::int64_t Failures = 0;
  /// Latency histogram: bucket I counts latencies below 2^I * 0.25 ms that no
  /// lower bucket counts; the last bucket counts all longer latencies.
  std::array<std::int64_t, LatencyBuckets> Latency{};
};

} // namespace lycheethread

#endif // LYCHEETHREAD_MODEL_TYPES_ROUTEOUTCOMES_H
