#ifndef LYCHEETHREAD_MOVES_TYPES_STOPPEDMOVESET_H
#define LYCHEETHREAD_MOVES_TYPES_STOPPEDMOVESET_H

#include "model/Model.h"

#include <set>

namespace lycheethread::moves {

/// Moves whose new version gets no requests from this node, regardless of its
/// share.
struct StoppedMoveSet {
  std::set<MoveId> Stopped;
};

} // namespace lycheethread::moves

#endif // LYCHEETHREAD_MOVES_TYPES_STOPPEDMOVESET_H
