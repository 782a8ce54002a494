#ifndef LYCHEETHREAD_MESH_TYPES_SERVICETIME_H
#define LYCHEETHREAD_MESH_TYPES_SERVICETIME_H

#include "model/Model.h"

namespace lycheethread::mesh {

/// Service time of a cold upstream relative to a warm one.
inline constexpr int ColdFactor = 2;

/// Mean time that one upstream takes for a request.
struct ServiceTime {
  double MeanMs = 0;
  /// Whether MeanMs holds a value, assumed or measured.
  bool IsKnown = false;
};

} // namespace lycheethread::mesh

#endif // LYCHEETHREAD_MESH_TYPES_SERVICETIME_H
