#include "mesh/Mesh.h"

#include <algorithm>

namespace lycheethread::mesh {

namespace {

/// The users allow 0.2 retries per request. The difference is a reserve for
/// retries that this node cannot count, such as requests lost on the way.
constexpr double RejectedTokensPerRequest = 0.14;
/// A rerun also repeats the calls that the request makes, which count against a
/// service with fewer requests of its own.
constexpr double RerunTokensPerRequest = 0.02;
constexpr double MaxTokens = 6;

double &balanceOf(MeshRetryBudget &Budget, RetryKind Kind) {
  return Kind == RetryKind::Rerun ? Budget.Reruns : Budget.Rejected;
}

} // namespace

void addRetryTokens(MeshRetryBudget &Budget) {
  Budget.Rejected =
      std::min(MaxTokens, Budget.Rejected + RejectedTokensPerRequest);
  Budget.Reruns = std::min(MaxTokens, Budget.Reruns + RerunTokensPerRequest);
}

bool takeRetryToken(MeshRetryBudget &Budget, RetryKind Kind) {
  double &Balance = balanceOf(Budget, Kind);
  if (Balance < 1)
    return false;
  Balance -= 1;
  return true;
}

} // namespace lycheethread::mesh
