#ifndef LYCHEETHREAD_MESH_TYPES_PLACEMENT_H
#define LYCHEETHREAD_MESH_TYPES_PLACEMENT_H

#include "mesh/types/NodeReport.h"

#include <set>

namespace lycheethread::mesh {

/// Distance between two nodes.
enum class Proximity { OwnNode, OwnZone, OwnRegion, OtherRegion };

/// An upstream that could run a request.
struct Candidate {
  NodeId Node;
  UpstreamId Instance;
  VersionName Version;
  Proximity Distance = Proximity::OwnZone;
  std::int32_t Capacity = 1;
  /// Requests that it holds, running or waiting, as far as known here.
  std::int32_t Held = 0;
  Milliseconds ServiceTime{0};
  /// Time until it has received the long bodies on their way to it.
  Milliseconds BodyWait{0};
  /// Still slow after its start.
  bool IsCold = false;
  /// Part of the latest requests that failed or were rejected, 0 to 1.
  double FailureRate = 0;
};

/// What placement needs to know of a request.
struct PlacementRequest {
  std::int64_t BodyBytes = 0;
  /// Time within which the answer is worth most, from the first try and from
  /// now on.
  Milliseconds Objective{0};
  Milliseconds ObjectiveLeft{0};
  /// The request may go to an upstream of which little is known.
  bool MayExplore = false;
  /// Last hops refuse what would wait longer.
  Milliseconds LongestWait{1000};
};

/// The chosen candidate.
struct Placed {
  std::size_t Index = 0;
  /// Expected wait for a slot.
  Milliseconds Wait{0};
};

} // namespace lycheethread::mesh

#endif // LYCHEETHREAD_MESH_TYPES_PLACEMENT_H
