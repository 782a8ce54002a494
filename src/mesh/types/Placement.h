#ifndef LYCHEETHREAD_MESH_TYPES_PLACEMENT_H
#define LYCHEETHREAD_MESH_TYPES_PLACEMENT_H

#include "mesh/types/NodeReport.h"

#include <set>

namespace lycheethread::mesh {

/// Distance class of two nodes.
enum class Proximity { SameNode, SameZone, SameRegion, OtherRegion };

/// An upstream that could run a request.
struct Candidate {
  NodeId Node;
  UpstreamId Instance;
  VersionName Version;
  Location At;
  Proximity Distance = Proximity::SameZone;
  std::int32_t Capacity = 1;
  /// Requests that it runs or queues, as far as this node knows.
  std::int32_t Outstanding = 0;
  Milliseconds ServiceTime{0};
  /// Time until it has received its pending long bodies.
  Milliseconds BodyWait{0};
  /// Time until the limit of the upstream permits one more request.
  Milliseconds PermitWait{0};
  /// This node has used its part of that limit.
  bool IsBeyondShare = false;
  /// Still in the slower phase after its start.
  bool IsCold = false;
  /// Share of its recent requests that failed or were rejected, 0 to 1.
  double FailureRate = 0;
};

/// The properties of a request on which placement depends.
struct PlacementRequest {
  std::int64_t BodyBytes = 0;
  /// Latency objective, and the part of it that is left; the objective counts
  /// from the first attempt.
  Milliseconds Objective{0};
  Milliseconds ObjectiveLeft{0};
  /// The request may be used to explore an upstream about which little is
  /// known.
  bool MayExplore = false;
  /// Last hops refuse a request that would wait longer than this.
  Milliseconds LongestWait{1000};
  /// No request of another route waits behind this one.
  bool IsServedLast = false;
  /// An upstream of its own region was too full for the request.
  bool OwnRegionIsFull = false;
};

/// The chosen candidate.
struct ChosenCandidate {
  std::size_t Index = 0;
  /// Expected wait for a slot.
  Milliseconds Wait{0};
};

} // namespace lycheethread::mesh

#endif // LYCHEETHREAD_MESH_TYPES_PLACEMENT_H
