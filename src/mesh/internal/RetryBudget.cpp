#include "mesh/Mesh.h"

#include <algorithm>

namespace lycheethread::mesh {

namespace {

/// Parts of the allowed ratio. The rest is a reserve for retries that this node
/// cannot count, such as requests lost on the way.
constexpr double RejectedPart = 0.8;
/// A rerun also repeats the calls that the request makes, which count against a
/// service with fewer requests of its own.
constexpr double RerunPart = 0.1;
/// Part of the slack that the nodes may save up together.
constexpr double SlackPart = 0.9;
constexpr double Kinds = 2;

double &balanceOf(MeshRetryBudget &Budget, RetryKind Kind) {
  return Kind == RetryKind::Rerun ? Budget.Reruns : Budget.Rejected;
}

} // namespace

// Saved tokens can all be spent at the same moment, when a fault hits every
// node, so their sum over the nodes stays within the slack.
RetryLimits retryLimits(const MeshBounds &Bounds, std::size_t Nodes) {
  const double Share =
      Bounds.RetrySlack * SlackPart /
      (Kinds * static_cast<double>(std::max<std::size_t>(1, Nodes)));
  return {Bounds.RetryRatio * RejectedPart, Bounds.RetryRatio * RerunPart,
          std::max(1.0, Share)};
}

void addRetryTokens(MeshRetryBudget &Budget, const RetryLimits &Limits) {
  Budget.Rejected =
      std::min(Limits.MaxTokens, Budget.Rejected + Limits.RejectedPerRequest);
  Budget.Reruns =
      std::min(Limits.MaxTokens, Budget.Reruns + Limits.RerunsPerRequest);
}

bool takeRetryToken(MeshRetryBudget &Budget, RetryKind Kind) {
  double &Balance = balanceOf(Budget, Kind);
  if (Balance < 1)
    return false;
  Balance -= 1;
  return true;
}

} // namespace lycheethread::mesh
