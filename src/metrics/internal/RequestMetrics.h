#ifndef LYCHEETHREAD_METRICS_INTERNAL_REQUESTMETRICS_H
#define LYCHEETHREAD_METRICS_INTERNAL_REQUESTMETRICS_H

#include "metrics/internal/Histogram.h"

#include <functional>
#include <memory>

namespace lycheethread::metrics {

/// Identifies one set of histograms.
struct SeriesKey {
  CallerId Caller;
  RequestClass Class = RequestClass::Repeatable;
  Hop At = Hop::Entry;
};

/// Histograms of one caller and class at one hop.
struct Series {
  Histogram Latency;
  Histogram QueueTime;
  Histogram RequestSize;
  Histogram ResponseSize;
};

/// Histograms of all callers of a node. Thread-safe; the callers are split into
/// shards with a lock each.
class RequestMetrics {
public:
  RequestMetrics();
  ~RequestMetrics();

  void record(const RequestSample &Sample);
  /// Calls \p Visit for each series, ordered by caller, class and hop.
  void forEach(const std::function<void(const SeriesKey &Key,
                                        const Series &Values)> &Visit) const;

private:
  struct Impl;
  std::unique_ptr<Impl> Impl_;
};

} // namespace lycheethread::metrics

#endif // LYCHEETHREAD_METRICS_INTERNAL_REQUESTMETRICS_H
