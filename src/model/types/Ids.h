#ifndef LYCHEETHREAD_MODEL_TYPES_IDS_H
#define LYCHEETHREAD_MODEL_TYPES_IDS_H

#include "model/types/StrongId.h"

namespace lycheethread {

using ServiceName = StrongId<struct ServiceNameTag>;
using TeamName = StrongId<struct TeamNameTag>;
using GroupName = StrongId<struct GroupNameTag>;
using VersionName = StrongId<struct VersionNameTag>;
using RouteName = StrongId<struct RouteNameTag>;
using ResourceName = StrongId<struct ResourceNameTag>;
using CallerId = StrongId<struct CallerIdTag>;
using RequestId = StrongId<struct RequestIdTag>;
using RefusalId = StrongId<struct RefusalIdTag>;
using IdempotencyKey = StrongId<struct IdempotencyKeyTag>;
using NodeId = StrongId<struct NodeIdTag>;
using Region = StrongId<struct RegionTag>;
using AvailabilityZone = StrongId<struct AvailabilityZoneTag>;
using StreamName = StrongId<struct StreamNameTag>;
using LeaseSubject = StrongId<struct LeaseSubjectTag>;
/// "<service>/<group>/<revision of the document that requested the move>".
using MoveId = StrongId<struct MoveIdTag>;

} // namespace lycheethread

#endif // LYCHEETHREAD_MODEL_TYPES_IDS_H
