#ifndef LYCHEETHREAD_SETTINGS_TYPES_NODESETTINGS_H
#define LYCHEETHREAD_SETTINGS_TYPES_NODESETTINGS_H

#include "model/Model.h"

#include <string>
#include <vector>

namespace lycheethread::settings {

/// Checked settings of a node. docs/settings.md lists each key.
struct NodeSettings {
  NodeId Id;
  Location At;

  /// Requests from callers and from the upstream beside this node.
  Endpoint Listen;
  /// Requests from other nodes, for the upstream beside this node.
  Endpoint Hop;
  /// Control protocol between nodes, UDP and TCP.
  Endpoint Control;
  /// Control endpoint that is announced to other nodes; port 0 to announce
  /// Control.
  Endpoint Announce;
  /// Metrics, status and drain; bound to a local address by default.
  Endpoint Admin;

  /// The upstream beside this node. Service is empty for a node without an
  /// upstream.
  Endpoint Upstream;
  ServiceName Service;
  GroupName Group;
  VersionName Version;

  /// Base URL of the platform's log.
  std::string LogUrl;
  /// Control endpoints of the seed nodes.
  std::vector<Endpoint> Seeds;

  /// Limit for the connections of both HTTP servers together.
  std::int32_t MaxConnections = 512;
  /// Longest time that a drain waits for requests in progress.
  Milliseconds DrainTimeout{600000};
  /// trace, debug, info, warning or error.
  std::string LogLevel = "info";
};

} // namespace lycheethread::settings

#endif // LYCHEETHREAD_SETTINGS_TYPES_NODESETTINGS_H
