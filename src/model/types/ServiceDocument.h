#ifndef LYCHEETHREAD_MODEL_TYPES_SERVICEDOCUMENT_H
#define LYCHEETHREAD_MODEL_TYPES_SERVICEDOCUMENT_H

#include "model/types/Ids.h"
#include "model/types/RequestClass.h"
#include "model/types/Units.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace lycheethread {

/// Limits that the last hop enforces for each upstream of the service.
struct ServiceLimits {
  std::int32_t Slots = 20;
  std::int32_t Connections = 110;
  std::int32_t Queue = 40;
  /// Percentage of the slots that a single caller may occupy.
  std::int32_t CallerSharePercent = 50;
  /// Allowed retries per 100 original requests.
  std::int32_t RetryBudgetPercent = 10;
};

/// Group of interchangeable upstreams. A node announces the service, group and
/// version of its upstream.
struct UpstreamGroup {
  GroupName Name;
  std::vector<VersionName> Versions;
};

/// Requested move of the traffic of a group from one version to another.
struct MovePlan {
  GroupName Group;
  VersionName From;
  VersionName To;
  WallTime FinishBy;
  /// Increasing traffic shares of the new version; the last is 1000.
  std::vector<Permille> Steps;
  Milliseconds StepDuration{0};
};

/// A group of another service that this service calls.
struct ServiceUse {
  std::string Name;
  ServiceName Service;
  GroupName Group;
};

/// Named request limit that routes refer to.
struct Resource {
  ResourceName Name;
  ByteCount MaxBody;
};

/// A path prefix and the handling of its requests.
struct Route {
  RouteName Name;
  std::string Path;
  RequestClass Class = RequestClass::Repeatable;
  GroupName Group;
  Milliseconds Timeout{0};
  std::optional<ResourceName> Limit;
};

/// Configuration document that a team maintains for its service.
struct ServiceDocument {
  ServiceName Service;
  TeamName Team;
  /// Revision that this edit is based on; 0 for the first document.
  Revision BaseRevision;
  ServiceLimits Limits;
  std::map<GroupName, UpstreamGroup> Groups;
  std::map<GroupName, MovePlan> Moves;
  std::map<std::string, ServiceUse> Uses;
  std::map<ResourceName, Resource> Resources;
  std::map<RouteName, Route> Routes;
};

} // namespace lycheethread

#endif // LYCHEETHREAD_MODEL_TYPES_SERVICEDOCUMENT_H
