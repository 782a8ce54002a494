#ifndef LYCHEETHREAD_METRICS_TESTS_METRICSSERVICES_H
#define LYCHEETHREAD_METRICS_TESTS_METRICSSERVICES_H

#include "metrics/Metrics.h"

#include <memory>
#include <string>

namespace lycheethread::metrics {

/// Starts the metrics module and looks up its services.
struct Services {
  kernel::Kernel Kernel;
  std::shared_ptr<RequestRecorder> Requests;
  std::shared_ptr<TrafficRecorder> Traffic;
  std::shared_ptr<MetricsRegistry> Reader;

  Services() {
    Kernel.add(makeMetricsModule());
    Kernel.start();
    kernel::ServiceRegistry &Registry = Kernel.registry();
    Requests =
        Registry.find<RequestRecorder>(kernel::service_names::RequestMetrics);
    Traffic =
        Registry.find<TrafficRecorder>(kernel::service_names::TrafficMetrics);
    Reader = Registry.find<MetricsRegistry>(RegistryName);
  }
};

} // namespace lycheethread::metrics

#endif // LYCHEETHREAD_METRICS_TESTS_METRICSSERVICES_H
