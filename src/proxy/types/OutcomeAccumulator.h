#ifndef LYCHEETHREAD_PROXY_TYPES_OUTCOMEACCUMULATOR_H
#define LYCHEETHREAD_PROXY_TYPES_OUTCOMEACCUMULATOR_H

#include "model/Model.h"

#include <chrono>
#include <functional>
#include <vector>

namespace lycheethread::proxy {

/// Outcome of a finished request to an upstream.
struct Outcome {
  ServiceName Service;
  GroupName Group;
  RouteName Route;
  VersionName Version;
  /// Whether there was a connection failure, a timeout or a 5xx response. A
  /// shed request is not a failure.
  bool Failed = false;
  std::chrono::microseconds Latency{0};
};

/// Outcomes of a service, summed by route and version.
struct ServiceOutcomes {
  ServiceName Service;
  std::vector<RouteOutcomes> Routes;
};

/// Accumulates outcomes until they are taken. Thread-safe.
struct OutcomeAccumulator {
  std::function<void(const Outcome &Item)> Add;
  /// Returns the sums since the previous call and resets them.
  std::function<std::vector<ServiceOutcomes>()> Take;
};

} // namespace lycheethread::proxy

#endif // LYCHEETHREAD_PROXY_TYPES_OUTCOMEACCUMULATOR_H
