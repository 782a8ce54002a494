#ifndef LYCHEETHREAD_PROXY_TYPES_OUTCOMEACCUMULATOR_H
#define LYCHEETHREAD_PROXY_TYPES_OUTCOMEACCUMULATOR_H

#include "model/Model.h"

#include <chrono>
#include <functional>
#include <vector>

namespace lycheethread::proxy {

/// One finished request to an upstream.
struct Outcome {
  ServiceName Service;
  GroupName Group;
  RouteName Route;
  VersionName Version;
  /// Connection failure, timeout or 5xx answer; a shed request is none.
  bool Failed = false;
  std::chrono::microseconds Latency{0};
};

/// Outcomes of one service, summed per route and version.
struct ServiceOutcomes {
  ServiceName Service;
  std::vector<RouteOutcomes> Routes;
};

/// Sums outcomes between two takes. Thread-safe.
struct OutcomeAccumulator {
  std::function<void(const Outcome &Seen)> Add;
  /// Returns the sums since the last take and clears them.
  std::function<std::vector<ServiceOutcomes>()> Take;
};

} // namespace lycheethread::proxy

#endif // LYCHEETHREAD_PROXY_TYPES_OUTCOMEACCUMULATOR_H
