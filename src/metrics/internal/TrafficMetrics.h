#ifndef LYCHEETHREAD_METRICS_INTERNAL_TRAFFICMETRICS_H
#define LYCHEETHREAD_METRICS_INTERNAL_TRAFFICMETRICS_H

#include "metrics/types/MetricsRegistry.h"

#include <array>
#include <atomic>
#include <vector>

namespace lycheethread::metrics {

/// Counts messages and bytes between processes. Thread-safe and lock-free.
class TrafficMetrics {
public:
  void record(const TrafficSample &Sample);
  std::vector<TrafficTotal> totals() const;

private:
  struct Counter {
    std::atomic<std::int64_t> Messages{0};
    std::atomic<std::int64_t> Bytes{0};
  };

  static constexpr std::size_t KindCount = 8;
  /// Indexed by kind, then direction, then whether the message crosses
  /// regions.
  std::array<Counter, KindCount * 4> Counters_;
};

} // namespace lycheethread::metrics

#endif // LYCHEETHREAD_METRICS_INTERNAL_TRAFFICMETRICS_H
