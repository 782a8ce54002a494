#ifndef LYCHEETHREAD_MESH_TYPES_STOPPLAN_H
#define LYCHEETHREAD_MESH_TYPES_STOPPLAN_H

#include "model/Model.h"

namespace lycheethread::mesh {

/// The phases of a planned stop, as times since it was requested.
struct StopPlan {
  /// New requests are accepted until then, since callers need time to notice.
  Milliseconds AcceptUntil{0};
  /// Requests that have not been sent to an upstream by then are refused.
  Milliseconds SendUntil{0};
  /// The process ends then, whatever is in progress.
  Milliseconds EndAt{0};
};

} // namespace lycheethread::mesh

#endif // LYCHEETHREAD_MESH_TYPES_STOPPLAN_H
