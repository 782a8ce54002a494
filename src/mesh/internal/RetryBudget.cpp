#include "mesh/Mesh.h"

#include <algorithm>

namespace lycheethread::mesh {

namespace {

/// The users allow 0.2 repeats a request. A part is left for what this node
/// cannot count, such as requests that were lost on their way.
constexpr double RejectedPerRequest = 0.14;
/// A rerun repeats its calls too, which count against a service with fewer
/// requests of its own.
constexpr double RerunsPerRequest = 0.02;
constexpr double MaxSaved = 6;

double &balanceOf(MeshRetryBudget &Budget, RepeatKind Kind) {
  return Kind == RepeatKind::Rerun ? Budget.Reruns : Budget.Rejected;
}

} // namespace

void earnRetries(MeshRetryBudget &Budget) {
  Budget.Rejected = std::min(MaxSaved, Budget.Rejected + RejectedPerRequest);
  Budget.Reruns = std::min(MaxSaved, Budget.Reruns + RerunsPerRequest);
}

bool spendRetry(MeshRetryBudget &Budget, RepeatKind Kind) {
  double &Balance = balanceOf(Budget, Kind);
  if (Balance < 1)
    return false;
  Balance -= 1;
  return true;
}

} // namespace lycheethread::mesh
