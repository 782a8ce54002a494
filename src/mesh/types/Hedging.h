#ifndef LYCHEETHREAD_MESH_TYPES_HEDGING_H
#define LYCHEETHREAD_MESH_TYPES_HEDGING_H

#include "mesh/types/LatencyEstimate.h"
#include "mesh/types/Placement.h"

namespace lycheethread::mesh {

/// The properties of a request on which it depends whether and when it is sent
/// to a second upstream while the first one still runs it.
struct HedgeRequest {
  RequestClass Class = RequestClass::Repeatable;
  /// The whole body is kept, so that it can be sent again.
  bool HasWholeBody = true;
  /// Upstreams that run the request or may have run it.
  std::int32_t Sent = 1;
  /// Upstreams on which the request may be run.
  std::int32_t MaxAttempts = 1;
  Milliseconds ObjectiveLeft{0};
  Milliseconds DeadlineLeft{0};
};

/// The share of its requests that a node may hedge.
struct HedgeShare {
  double Tokens = 0;
};

/// What is known when a hedged request is due.
struct HedgeMoment {
  NodeId First;
  /// Availability zone of First.
  AvailabilityZone FirstZone;
  /// Nodes that may not get the request.
  std::set<NodeId> Excluded;
  /// Time since this entry was last refused by an upstream of the service;
  /// empty if never.
  std::optional<Milliseconds> SinceRefusal;
};

} // namespace lycheethread::mesh

#endif // LYCHEETHREAD_MESH_TYPES_HEDGING_H
