#include "quota/Quota.h"

#include <algorithm>
#include <cmath>

namespace lycheethread::quota {

namespace {

/// The share begins to grow MinHeardWindow before the heard window has passed,
/// with the square of the time, and is full after RampMs. The owner may live on
/// the other side of a partition and grant the whole limit until the window has
/// passed; what both sides grant meanwhile exceeds the limit by at most the
/// rate x 0.36 s.
constexpr double RampMs = 5000;

/// Returns for how many ms of the full rate a share has grown at \p Age.
double grownMs(double Age) {
  if (Age < RampMs)
    return Age * Age * Age / (3 * RampMs * RampMs);
  return RampMs / 3 + (Age - RampMs);
}

double countOf(Milliseconds Length) {
  return static_cast<double>(std::max<std::int64_t>(0, Length.count()));
}

} // namespace

bool takeFallback(EntryStock &Stock, const Fleet &Nodes,
                  const QuotaTimes &Times, SteadyTime Now) {
  if (!Stock.UnansweredSince)
    return false;
  FallbackShare &Share = Stock.Fallback;
  const double Count =
      static_cast<double>(std::max<std::size_t>(1, Nodes.Known));
  const double RatePerMs = Stock.Limit.PerSecond / Count / 1000;
  const SteadyTime Start =
      after(*Stock.UnansweredSince, Times.HeardWindow - MinHeardWindow);
  Share.Credit +=
      RatePerMs * (grownMs(countOf(elapsed(Start, Now))) -
                   grownMs(countOf(elapsed(Start, Share.RefilledAt))));
  Share.RefilledAt = Now;
  const double Capacity = Stock.Limit.Burst / Count;
  if (Capacity >= 1) {
    Share.Credit = std::min(Share.Credit, Capacity);
  } else if (Share.Credit >= 1) {
    // A whole permit is more than this node's part of the burst. It expires
    // like a granted one, or every node would keep one in the end, together far
    // more than the burst.
    const double Rest = Share.Credit - std::floor(Share.Credit);
    const bool IsExpired = Rest > RatePerMs * countOf(Times.Lifetime);
    Share.Credit = IsExpired ? Rest : 1 + Rest;
  }
  if (Share.Credit < 1)
    return false;
  Share.Credit -= 1;
  return true;
}

} // namespace lycheethread::quota
