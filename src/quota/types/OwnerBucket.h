#ifndef LYCHEETHREAD_QUOTA_TYPES_OWNERBUCKET_H
#define LYCHEETHREAD_QUOTA_TYPES_OWNERBUCKET_H

#include "model/Model.h"

#include <optional>
#include <unordered_map>

namespace lycheethread::quota {

/// A request of an entry for permits.
struct PermitAsk {
  NodeId Entry;
  /// Grows with each new ask of a process; a repetition has the same number.
  Sequence Number;
  std::int32_t Wanted = 0;
  /// How many of these are for callers that were refused before.
  std::int32_t Returning = 0;
};

/// The answer to a PermitAsk.
struct PermitGrant {
  Sequence Number;
  std::int32_t Permits = 0;
  /// If fewer were granted than wanted: the time until more are expected.
  Milliseconds RetryDelay{0};
  /// The entry may tell this many callers to come back: the first after
  /// ReturnDelay, the others PlaceInterval apart. With fewer permits than
  /// wanted, ReturnDelay is not 0.
  std::int32_t Places = 0;
  Milliseconds ReturnDelay{0};
  Milliseconds PlaceInterval{0};
};

/// What the owner knows of one entry.
struct EntryDemand {
  /// Permits asked for, decayed.
  double Recent = 0;
  SteadyTime AskedAt;
  PermitGrant LastGrant;
};

/// The permits of one organisation at its owner.
struct OwnerBucket {
  double Tokens = 0;
  /// Permits that may be granted at once after the start, see earlyPermits().
  double Early = 0;
  /// Part of the limit that this owner may grant.
  double Fraction = 0;
  /// Empty until the bucket is first refilled.
  std::optional<SteadyTime> StartedAt;
  SteadyTime RefilledAt;
  std::unordered_map<NodeId, EntryDemand> Entries;
  /// Sum over the entries, decayed to DemandAt.
  double Demand = 0;
  SteadyTime DemandAt;
  /// Callers that were told to come back and have not, decayed.
  double Expected = 0;
  /// Part of Tokens that is kept for them.
  double Reserved = 0;
};

} // namespace lycheethread::quota

#endif // LYCHEETHREAD_QUOTA_TYPES_OWNERBUCKET_H
