#ifndef LYCHEETHREAD_METRICS_METRICS_H
#define LYCHEETHREAD_METRICS_METRICS_H

/// Public header of the metrics library: histograms for each caller and class,
/// counters and their text exposition.

#include "kernel/Kernel.h"
#include "metrics/types/MetricsRegistry.h"
#include "metrics/types/RequestSample.h"
#include "metrics/types/TrafficSample.h"

namespace lycheethread::metrics {

/// Registers RequestMetrics and TrafficMetrics of kernel::service_names, and
/// MetricsRegistry under RegistryName.
kernel::Module makeMetricsModule();

/// \p Value as the text exposition writes it between quotes.
std::string escapeLabel(const std::string &Value);

} // namespace lycheethread::metrics

#endif // LYCHEETHREAD_METRICS_METRICS_H
