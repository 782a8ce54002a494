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
/// Number of callers with their own histograms. All others are counted under
/// OtherCaller, so that invented caller names cannot exhaust the memory.
inline constexpr std::size_t MaxCallers = 256;
inline constexpr const char *OtherCaller = "(other)";
/// Number of organisations with their own series, in the order of their first
/// request. All others are counted under OtherOrganisations.
inline constexpr std::size_t MaxOrganisations = 256;
inline constexpr const char *OtherOrganisations = "(other)";

/// Distribution of one quantity. Quantiles deviate from the exact sample by at
/// most 7 %.
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
  /// In microseconds.
  Distribution Latency;
  Distribution QueueTime;
  /// In bytes.
  Distribution RequestSize;
  Distribution ResponseSize;
};

/// Messages of one kind and direction since the start of the process.
struct TrafficTotal {
  TrafficKind Kind = TrafficKind::Probe;
  Direction Way = Direction::Sent;
  bool CrossRegion = false;
  std::int64_t Messages = 0;
  ByteCount Bytes;
};

/// Gives access to the recorded metrics. Thread-safe.
struct MetricsRegistry {
  /// Returns the Prometheus text exposition format, version 0.0.4.
  std::function<std::string()> Exposition;
  /// Ordered by caller, class and hop.
  std::function<std::vector<QuantileRow>()> Quantiles;
  /// Contains only kinds and directions with at least one message.
  std::function<std::vector<TrafficTotal>()> Traffic;
};

} // namespace lycheethread::metrics

#endif // LYCHEETHREAD_METRICS_TYPES_METRICSREGISTRY_H
