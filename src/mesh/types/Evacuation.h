#ifndef LYCHEETHREAD_MESH_TYPES_EVACUATION_H
#define LYCHEETHREAD_MESH_TYPES_EVACUATION_H

#include "model/Model.h"

#include <map>
#include <set>

namespace lycheethread::mesh {

/// An availability zone that is evacuated, or was since this node started.
struct ZoneEvacuation {
  bool IsEvacuated = false;
  /// When this node learned that the evacuation was ordered or taken back.
  SteadyTime Since;
};

/// The zones that the operator has evacuated, as this node knows them.
struct Evacuation {
  std::map<AvailabilityZone, ZoneEvacuation> Zones;
};

/// The zones whose state an update has changed.
struct EvacuationChange {
  std::set<AvailabilityZone> Evacuated;
  std::set<AvailabilityZone> Returned;
};

} // namespace lycheethread::mesh

#endif // LYCHEETHREAD_MESH_TYPES_EVACUATION_H
