#ifndef LYCHEETHREAD_MESH_TYPES_LINKBUDGET_H
#define LYCHEETHREAD_MESH_TYPES_LINKBUDGET_H

#include "model/Model.h"

namespace lycheethread::mesh {

/// Token bucket for the long bodies that this node sends over a link. Nodes
/// that share the link do not coordinate: the rate grows while transfers are
/// fast and shrinks when they slow down.
struct LinkBudget {
  double BytesPerSecond = 250'000;
  /// Bytes that may be sent now; negative after a long body.
  double Tokens = 0;
  SteadyTime RefilledAt;
  /// Time per KiB of the fastest transfers, which approximates the unloaded
  /// link.
  double BestMsPerKiB = 0;
  SteadyTime RateReducedAt;
};

} // namespace lycheethread::mesh

#endif // LYCHEETHREAD_MESH_TYPES_LINKBUDGET_H
