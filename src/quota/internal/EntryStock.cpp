#include "quota/Quota.h"

#include <algorithm>
#include <cmath>

namespace lycheethread::quota {

namespace {

constexpr double MillisecondsPerSecond = 1000;
/// Time constant of the recent use.
constexpr double DemandDecayMs = 1000;
/// An entry asks when its stock is below what it uses in LowStockSeconds, and
/// for what it uses in FullStockSeconds. Both are within the lifetime.
constexpr double LowStockSeconds = 0.25;
constexpr double FullStockSeconds = 0.4;
/// With less use, permits are asked for one by one: those kept in stock would
/// mostly expire.
constexpr double MinFullStock = 2;
/// Asks in advance, asks after a refusal and probes of a silent owner are at
/// least this far apart.
constexpr Milliseconds AskInterval{250};
/// A lost message is noticed long before the waiting requests give up. The next
/// repetition comes after twice this time, as the nodes may only be busy.
constexpr Milliseconds RepeatDelay{65};
/// After an answer with fewer permits than wanted, an entry asks only when
/// requests wait, and for those that come in ScarceStockSeconds: permits that
/// expire in stock would be missing elsewhere.
constexpr Milliseconds ScarceTime{1000};
constexpr double ScarceStockSeconds = 0.1;
/// Asks to an owner that has not answered the last ones are given up sooner;
/// the requests that wait for them are most probably refused.
constexpr Milliseconds ProbeTimeout{150};
/// Parts of an objective: the longest wait for a permit, and the latest return
/// of a refused caller that can still be answered in time.
constexpr int PermitWaitDivisor = 6;
constexpr int InTimeDivisor = 2;
/// The users' objectives are at least this many service times.
constexpr int ServiceTimesPerObjective = 3;
/// Multiples of the golden ratio are spread evenly over a range, however many
/// there are, so callers that were refused together do not return together.
constexpr double SpreadStep = 0.618;
/// A single ask may be lost on the way.
constexpr std::int32_t SilentAfter = 2;
constexpr std::int32_t MaxWanted = 100'000;

double demandAt(const EntryStock &Stock, SteadyTime Now) {
  return Stock.Demand *
         std::exp(-static_cast<double>(elapsed(Stock.DemandAt, Now).count()) /
                  DemandDecayMs);
}

std::int32_t stockAt(const EntryStock &Stock, SteadyTime Now) {
  std::int32_t Sum = 0;
  for (const PermitBatch &Batch : Stock.Batches)
    if (Batch.ExpiresAt > Now)
      Sum += Batch.Permits;
  return Sum;
}

} // namespace

void setLimit(EntryStock &Stock, const organisations::Quota &Limit) {
  if (Limit.PerSecond < Stock.Limit.PerSecond ||
      Limit.Burst < Stock.Limit.Burst) {
    Stock.Batches.clear();
    Stock.Fallback.Credit = std::min(Stock.Fallback.Credit, 1.0);
  }
  Stock.Limit = Limit;
}

void recordDemand(EntryStock &Stock, SteadyTime Now) {
  Stock.Demand = demandAt(Stock, Now) + MillisecondsPerSecond / DemandDecayMs;
  Stock.DemandAt = Now;
}

std::optional<SteadyTime> takePermit(EntryStock &Stock, SteadyTime Now) {
  while (!Stock.Batches.empty() && (Stock.Batches.front().ExpiresAt <= Now ||
                                    Stock.Batches.front().Permits == 0))
    Stock.Batches.pop_front();
  if (Stock.Batches.empty())
    return std::nullopt;
  --Stock.Batches.front().Permits;
  return Stock.Batches.front().ExpiresAt;
}

void returnPermit(EntryStock &Stock, SteadyTime ExpiresAt, SteadyTime Now) {
  if (ExpiresAt <= Now)
    return;
  const auto Place = std::find_if(
      Stock.Batches.begin(), Stock.Batches.end(),
      [&](const PermitBatch &Item) { return Item.ExpiresAt >= ExpiresAt; });
  if (Place != Stock.Batches.end() && Place->ExpiresAt == ExpiresAt)
    ++Place->Permits;
  else
    Stock.Batches.insert(Place, {1, ExpiresAt});
}

std::int32_t permitsToAsk(const EntryStock &Stock, std::int32_t Waiting,
                          SteadyTime Now, std::int32_t Returning) {
  if (Stock.Pending)
    return 0;
  // The owner keeps permits for callers that come back, also when it has none
  // for others.
  if (Now < Stock.NoneUntil)
    return elapsed(Stock.LastAskAt, Now) < MinRetryDelay ? 0 : Returning;
  const bool IsRecent = elapsed(Stock.LastAskAt, Now) < AskInterval;
  if (isOwnerSilent(Stock) && IsRecent)
    return 0;
  const double Demand = demandAt(Stock, Now);
  const bool IsScarce = Now < Stock.ScarceUntil;
  const double Full =
      std::floor(Demand * (IsScarce ? ScarceStockSeconds : FullStockSeconds));
  const std::int32_t Left = stockAt(Stock, Now);
  const bool IsLow = Full >= MinFullStock && Left < Demand * LowStockSeconds;
  if (Waiting == 0 && (!IsLow || IsRecent || IsScarce))
    return 0;
  // Also without stock, some for the requests that will come while the owner is
  // asked.
  const double Advance = std::max(0.0, Full - Left);
  return std::min(MaxWanted,
                  Waiting + static_cast<std::int32_t>(std::min(
                                Advance, static_cast<double>(MaxWanted))));
}

PermitAsk startAsk(EntryStock &Stock, const NodeId &Self, const NodeId &Owner,
                   std::int32_t Wanted, SteadyTime Now,
                   std::int32_t Returning) {
  Stock.LastNumber = Stock.LastNumber.next();
  Stock.LastAskAt = Now;
  Stock.Pending = PendingAsk{{Self, Stock.LastNumber, Wanted, Returning},
                             Owner,
                             Now,
                             after(Now, RepeatDelay)};
  return Stock.Pending->Ask;
}

bool shouldRepeat(EntryStock &Stock, SteadyTime Now) {
  if (!Stock.Pending || Now < Stock.Pending->RepeatAt)
    return false;
  const Milliseconds Waited = elapsed(Stock.Pending->AskedAt, Now);
  Stock.Pending->RepeatAt = after(Now, 2 * Waited);
  return true;
}

bool giveUpAsk(EntryStock &Stock, double Phase, SteadyTime Now) {
  const Milliseconds Longest =
      isOwnerSilent(Stock) ? ProbeTimeout : PermitWaitLimit;
  if (!Stock.Pending || elapsed(Stock.Pending->AskedAt, Now) < Longest)
    return false;
  if (Stock.Unanswered == 0) {
    Stock.UnansweredSince = Stock.Pending->AskedAt;
    Stock.Fallback = {Phase, Now};
  }
  ++Stock.Unanswered;
  Stock.Pending.reset();
  return true;
}

bool applyGrant(EntryStock &Stock, const PermitGrant &Grant,
                const QuotaTimes &Times, SteadyTime Now) {
  if (!Stock.Pending || Stock.Pending->Ask.Number != Grant.Number)
    return false;
  const std::int32_t Wanted = Stock.Pending->Ask.Wanted;
  const SteadyTime Expires = after(Stock.Pending->AskedAt, Times.Lifetime);
  Stock.Pending.reset();
  Stock.UnansweredSince.reset();
  Stock.Unanswered = 0;
  const std::int32_t Permits = std::clamp(Grant.Permits, 0, Wanted);
  if (Permits > 0 && Expires > Now)
    Stock.Batches.push_back({Permits, Expires});
  if (Permits < Wanted)
    Stock.ScarceUntil = after(Now, ScarceTime);
  Stock.Places = std::clamp(Grant.Places, 0, MaxWanted);
  Stock.NextPlaceAt = after(Now, Grant.ReturnDelay);
  Stock.PlaceInterval = Grant.PlaceInterval;
  // A few permits fewer may only be those asked for in advance.
  if (2 * Permits < Wanted)
    Stock.NoneUntil = after(Now, std::max(MinRetryDelay, Grant.RetryDelay));
  return true;
}

bool isOwnerSilent(const EntryStock &Stock) {
  return Stock.Unanswered >= SilentAfter;
}

bool shouldRefuse(const EntryStock &Stock, SteadyTime Now) {
  if (elapsed(Now, Stock.NoneUntil) > MaxHold)
    return true;
  // A request waits for the next ask all the same, or a node with few requests
  // would refuse one more after the owner has returned.
  return isOwnerSilent(Stock) && !Stock.Pending &&
         elapsed(Stock.LastAskAt, Now) < AskInterval;
}

bool isReturning(Milliseconds TimeSinceFirstAttempt) {
  return TimeSinceFirstAttempt >= MinRetryDelay;
}

// A longer wait costs the caller more than a refusal after which it can still
// be answered in time.
Milliseconds longestPermitWait(Milliseconds Objective) {
  return std::min(PermitWaitLimit, Objective / PermitWaitDivisor);
}

// The objectives are at least three times the service time, and the caller
// needs some time to connect again.
Milliseconds latestReturnInTime(Milliseconds Left) {
  return std::max(Milliseconds(0), Left / InTimeDivisor);
}

// One that returns too late to be answered in time would take the permit of a
// new request that can be.
bool returnsInTime(Milliseconds Age, Milliseconds Objective,
                   Milliseconds Left) {
  return isReturning(Age) && Left * ServiceTimesPerObjective >= Objective;
}

Milliseconds takeReturnDelay(EntryStock &Stock, Milliseconds Left,
                             SteadyTime Now,
                             std::optional<Milliseconds> InTime) {
  const Milliseconds Reach = Left / ReturnTimeDivisor;
  const Milliseconds Next =
      std::max(MinRetryDelay, elapsed(Now, Stock.NextPlaceAt));
  if (Stock.Places > 0 && Next <= std::min(Reach, InTime.value_or(Reach))) {
    --Stock.Places;
    Stock.NextPlaceAt = after(Stock.NextPlaceAt, Stock.PlaceInterval);
    return Next;
  }
  if (Now >= Stock.NoneUntil || Stock.NextPlaceAt == SteadyTime())
    return AskInterval;
  // Without a place it may find a permit all the same, but none that serves it
  // in time if it returns later.
  if (InTime && *InTime >= AskInterval) {
    Stock.ReturnSpread = std::fmod(Stock.ReturnSpread + SpreadStep, 1.0);
    const auto Range = static_cast<double>((*InTime - AskInterval).count());
    return AskInterval +
           Milliseconds(static_cast<std::int64_t>(Range * Stock.ReturnSpread));
  }
  // The permits that come in meanwhile are for callers with a place. One that
  // came back all the same would be refused a second time.
  return std::max({AskInterval, Next, Reach + MinRetryDelay});
}

} // namespace lycheethread::quota
