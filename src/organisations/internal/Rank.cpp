#include "organisations/Organisations.h"

#include <algorithm>

namespace lycheethread::organisations {

namespace {

/// Ranks of routes that are told apart within one rank of an organisation.
constexpr std::int32_t RouteRanks = 1000;
constexpr std::int32_t HighestRank = 1000;

} // namespace

std::int32_t rankOf(const Organisation *Holder, std::int32_t RouteRank) {
  const std::int32_t OfRoute = std::clamp(RouteRank, 0, RouteRanks - 1);
  // A call that an upstream makes has no organisation. It belongs to work that
  // has already begun.
  if (Holder == nullptr)
    return OfRoute;
  return std::clamp(Holder->Rank, 0, HighestRank) * RouteRanks + OfRoute;
}

} // namespace lycheethread::organisations
