#ifndef LYCHEETHREAD_MESH_TYPES_LINKBUDGET_H
#define LYCHEETHREAD_MESH_TYPES_LINKBUDGET_H

#include "model/Model.h"

namespace lycheethread::mesh {

/// What this node may send in long bodies over a link that it shares with
/// nodes it cannot ask: a rate that grows while transfers are quick and shrinks
/// when they slow down.
struct LinkBudget {
  double BytesPerSecond = 250'000;
  /// Bytes that may be sent now; negative after a long body.
  double Tokens = 0;
  SteadyTime RefilledAt;
  /// Time of the quickest transfers, which a link without load allows.
  double BestMsPerKiB = 0;
  SteadyTime RateReducedAt;
};

} // namespace lycheethread::mesh

#endif // LYCHEETHREAD_MESH_TYPES_LINKBUDGET_H
