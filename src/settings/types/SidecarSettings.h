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
  /// Answers whether callers may send to this node.
  Endpoint Readiness;
  /// Check-ins of the upstream beside this node.
  Endpoint CheckIns;
  /// News between nodes, UDP.
  Endpoint Gossip;
  /// Prometheus metrics; port 0 for none.
  Endpoint Metrics;

  Endpoint Upstream;
  ServiceName Service;
  /// Time between two check-ins of the upstream.
  Milliseconds CheckInInterval{1500};

  /// What the instance's network link carries, in bytes per ms.
  double LinkBytesPerMs = 125'000;

  Endpoint Store;
  /// Any endpoint of nodes to join through; only the address is used.
  std::vector<Endpoint> Seeds;

  /// What the platform demands of its nodes, in its own format; read by the
  /// platform's adapter.
  std::string PlatformBounds;
  std::string LogLevel = "info";
};

} // namespace lycheethread::settings

#endif // LYCHEETHREAD_SETTINGS_TYPES_SIDECARSETTINGS_H
