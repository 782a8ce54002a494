#ifndef LYCHEETHREAD_MESH_TYPES_HOPQUEUE_H
#define LYCHEETHREAD_MESH_TYPES_HOPQUEUE_H

#include "model/Model.h"

#include <cstddef>
#include <vector>

namespace lycheethread::mesh {

using JobId = StrongNumber<struct JobIdTag>;

/// A request at the last hop that waits for a slot.
struct QueuedJob {
  JobId Id;
  /// 0 is served first.
  std::int32_t Rank = 0;
  SteadyTime Arrived;
  /// Time within which the caller wants an answer, from its first try on.
  Milliseconds Objective{0};
  /// Answers after this are worth less to the caller, after DeadlineAt nothing.
  SteadyTime ObjectiveAt;
  SteadyTime DeadlineAt;
  /// Expected time of the upstream for this request.
  Milliseconds Service{0};
};

/// Slots of one upstream and who holds or wants them.
struct HopQueue {
  std::int32_t Slots = 0;
  std::int32_t Running = 0;
  std::vector<QueuedJob> Waiting;
};

/// What happens to a request that has just arrived.
struct AdmissionDecision {
  enum class Action { Run, Wait, Refuse };
  Action Do = Action::Refuse;
  /// With Refuse: time after which room is expected.
  Milliseconds RetryDelay{0};
};

} // namespace lycheethread::mesh

#endif // LYCHEETHREAD_MESH_TYPES_HOPQUEUE_H
