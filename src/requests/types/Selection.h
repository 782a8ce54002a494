#ifndef LYCHEETHREAD_REQUESTS_TYPES_SELECTION_H
#define LYCHEETHREAD_REQUESTS_TYPES_SELECTION_H

#include "requests/types/RoutingView.h"

#include <cstdint>
#include <map>
#include <set>

namespace lycheethread::requests {

/// Result of a route lookup; pointers are null where nothing matches.
struct RouteMatch {
  const ServiceName *Name = nullptr;
  const ServiceView *Service = nullptr;
  const Route *Found = nullptr;
};

/// Failures of one member as observed by this node (outlier detection).
struct Ejection {
  std::int32_t ConsecutiveFailures = 0;
  /// Ejections since the last answer; each doubles the duration of the next.
  std::int32_t EjectionCount = 0;
  SteadyTime Until;
  std::int32_t ConsecutiveSheds = 0;
  /// Time of the first of these shed requests.
  SteadyTime FirstShed;
};

struct EjectionTable {
  std::map<NodeId, Ejection> Members;
};

/// Number of requests in progress from this node to each member.
struct LoadTable {
  std::map<NodeId, std::int32_t> InProgress;
};

/// Input of a selection besides the group.
struct SelectionInput {
  const RequestId &Id;
  RequestClass Class = RequestClass::Repeatable;
  const moves::StoppedMoveSet &StoppedMoves;
  const EjectionTable &Ejections;
  const LoadTable &Load;
  /// Members that this request has already been sent to.
  const std::set<NodeId> &Excluded;
  SteadyTime Now;
  std::uint64_t Seed = 0;
};

struct Selection {
  Member Target;
  VersionName Version;
};

} // namespace lycheethread::requests

#endif // LYCHEETHREAD_REQUESTS_TYPES_SELECTION_H
