#ifndef LYCHEETHREAD_MESH_TYPES_CALLEEOUTLOOK_H
#define LYCHEETHREAD_MESH_TYPES_CALLEEOUTLOOK_H

#include "model/Model.h"

#include <deque>
#include <map>
#include <optional>
#include <unordered_map>

namespace lycheethread::mesh {

/// A call that an upstream made for a request which it runs.
struct NestedCall {
  /// The called service.
  ServiceName Callee;
  SteadyTime BeganAt;
  /// The call was refused or timed out; otherwise it was answered.
  bool IsRefused = false;
  /// The delay that the refusal stated.
  Milliseconds RetryDelay{0};
};

/// A request that an upstream has run to its end.
struct EndedRun {
  RouteName Route;
  SteadyTime BeganAt;
  /// It ended with a server error, or without an answer.
  bool HasFailed = false;
};

/// A refused call that no failed run has been attributed to yet.
struct RefusedCall {
  ServiceName Callee;
  SteadyTime EndedAt;
};

/// How a called service has lately served the calls of one upstream.
struct CalleeState {
  /// Share of the requests that run among those which need this service. 1
  /// while it serves the calls.
  double AdmittedShare = 1;
  /// When AdmittedShare was changed last, and when it fell below 1.
  SteadyTime ChangedAt;
  SteadyTime LimitedAt;
  /// Only calls that began later are counted: earlier ones belong to runs that
  /// were admitted with another share.
  SteadyTime CountedFrom;
  std::int32_t Answered = 0;
  std::int32_t Refused = 0;
  /// Answered since the last one that was refused.
  std::int32_t AnsweredInTurn = 0;
  /// The same for all calls; both decay.
  double RecentlyAnswered = 0;
  double RecentlyRefused = 0;
  /// When the last call ended.
  SteadyTime DecayedAt;
  SteadyTime RefusedAt;
  /// How often the share was raised in turn.
  std::int32_t Raises = 0;
  /// The delay that the last refusal stated.
  Milliseconds RetryDelay{0};
};

/// The runs of one route at one upstream since calls have been refused.
struct RouteOutlook {
  /// Runs that have ended, and those of them that failed because a call was
  /// refused; both decay.
  double Ended = 0;
  double Failed = 0;
  /// Requests that arrived while the route was limited, and those of them that
  /// were admitted; both decay.
  double Offered = 0;
  double Admitted = 0;
  SteadyTime DecayedAt;
  /// Enough runs succeed without the called service that slots without other
  /// work are used for them.
  bool UsesIdleSlots = false;
  /// The called service for which requests are rejected; empty if none are.
  std::optional<ServiceName> Callee;
  /// Requests that may be admitted now.
  double Credit = 0;
  SteadyTime AdmittedAt;
};

/// A request that the last hop decides about.
struct CalleeRequest {
  RouteName Route;
  /// It was refused before and can still be answered within its objective.
  bool IsReturning = false;
  /// The upstream has a slot for which no request waits.
  bool HasIdleSlot = false;
};

/// What the last hop knows of the services that its upstream calls. Empty
/// unless calls have been refused within the last seconds.
struct CalleeOutlook {
  /// Requests of a route are rejected from this share of failed runs on. Single
  /// refused calls, as they occur at any load, stay below the default.
  double MinFailedShare = 0.25;
  std::deque<RefusedCall> Refused;
  std::map<ServiceName, CalleeState> Callees;
  std::unordered_map<RouteName, RouteOutlook> Routes;
};

/// A route whose requests the last hop has begun or stopped to reject.
struct CalleeChange {
  RouteName Route;
  ServiceName Callee;
  /// Share of the runs that have failed.
  double FailedShare = 0;
};

} // namespace lycheethread::mesh

#endif // LYCHEETHREAD_MESH_TYPES_CALLEEOUTLOOK_H
