#ifndef LYCHEETHREAD_MESH_TYPES_HOPQUEUE_H
#define LYCHEETHREAD_MESH_TYPES_HOPQUEUE_H

#include "mesh/types/ColdLimit.h"
#include "mesh/types/FairShare.h"
#include "requests/Requests.h"

#include <cstddef>
#include <optional>
#include <vector>

namespace lycheethread::mesh {

using JobId = StrongNumber<struct JobIdTag>;

/// A request that waits for a slot at the last hop.
struct QueuedJob {
  JobId Id;
  /// Rank 0 is served first.
  std::int32_t Rank = 0;
  /// Of the organisation, among which slots are shared.
  ShareAccount Account;
  SteadyTime Arrived;
  /// Latency objective of the route, which counts from the caller's first
  /// attempt.
  Milliseconds Objective{0};
  /// The end of the objective: a later answer is worth less to the caller. An
  /// answer after DeadlineAt is worth nothing.
  SteadyTime ObjectiveAt;
  SteadyTime DeadlineAt;
  /// Expected service time of this request at the upstream.
  Milliseconds ServiceTime{0};
};

/// Rank of a call that an upstream makes for a request which it runs. It goes
/// before new work: if it fails, what the request has cost is lost.
inline constexpr std::int32_t NestedCallRank = -1;

/// Requests of one rank that have arrived lately.
struct RecentRank {
  std::int32_t Rank = 0;
  SteadyTime SeenAt;
  /// The shortest time that one of them may wait for a slot.
  Milliseconds LongestWait{0};
  /// How many of them hold a slot.
  std::int32_t Running = 0;
  /// When one of them last took or left a slot.
  SteadyTime LastSlotAt;
  /// Arrival of the first one since one took a slot.
  std::optional<SteadyTime> UnservedSince;
  /// Slot time that they have used, weighted as in FairShares.
  double SlotMs = 0;
};

/// A request at its entry, which knows only how long it would wait at the last
/// hop if that served it last.
struct EntryRequest {
  /// No request of another route waits behind this one.
  bool IsServedLast = false;
  Milliseconds SinceFirstAttempt{0};
  Milliseconds Objective{0};
  Milliseconds ObjectiveLeft{0};
  /// Expected service time of this request at the chosen upstream.
  Milliseconds ServiceTime{0};
};

/// The slots of one upstream and the requests that wait for them.
struct HopQueue {
  std::int32_t Slots = 0;
  std::int32_t Running = 0;
  std::vector<QueuedJob> Waiting;
  /// The rate at which the upstream takes requests.
  requests::RateLimit Limit;
  std::vector<RecentRank> RecentRanks;
  /// The rate at which it takes them while it is cold.
  ColdLimit Cold;
  /// Decides among the waiting requests of one rank.
  FairShares Shares;
  /// Whether organisations share the slots and ranks are served in turn;
  /// otherwise ranks are served strictly in their order.
  bool SharesSlots = true;
};

/// Result of the admission check of an arriving request.
struct QueueDecision {
  enum class Action { Run, Wait, Refuse };
  Action Choice = Action::Refuse;
  /// With Refuse: the time after which a retry is expected to be admitted.
  Milliseconds RetryDelay{0};
  /// With Refuse: there are slots, but the limit of the upstream is used up.
  bool IsRateLimited = false;
};

} // namespace lycheethread::mesh

#endif // LYCHEETHREAD_MESH_TYPES_HOPQUEUE_H
