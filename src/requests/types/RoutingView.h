#ifndef LYCHEETHREAD_REQUESTS_TYPES_ROUTINGVIEW_H
#define LYCHEETHREAD_REQUESTS_TYPES_ROUTINGVIEW_H

#include "config/Config.h"
#include "model/Model.h"

#include <map>
#include <memory>
#include <vector>

namespace lycheethread::requests {

/// Distance class of a member, as seen from this node.
enum class Distance { SameZone, SameRegion, OtherRegion };

/// A member that may be selected, with its distance.
struct Candidate {
  Member Target;
  Distance TargetDistance = Distance::SameZone;
};

/// Routing data of one group of a service.
struct GroupView {
  moves::TrafficSplit Share;
  std::map<VersionName, std::vector<Candidate>> ByVersion;
};

/// Routing data of one service.
struct ServiceView {
  ServiceLimits Limits;
  /// Longest path first.
  std::vector<Route> Routes;
  std::map<ResourceName, Resource> Resources;
  std::map<GroupName, GroupView> Groups;
};

/// Routing data of all services. Immutable; a request keeps the view under
/// which it was admitted.
struct RoutingView {
  Offset ConfigPosition;
  Location Self;
  std::map<ServiceName, ServiceView> Services;
};

} // namespace lycheethread::requests

#endif // LYCHEETHREAD_REQUESTS_TYPES_ROUTINGVIEW_H
