#include "mesh/Mesh.h"

#include <algorithm>

namespace lycheethread::mesh {

namespace {

/// A zone that returns starts with this share of the requests that it would
/// get: its upstreams may be cold, and its links idle.
constexpr double FirstShare = 0.1;
/// Time until it gets all of them.
constexpr Milliseconds ReturnTime{5000};

} // namespace

EvacuationChange updateEvacuation(Evacuation &Known,
                                  const std::set<AvailabilityZone> &Stated,
                                  SteadyTime Now) {
  EvacuationChange Change;
  for (const AvailabilityZone &Zone : Stated) {
    ZoneEvacuation &Item = Known.Zones[Zone];
    if (Item.IsEvacuated)
      continue;
    Item = {true, Now};
    Change.Evacuated.insert(Zone);
  }
  for (auto &[Zone, Item] : Known.Zones) {
    if (!Item.IsEvacuated || Stated.count(Zone) != 0)
      continue;
    Item = {false, Now};
    Change.Returned.insert(Zone);
  }
  return Change;
}

bool isEvacuated(const Evacuation &Known, const AvailabilityZone &Zone) {
  const auto Found = Known.Zones.find(Zone);
  return Found != Known.Zones.end() && Found->second.IsEvacuated;
}

double requestShare(const Evacuation &Known, const AvailabilityZone &Zone,
                    SteadyTime Now) {
  const auto Found = Known.Zones.find(Zone);
  if (Found == Known.Zones.end())
    return 1;
  if (Found->second.IsEvacuated)
    return 0;
  const double Part =
      static_cast<double>(elapsed(Found->second.Since, Now).count()) /
      static_cast<double>(ReturnTime.count());
  return std::clamp(FirstShare + (1 - FirstShare) * Part, FirstShare, 1.0);
}

} // namespace lycheethread::mesh
