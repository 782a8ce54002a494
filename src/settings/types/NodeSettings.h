#ifndef LYCHEETHREAD_SETTINGS_TYPES_NODESETTINGS_H
#define LYCHEETHREAD_SETTINGS_TYPES_NODESETTINGS_H

#include "model/Model.h"

#include <string>
#include <vector>

namespace lycheethread::settings {

/// Checked settings of one node. docs/settings.md lists each key.
struct NodeSettings {
  NodeId Id;
  Location At;

  /// Requests from callers and from the upstream beside this node.
  Endpoint Listen;
  /// Requests from other nodes, for the upstream beside this node.
  Endpoint Hop;
  /// Control protocol between nodes, UDP and TCP.
  Endpoint Control;
  /// Control endpoint that other nodes use; port 0 when it is Control itself.
  Endpoint Announce;
  /// Metrics, status and drain; bound to a local address by default.
  Endpoint Admin;

  /// The upstream beside this node; empty service for a node without one.
  Endpoint Upstream;
  ServiceName Service;
  GroupName Group;
  VersionName Version;

  /// Base URL of the platform's log.
  std::string LogUrl;
  /// Control endpoints of nodes to join through.
  std::vector<Endpoint> Seeds;

  /// Connections that the two HTTP servers accept together.
  std::int32_t MaxConnections = 512;
  /// Longest time a drain waits for requests in progress.
  Milliseconds DrainTimeout{600000};
  /// trace, debug, info, warning or error.
  std::string LogLevel = "info";
};

} // namespace lycheethread::settings

#endif // LYCHEETHREAD_SETTINGS_TYPES_NODESETTINGS_H
