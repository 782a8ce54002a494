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

/// Limits of the last hop beside each upstream of the service.
struct ServiceLimits {
  std::int32_t Slots = 20;
  std::int32_t Connections = 110;
  std::int32_t Queue = 40;
  /// Part of the slots that one caller may hold, in percent.
  std::int32_t CallerSharePercent = 50;
  /// Retries for each hundred original requests.
  std::int32_t RetryBudgetPercent = 10;
};

/// Upstreams of one kind; nodes announce service, group and version.
struct UpstreamGroup {
  GroupName Name;
  std::vector<VersionName> Versions;
};

/// Wanted move of a group's traffic from one version to another.
struct MovePlan {
  GroupName Group;
  VersionName From;
  VersionName To;
  WallTime FinishBy;
  /// Rising shares of the new version; the last is 1000.
  std::vector<Permille> Steps;
  Milliseconds StepDuration{0};
};

/// Another service's group that this service calls.
struct ServiceUse {
  std::string Name;
  ServiceName Service;
  GroupName Group;
};

/// Named limit that routes refer to.
struct Resource {
  ResourceName Name;
  ByteCount MaxBody;
};

/// A path prefix and how its requests are treated.
struct Route {
  RouteName Name;
  std::string Path;
  RequestClass Class = RequestClass::Repeatable;
  GroupName Group;
  Milliseconds Timeout{0};
  std::optional<ResourceName> Limit;
};

/// The document that a team keeps for its service.
struct ServiceDocument {
  ServiceName Service;
  TeamName Team;
  /// Revision that the edit started from; 0 for the first.
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
