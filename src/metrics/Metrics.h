#ifndef LYCHEETHREAD_METRICS_METRICS_H
#define LYCHEETHREAD_METRICS_METRICS_H

/// Public header of the metrics library: request histograms for each caller and
/// class, latencies and outcomes by organisation, the use of quotas, traffic
/// counters, and their text exposition.

#include "kernel/Kernel.h"
#include "metrics/types/MetricsRegistry.h"
#include "metrics/types/QuotaUse.h"
#include "metrics/types/RequestSample.h"
#include "metrics/types/TrafficSample.h"

namespace lycheethread::metrics {

/// Registers the services RequestMetrics and TrafficMetrics of
/// kernel::service_names, and MetricsRegistry under RegistryName.
kernel::Module makeMetricsModule();

/// Returns the text exposition of the use of quotas. The first MaxOrganisations
/// items have their own series, the sums of the others are under
/// OtherOrganisations.
std::string quotaExposition(const std::vector<QuotaUse> &Uses);

/// Escapes a label value for the text exposition.
std::string escapeLabel(const std::string &Value);

} // namespace lycheethread::metrics

#endif // LYCHEETHREAD_METRICS_METRICS_H
