#ifndef LYCHEETHREAD_MESH_TYPES_LISTEDNODE_H
#define LYCHEETHREAD_MESH_TYPES_LISTEDNODE_H

#include "model/Model.h"

#include <map>

namespace lycheethread::mesh {

/// An entry of the list of nodes.
struct ListedNode {
  Endpoint Gossip;
  /// Empty where the entry states none.
  AvailabilityZone Zone;
};

/// Attempts to contact a listed node that is not known.
struct SeedNode {
  AvailabilityZone Zone;
  SteadyTime NextTry;
  Milliseconds Backoff{0};
  int Tries = 0;
};

using SeedNodes = std::map<Endpoint, SeedNode>;

} // namespace lycheethread::mesh

#endif // LYCHEETHREAD_MESH_TYPES_LISTEDNODE_H
