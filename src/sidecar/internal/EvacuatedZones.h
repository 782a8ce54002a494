#ifndef LYCHEETHREAD_SIDECAR_INTERNAL_EVACUATEDZONES_H
#define LYCHEETHREAD_SIDECAR_INTERNAL_EVACUATEDZONES_H

#include "sidecar/internal/NodeContext.h"

#include <set>

namespace lycheethread::sidecar {

/// Returns the zones that the records state as evacuated.
std::set<AvailabilityZone> evacuatedZones(const NodeContext &Context);

/// Brings NodeContext::Evacuated up to date with the records, and logs what has
/// changed.
void updateEvacuation(NodeContext &Context);

/// Whether the zone of this node is evacuated.
bool isOwnZoneEvacuated(const NodeContext &Context);

/// Returns the evacuated zones, and the requests \p Running at the upstream of
/// this node if its zone is one of them, in the Prometheus text format; empty
/// without an evacuated zone.
std::string evacuationMetrics(const NodeContext &Context, std::size_t Running);

} // namespace lycheethread::sidecar

#endif // LYCHEETHREAD_SIDECAR_INTERNAL_EVACUATEDZONES_H
