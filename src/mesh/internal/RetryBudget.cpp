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

double &balanceOf(MeshRetryBudget &Budget, RetryKind Kind) {
  return Kind == RetryKind::Rerun ? Budget.Reruns : Budget.Rejected;
}

} // namespace

void addRetryTokens(MeshRetryBudget &Budget) {
  Budget.Rejected = std::min(MaxSaved, Budget.Rejected + RejectedPerRequest);
  Budget.Reruns = std::min(MaxSaved, Budget.Reruns + RerunsPerRequest);
}

bool takeRetryToken(MeshRetryBudget &Budget, RetryKind Kind) {
  double &Balance = balanceOf(Budget, Kind);
  if (Balance < 1)
    return false;
  Balance -= 1;
  return true;
}

} // namespace lycheethread::mesh
