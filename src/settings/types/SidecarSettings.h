#ifndef LYCHEETHREAD_SETTINGS_TYPES_SIDECARSETTINGS_H
#define LYCHEETHREAD_SETTINGS_TYPES_SIDECARSETTINGS_H

#include "model/Model.h"

#include <string>
#include <vector>

namespace lycheethread::settings {

/// Checked settings of a node whose configuration comes from a platform's
/// store. docs/settings.md lists each key.
struct SidecarSettings {
  NodeId Id;
  Location At;

  /// Requests of callers on this instance and of the upstream beside the node.
  Endpoint Outbound;
  /// Requests of other nodes for the upstream beside this node.
  Endpoint Inbound;
  /// Readiness checks: reports whether callers may send to this node.
  Endpoint Readiness;
  /// Check-ins of the upstream beside this node.
  Endpoint CheckIns;
  /// Gossip between nodes over UDP.
  Endpoint Gossip;
  /// Prometheus metrics; port 0 for none.
  Endpoint Metrics;

  Endpoint Upstream;
  ServiceName Service;
  /// Time between two check-ins of the upstream.
  Milliseconds CheckInInterval{1500};

  /// Bandwidth of the instance's network link, in bytes per ms.
  double LinkBytesPerMs = 125'000;

  /// Largest share of the requests that may be hedged; 0 for none.
  double MaxHedgeShare = 0;

  /// Share of failed runs from which requests whose nested calls are refused
  /// are rejected before they run; 0 for never.
  double MinFailedRuns = 0;

  Endpoint Store;
  /// Endpoints of the seed nodes; only the addresses are used.
  std::vector<Endpoint> Seeds;

  /// Limits that the platform sets for its nodes, in the platform's own format;
  /// parsed by the platform library.
  std::string PlatformBounds;
  std::string LogLevel = "info";
};

} // namespace lycheethread::settings

#endif // LYCHEETHREAD_SETTINGS_TYPES_SIDECARSETTINGS_H
