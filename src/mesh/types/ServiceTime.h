#ifndef LYCHEETHREAD_MESH_TYPES_SERVICETIME_H
#define LYCHEETHREAD_MESH_TYPES_SERVICETIME_H

#include "model/Model.h"

namespace lycheethread::mesh {

/// A cold upstream takes about this many times as long as the others.
inline constexpr int ColdFactor = 2;

/// Mean time of one upstream for one request.
struct ServiceTime {
  double MeanMs = 0;
  /// Assumed or measured.
  bool IsKnown = false;
};

} // namespace lycheethread::mesh

#endif // LYCHEETHREAD_MESH_TYPES_SERVICETIME_H
