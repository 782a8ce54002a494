#ifndef LYCHEETHREAD_QUOTA_TESTS_FLEETRUN_H
#define LYCHEETHREAD_QUOTA_TESTS_FLEETRUN_H

#include "quota/Quota.h"

#include <cstddef>
#include <functional>
#include <map>
#include <random>
#include <utility>
#include <vector>

namespace lycheethread::quota {

/// What happens in a run. Times are in ms from its start.
struct FleetPlan {
  std::size_t Nodes = 13;
  organisations::Quota Limit;
  std::int64_t Length = 30'000;
  /// Requests a second of the organisation at a time.
  std::function<double(std::int64_t)> Rate;
  std::function<organisations::Quota(std::int64_t)> LimitAt;
  double Loss = 0;
  /// Between these times, the first FirstPart nodes (half of all if 0) and the
  /// others hear nothing of each other. The owner is node 0, that of the second
  /// part node Nodes - 1.
  std::size_t FirstPart = 0;
  std::int64_t CutFrom = -1;
  std::int64_t CutTo = -1;
  /// The owner ends at this time, and the next node becomes the owner when its
  /// silence is noticed.
  std::int64_t KillAt = -1;
  /// All nodes end and start anew at this time.
  std::int64_t RestartAt = -1;
  /// All requests arrive at this many nodes; 0 for all.
  std::size_t Entries = 0;
  /// Busy nodes handle this part of the messages up to SlowMs late.
  double SlowPart = 0;
  std::int64_t SlowMs = 0;
  /// Refused callers return once, to the same node, if they are told to come
  /// back within a third of their time; 0 if none do.
  std::int64_t CallerTime = 0;
  /// The owner is not told that they return, and they are told this time.
  std::int64_t FixedReturnMs = 0;
};

/// Why requests were refused that a token bucket of the limit would have let
/// pass.
struct LossCounts {
  /// The entry waited for the owner to have permits again.
  std::int64_t BackOff = 0;
  /// An answer brought too few permits.
  std::int64_t TooFew = 0;
  /// The answer did not come in time.
  std::int64_t Late = 0;
  /// The owner was taken for silent.
  std::int64_t Silent = 0;

  std::int64_t sum() const { return BackOff + TooFew + Late + Silent; }
};

struct FleetResult {
  std::int64_t Offered = 0;
  std::int64_t Served = 0;
  std::int64_t Messages = 0;
  /// Requests served in each step.
  std::vector<std::int32_t> ServedIn;
  std::int64_t LongestWait = 0;
  /// Requests that a token bucket of the limit lets pass, and those of them
  /// that were refused.
  std::int64_t WithinLimit = 0;
  LossCounts Lost;
  /// Callers that came back, and those of them that were refused again.
  std::int64_t Returned = 0;
  std::int64_t RefusedAgain = 0;
  /// Callers that came back and were served, in ms since their first attempt.
  std::int64_t ReturnedMs = 0;

  /// Returns how many were served in this span.
  std::int64_t servedBetween(std::int64_t From, std::int64_t To) const;
  /// Returns the most that were served in any 5 s that begin at \p From or
  /// later and end by \p To.
  std::int64_t mostInWindow(std::int64_t From, std::int64_t To) const;
};

inline constexpr std::int64_t FleetStep = 5;

/// Runs entries and owners with messages that take 1 to 60 ms.
FleetResult runFleet(const FleetPlan &Plan);

} // namespace lycheethread::quota

#endif // LYCHEETHREAD_QUOTA_TESTS_FLEETRUN_H
