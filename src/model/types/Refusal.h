#ifndef LYCHEETHREAD_MODEL_TYPES_REFUSAL_H
#define LYCHEETHREAD_MODEL_TYPES_REFUSAL_H

#include "model/types/Ids.h"
#include "model/types/RefusalReason.h"
#include "model/types/RequestClass.h"
#include "model/types/Units.h"

namespace lycheethread {

/// A request that a node refused.
struct Refusal {
  RefusalId Id;
  WallTime At;
  CallerId Caller;
  ServiceName Service;
  RouteName Route;
  RequestClass Class = RequestClass::Repeatable;
  RefusalReason Reason = RefusalReason::NoRoute;
  Executed ExecutionStatus = Executed::No;
  /// First offset of the control stream that the node had not applied yet.
  Offset ConfigPosition;
};

} // namespace lycheethread

#endif // LYCHEETHREAD_MODEL_TYPES_REFUSAL_H
