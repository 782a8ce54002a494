#ifndef LYCHEETHREAD_MESH_TYPES_ROLLOUT_H
#define LYCHEETHREAD_MESH_TYPES_ROLLOUT_H

#include "mesh/types/NodeReport.h"

#include <map>
#include <optional>

namespace lycheethread::mesh {

/// The operator's order to move a service to another version.
struct RolloutOrder {
  /// Position of the order in the store, which names it.
  Offset At;
  ServiceName Service;
  VersionName Target;
  /// Time within which the move is to be finished.
  Milliseconds Duration{0};
};

/// Outcomes of one route at one version.
struct VersionTotals {
  std::int64_t Good = 0;
  std::int64_t Bad = 0;
  Milliseconds TotalTime{0};
};

struct RouteTotals {
  VersionTotals Old;
  VersionTotals New;
};

/// What is known of a rollout by all nodes together.
struct RolloutView {
  Milliseconds Duration{0};
  /// Since the first node saw the order.
  Milliseconds Age{0};
  std::map<RouteName, RouteTotals> Routes;
  std::int32_t ReadyNew = 0;
  std::int32_t ReadyOld = 0;
  /// Requests that upstreams of the old version still hold.
  std::int32_t OldInProgress = 0;
  /// Some node has found the new version bad.
  bool FoundBad = false;
};

/// How a service's requests are divided now, and whether the rollout ends.
struct RolloutDecision {
  /// Share of the new version in repeatable and in other requests.
  Permille Repeatable;
  Permille Guarded;
  /// Send all of the share to one upstream, so that a version that is bad only
  /// under load shows it while its share is small.
  bool UseSingleUpstream = false;
  bool FoundBad = false;
  std::optional<RolloutState> End;
  std::string Reason;
};

} // namespace lycheethread::mesh

#endif // LYCHEETHREAD_MESH_TYPES_ROLLOUT_H
