#ifndef LYCHEETHREAD_MESH_TYPES_CHECKIN_H
#define LYCHEETHREAD_MESH_TYPES_CHECKIN_H

#include "mesh/types/NodeNews.h"

#include <map>

namespace lycheethread::mesh {

/// What an upstream says of itself to the node beside it.
struct CheckIn {
  Upstream From;
  Endpoint Address;
  /// Grows with each check-in of one start.
  Sequence Number;
};

/// The upstream beside this node.
struct Registration {
  Upstream Now;
  Endpoint Address;
  Sequence Number;
  SteadyTime HeardAt;
  /// Starts that have left, by id, so that a late check-in of theirs does not
  /// bring them back.
  std::map<UpstreamId, std::int64_t> Left;
};

} // namespace lycheethread::mesh

#endif // LYCHEETHREAD_MESH_TYPES_CHECKIN_H
