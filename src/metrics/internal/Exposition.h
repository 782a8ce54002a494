#ifndef LYCHEETHREAD_METRICS_INTERNAL_EXPOSITION_H
#define LYCHEETHREAD_METRICS_INTERNAL_EXPOSITION_H

#include "metrics/internal/RequestMetrics.h"
#include "metrics/internal/TrafficMetrics.h"

#include <string>

namespace lycheethread::metrics {

/// Returns the Prometheus text exposition of both.
std::string writeExposition(const RequestMetrics &Requests,
                            const TrafficMetrics &Traffic);

} // namespace lycheethread::metrics

#endif // LYCHEETHREAD_METRICS_INTERNAL_EXPOSITION_H
