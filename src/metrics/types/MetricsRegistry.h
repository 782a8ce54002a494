#ifndef LYCHEETHREAD_METRICS_TYPES_METRICSREGISTRY_H
#define LYCHEETHREAD_METRICS_TYPES_METRICSREGISTRY_H

#include "metrics/types/RequestSample.h"
#include "metrics/types/TrafficSample.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace lycheethread::metrics {

/// Name of MetricsRegistry in the service registry.
inline constexpr const char *RegistryName = "metrics.registry";
/// Callers with histograms of their own; all others share OtherCaller.
inline constexpr std::size_t MaxCallers = 256;
inline constexpr const char *OtherCaller = "(other)";

/// Distribution of one quantity. Quantiles are within 7 % of a sample.
struct Distribution {
  std::int64_t Count = 0;
  double Mean = 0;
  double Median = 0;
  double P90 = 0;
  double P99 = 0;
  double Max = 0;
};

/// Requests of one caller and class at one hop.
struct QuantileRow {
  CallerId Caller;
  RequestClass Class = RequestClass::Repeatable;
  Hop At = Hop::Entry;
  /// Microseconds.
  Distribution Latency;
  Distribution QueueTime;
  /// Bytes.
  Distribution RequestSize;
  Distribution ResponseSize;
};

/// Sums of one kind of messages since the start.
struct TrafficTotal {
  TrafficKind Kind = TrafficKind::Probe;
  Direction Way = Direction::Sent;
  bool CrossRegion = false;
  std::int64_t Messages = 0;
  ByteCount Bytes;
};

/// Reads what the recorders took. Thread-safe.
struct MetricsRegistry {
  /// Prometheus text exposition format, version 0.0.4.
  std::function<std::string()> Exposition;
  /// Ordered by caller, class and hop.
  std::function<std::vector<QuantileRow>()> Quantiles;
  /// Kinds with at least one message.
  std::function<std::vector<TrafficTotal>()> Traffic;
};

} // namespace lycheethread::metrics

#endif // LYCHEETHREAD_METRICS_TYPES_METRICSREGISTRY_H
