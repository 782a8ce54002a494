#ifndef LYCHEETHREAD_ORGANISATIONS_TYPES_ORGANISATION_H
#define LYCHEETHREAD_ORGANISATIONS_TYPES_ORGANISATION_H

#include "model/Model.h"

#include <optional>
#include <vector>

namespace lycheethread::organisations {

using OrganisationId = StrongId<struct OrganisationIdTag>;

/// Regions that may serve a request; empty if any may.
using RegionList = std::vector<Region>;

/// Requests that all nodes together may pass on for an organisation.
struct Quota {
  double PerSecond = 0;
  double Burst = 0;
};

/// A group of callers that share keys, a quota and a rank.
struct Organisation {
  OrganisationId Name;
  /// Rank 0 is served first; comes before the rank of the route.
  std::int32_t Rank = 0;
  /// Empty for an organisation without a limit.
  std::optional<Quota> Limit;
  RegionList AllowedRegions;
};

} // namespace lycheethread::organisations

#endif // LYCHEETHREAD_ORGANISATIONS_TYPES_ORGANISATION_H
