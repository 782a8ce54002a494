#ifndef LYCHEETHREAD_QUOTA_TYPES_ENTRYSTOCK_H
#define LYCHEETHREAD_QUOTA_TYPES_ENTRYSTOCK_H

#include "organisations/Organisations.h"
#include "quota/types/OwnerBucket.h"

#include <deque>

namespace lycheethread::quota {

struct PermitBatch {
  std::int32_t Permits = 0;
  SteadyTime ExpiresAt;
};

struct PendingAsk {
  PermitAsk Ask;
  NodeId Owner;
  /// The validity of the granted permits starts here.
  SteadyTime AskedAt;
  /// When it is to be sent again.
  SteadyTime RepeatAt;
};

/// This node's equal share of a limit while the owner does not answer.
struct FallbackShare {
  double Credit = 0;
  SteadyTime RefilledAt;
};

/// The permits of one organisation at an entry.
struct EntryStock {
  organisations::Quota Limit;
  /// Oldest first.
  std::deque<PermitBatch> Batches;
  /// Recent requests a second, served or not, decayed to DemandAt.
  double Demand = 0;
  SteadyTime DemandAt;
  std::optional<PendingAsk> Pending;
  Sequence LastNumber;
  SteadyTime LastAskAt;
  /// The owner has no permits until then.
  SteadyTime NoneUntil;
  /// The owner has recently had fewer permits than asked for.
  SteadyTime ScarceUntil;
  /// Callers that may still be told to come back, the first one at
  /// NextPlaceAt.
  std::int32_t Places = 0;
  SteadyTime NextPlaceAt;
  Milliseconds PlaceInterval{0};
  /// From 0 to 1; spreads the returns of callers without a place.
  double ReturnSpread = 0;
  /// Asks in a row without an answer, and when the first of them was sent.
  std::int32_t Unanswered = 0;
  std::optional<SteadyTime> UnansweredSince;
  FallbackShare Fallback;
};

} // namespace lycheethread::quota

#endif // LYCHEETHREAD_QUOTA_TYPES_ENTRYSTOCK_H
