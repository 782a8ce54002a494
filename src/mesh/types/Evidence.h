#ifndef LYCHEETHREAD_MESH_TYPES_EVIDENCE_H
#define LYCHEETHREAD_MESH_TYPES_EVIDENCE_H

#include "model/Model.h"

#include <functional>
#include <map>
#include <vector>

namespace lycheethread::mesh {

/// Outcomes of one route at one upstream since a rollout was ordered.
struct RouteEvidence {
  /// Empty for the sum over all routes.
  RouteName Route;
  std::int32_t Good = 0;
  std::int32_t Bad = 0;
  /// Requests counted in Good whose time counts: a cold upstream is slow
  /// regardless of its version.
  std::int32_t Timed = 0;
  /// Sum over the requests counted in Timed.
  Milliseconds TotalTime{0};
};

using EvidenceByRoute = std::map<RouteName, RouteEvidence>;

/// Part of what the node beside an upstream tells those that judge a rollout;
/// one datagram.
struct EvidenceReport {
  NodeId Node;
  Incarnation IncarnationNumber;
  /// Offset of the order in the store.
  Offset Order;
  /// The first one is the sum over all routes.
  std::vector<RouteEvidence> Routes;
};

/// Bounds of the datagrams that one round of evidence takes.
struct EvidencePlan {
  /// Room for routes in a datagram.
  std::size_t Bytes = 0;
  std::size_t MaxReports = 1;
  std::function<std::size_t(const RouteEvidence &)> RouteBytes;
};

/// What a node has told of its evidence.
struct EvidenceCursor {
  EvidenceByRoute Sent;
  /// The route after which unchanged ones go on.
  RouteName Last;
};

/// The newest known evidence of another node, or of this one.
struct KnownEvidence {
  Incarnation IncarnationNumber;
  Offset Order;
  SteadyTime At;
  EvidenceByRoute Routes;
};

} // namespace lycheethread::mesh

#endif // LYCHEETHREAD_MESH_TYPES_EVIDENCE_H
