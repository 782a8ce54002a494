#ifndef LYCHEETHREAD_MESH_TYPES_ROLLOUT_H
#define LYCHEETHREAD_MESH_TYPES_ROLLOUT_H

#include "mesh/types/NodeReport.h"

#include <map>
#include <optional>
#include <vector>

namespace lycheethread::mesh {

/// An order of the operator to move a service to a different version.
struct RolloutOrder {
  /// Offset of the order in the store, which identifies it.
  Offset At;
  ServiceName Service;
  VersionName Target;
  /// Time within which the rollout must be finished.
  Milliseconds Duration{0};
};

/// Versions that may get requests of a service.
enum class VersionChoice { OldOnly, NewOnly, Split };

/// Outcomes of one route at one version.
struct VersionTotals {
  std::int64_t Good = 0;
  std::int64_t Bad = 0;
  /// Good answers whose time is in TotalTime: those of a cold upstream are not.
  std::int64_t Timed = 0;
  Milliseconds TotalTime{0};
};

struct RouteTotals {
  VersionTotals Old;
  VersionTotals New;
};

using TotalsByRoute = std::map<RouteName, RouteTotals>;

/// State of a rollout, combined from the reports of all nodes.
struct RolloutView {
  Milliseconds Duration{0};
  /// Time since the first node saw the order.
  Milliseconds Age{0};
  /// Outcomes since the share of the new version last changed.
  TotalsByRoute Routes;
  /// Outcomes under each earlier share.
  std::vector<TotalsByRoute> Earlier;
  /// The last decision was to compare the versions before the rollout ends.
  bool IsComparing = false;
  /// This node is one of those that judge by the evidence.
  bool MayJudge = true;
  /// Part of the requests that a bad version may get in total.
  double ExposureShare = 0.1;
  std::int32_t ReadyNew = 0;
  std::int32_t ReadyOld = 0;
  /// Requests in progress at upstreams of the old version.
  std::int32_t OldInProgress = 0;
  /// A node has found that the new version is bad.
  bool IsNewVersionBad = false;
};

/// The current traffic split of a service, and whether the rollout ends.
struct RolloutDecision {
  /// Share of the new version among repeatable and among all other requests.
  Permille Repeatable;
  Permille NonRepeatable;
  /// Sends the whole share to a single upstream, so that a version which fails
  /// only under load is detected while its share is small.
  bool UseSingleUpstream = false;
  bool IsNewVersionBad = false;
  /// The new version fails while the old one gets too few requests to compare
  /// with. A disturbance may be the cause, so the old version gets a small
  /// share again before the rollout ends.
  bool IsComparing = false;
  /// The new version has all requests, but for those that serve to compare.
  bool IsLastStep = false;
  std::optional<RolloutState> End;
  std::string Reason;
};

} // namespace lycheethread::mesh

#endif // LYCHEETHREAD_MESH_TYPES_ROLLOUT_H
