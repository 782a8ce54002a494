#ifndef LYCHEETHREAD_METRICS_METRICS_H
#define LYCHEETHREAD_METRICS_METRICS_H

/// Public header of the metrics library: request histograms for each caller and
/// class, traffic counters, and their text exposition.

#include "kernel/Kernel.h"
#include "metrics/types/MetricsRegistry.h"
#include "metrics/types/RequestSample.h"
#include "metrics/types/TrafficSample.h"

namespace lycheethread::metrics {

/// Registers the services RequestMetrics and TrafficMetrics of
/// kernel::service_names, and MetricsRegistry under RegistryName.
kernel::Module makeMetricsModule();

/// Escapes a label value for the text exposition.
std::string escapeLabel(const std::string &Value);

} // namespace lycheethread::metrics

#endif // LYCHEETHREAD_METRICS_METRICS_H
