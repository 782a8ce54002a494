#ifndef LYCHEETHREAD_MESH_TYPES_JOINSTATE_H
#define LYCHEETHREAD_MESH_TYPES_JOINSTATE_H

#include "model/Model.h"

#include <cstddef>

namespace lycheethread::mesh {

/// What a starting node knows of the list of nodes.
struct JoinState {
  /// The list has been read and holds this node.
  bool IsListed = false;
  /// The node was added to the list by this process.
  bool IsNew = false;
  /// Place on the list, from 1.
  Offset Place;
  /// Other nodes on the list, including those that have ended since; for a new
  /// node those before it.
  std::size_t Others = 0;
};

/// Bounds of the random time after which a starting node reads the records.
struct FirstReadDelay {
  Milliseconds Least{0};
  Milliseconds Most{0};
};

} // namespace lycheethread::mesh

#endif // LYCHEETHREAD_MESH_TYPES_JOINSTATE_H
