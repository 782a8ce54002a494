#ifndef LYCHEETHREAD_REQUESTS_TYPES_ROUTINGVIEW_H
#define LYCHEETHREAD_REQUESTS_TYPES_ROUTINGVIEW_H

#include "config/Config.h"
#include "model/Model.h"

#include <map>
#include <memory>
#include <vector>

namespace lycheethread::requests {

/// How far a member is from this node.
enum class Distance { SameZone, SameRegion, OtherRegion };

/// A member that may be picked, with what the pick needs.
struct Candidate {
  Member Target;
  Distance TargetDistance = Distance::SameZone;
};

/// One group of a service as requests see it.
struct GroupView {
  moves::TrafficSplit Share;
  std::map<VersionName, std::vector<Candidate>> ByVersion;
};

/// One service as requests see it.
struct ServiceView {
  ServiceLimits Limits;
  /// Longest path first.
  std::vector<Route> Routes;
  std::map<ResourceName, Resource> Resources;
  std::map<GroupName, GroupView> Groups;
};

/// Immutable; a request keeps the one that it was admitted under.
struct RoutingView {
  Offset ConfigPosition;
  Location Self;
  std::map<ServiceName, ServiceView> Services;
};

} // namespace lycheethread::requests

#endif // LYCHEETHREAD_REQUESTS_TYPES_ROUTINGVIEW_H
