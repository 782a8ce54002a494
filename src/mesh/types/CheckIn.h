#ifndef LYCHEETHREAD_MESH_TYPES_CHECKIN_H
#define LYCHEETHREAD_MESH_TYPES_CHECKIN_H

#include "mesh/types/NodeReport.h"

#include <map>
#include <optional>

namespace lycheethread::mesh {

/// What an upstream says of itself to the node beside it.
struct CheckIn {
  Upstream From;
  Endpoint Address;
  /// Grows with each check-in of one start.
  Sequence Number;
};

/// A start that has left.
struct DepartedUpstream {
  /// Starts of its id that were born up to then have left, Unix ms.
  std::int64_t StartedUpTo = 0;
  /// Later check-ins are taken again; nothing for a start that was registered
  /// here, since its time of birth is known.
  std::optional<SteadyTime> Until;
};

/// The upstream beside this node.
struct Registration {
  Upstream Now;
  Endpoint Address;
  Sequence Number;
  SteadyTime HeardAt;
  /// Starts that have left, by id, so that a late check-in of theirs does not
  /// bring them back.
  std::map<UpstreamId, DepartedUpstream> Left;
};

} // namespace lycheethread::mesh

#endif // LYCHEETHREAD_MESH_TYPES_CHECKIN_H
