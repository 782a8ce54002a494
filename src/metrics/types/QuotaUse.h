#ifndef LYCHEETHREAD_METRICS_TYPES_QUOTAUSE_H
#define LYCHEETHREAD_METRICS_TYPES_QUOTAUSE_H

#include "organisations/types/Organisation.h"

#include <cstdint>

namespace lycheethread::metrics {

/// Counts of one entry since the start of the process.
struct QuotaCounts {
  /// Requests that took a permit granted by the owner.
  std::int64_t FromGrants = 0;
  /// Requests that took a permit of the fallback share.
  std::int64_t FromFallback = 0;
  /// Requests that gave their permit back, since they were not run.
  std::int64_t Returned = 0;
  std::int64_t Refused = 0;
  /// Asks for permits, also those of an owner to itself.
  std::int64_t Asks = 0;
  /// Asks that were given up without an answer.
  std::int64_t Unanswered = 0;
};

/// Use of the quota of one organisation at one node.
struct QuotaUse {
  organisations::OrganisationId Organisation;
  QuotaCounts Counts;
  /// This node is the owner.
  bool IsOwner = false;
};

} // namespace lycheethread::metrics

#endif // LYCHEETHREAD_METRICS_TYPES_QUOTAUSE_H
