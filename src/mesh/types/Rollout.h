#ifndef LYCHEETHREAD_MESH_TYPES_ROLLOUT_H
#define LYCHEETHREAD_MESH_TYPES_ROLLOUT_H

#include "mesh/types/Evidence.h"
#include "mesh/types/NodeReport.h"

#include <map>
#include <optional>
#include <vector>

namespace lycheethread::mesh {

/// Nodes that judge the new version of a service; more than one, since each may
/// fail.
inline constexpr std::size_t UsualJudges = 3;

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

/// May hold the sum over all routes under the empty name.
using TotalsByRoute = std::map<RouteName, RouteTotals>;

/// Upstreams of one version that are ready, as one node sees them.
struct EvidenceCoverage {
  std::int32_t Ready = 0;
  /// Those whose evidence is recent.
  std::int32_t Reporting = 0;
  /// Those that are heard of but whose evidence does not arrive.
  std::int32_t Missing = 0;
};

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
  /// This node is one of those that judge, and has the evidence for it.
  bool MayJudge = true;
  /// How long it has been one without a break.
  Milliseconds JudgedFor = Milliseconds::max();
  /// The newest judgement of any node, and the age from which on it no longer
  /// counts.
  std::optional<Judgement> Judged;
  Milliseconds JudgementTimeout{0};
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
  /// Position of the step in the plan, from 0, and the furthest one that may be
  /// taken.
  std::int32_t Step = 0;
  std::int32_t StepLimit = 0;
  /// The new version has all requests, but for those that serve to compare.
  bool IsLastStep = false;
  std::optional<RolloutState> End;
  std::string Reason;
};

} // namespace lycheethread::mesh

#endif // LYCHEETHREAD_MESH_TYPES_ROLLOUT_H
