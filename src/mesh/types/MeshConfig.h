#ifndef LYCHEETHREAD_MESH_TYPES_MESHCONFIG_H
#define LYCHEETHREAD_MESH_TYPES_MESHCONFIG_H

#include "model/Model.h"
#include "organisations/Organisations.h"

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace lycheethread::mesh {

/// Version number of a configuration; a node never returns to a lower version.
using ConfigVersion = StrongNumber<struct ConfigVersionTag>;

/// A destination service of a route and its share of the requests.
struct SplitPart {
  ServiceName Service;
  /// Above 0, of any size; relative to the sum of the weights of the route.
  double Weight = 1;
};

struct MeshRoute {
  RouteName Name;
  /// Begins and ends with a slash.
  std::string Prefix;
  RequestClass Class = RequestClass::Repeatable;
  std::vector<SplitPart> Parts;
  /// Longest time that the caller waits for an answer.
  Milliseconds Timeout{0};
  /// Latency objective: answers within this time are worth most to the caller.
  Milliseconds LatencyObjective{0};
  /// Maximum number of upstreams on which a request may be run.
  std::int32_t MaxAttempts = 1;
  /// Rank 0 is served first.
  std::int32_t Rank = 0;
  /// Requests need no key.
  bool IsPublic = false;
  organisations::RegionList AllowedRegions;
};

/// Limits on the size and duration of the requests of callers.
struct CallerLimits {
  std::size_t MaxHeadBytes = 16 * 1024;
  std::int64_t MaxBodyBytes = 64 * 1024 * 1024;
  Milliseconds HeadTimeout{3000};
  Milliseconds IdleTimeout{15000};
};

struct MeshService {
  ServiceName Name;
  /// Connections that one upstream accepts from all callers together.
  std::int32_t MaxConnections = 0;
  /// Requests a second that a cold upstream takes; empty if it takes any.
  std::optional<double> ColdPerSecond;
  /// Target of the health checks of its upstreams; empty if there are none.
  std::string HealthPath;
  /// The largest rank of any request for the service, and the longest objective
  /// of its routes with that rank; see updateLeastUrgent().
  std::int32_t LeastUrgentRank = 0;
  Milliseconds LeastUrgentObjective{0};
};

/// The routes of one host by prefix.
using HostRoutes = std::unordered_map<std::string, MeshRoute>;

/// A complete configuration of all services.
struct MeshConfig {
  ConfigVersion Version;
  CallerLimits Limits;
  /// Host names in lower case.
  std::unordered_map<std::string, HostRoutes> Hosts;
  std::map<ServiceName, MeshService> Services;
  /// Empty if requests need no keys.
  std::vector<organisations::Organisation> Organisations;
  organisations::KeyTable Keys;
  /// The keys as parsed; empty once they are in Keys.
  std::vector<organisations::StatedKey> StatedKeys;
};

using MeshConfigPtr = std::shared_ptr<const MeshConfig>;

} // namespace lycheethread::mesh

#endif // LYCHEETHREAD_MESH_TYPES_MESHCONFIG_H
