#include "mesh/Mesh.h"

#include <algorithm>

namespace lycheethread::mesh {

namespace {

/// The first attempt and one hedged request.
constexpr std::int32_t MaxSent = 2;
/// Hedged requests beyond the share in any window. More would let a node send
/// many at once when all upstreams become slow.
constexpr double MaxHedgeTokens = 3;
/// After a refusal an upstream is taken to be full for this time.
constexpr Milliseconds RefusalMemory{1000};
constexpr double MaxUtilisation = 0.8;
constexpr double MaxHedgeFailureRate = 0.2;
/// Costs in service times: of a full upstream, of the zone of the first
/// upstream, which may be slow for the same reason, and a random spread.
constexpr double CrowdingCost = 0.5;
constexpr double SameZoneCost = 0.25;
constexpr double JitterCost = 0.15;

bool isReachable(const Candidate &Item) {
  return Item.Distance < Proximity::OtherRegion;
}

bool isSuitable(const Candidate &Item, const HedgeMoment &Moment) {
  return isReachable(Item) && Item.Node != Moment.First &&
         Moment.Excluded.count(Item.Node) == 0 && !Item.IsCold &&
         Item.Outstanding < Item.Capacity && !Item.IsBeyondShare &&
         Item.PermitWait == Milliseconds(0) &&
         Item.FailureRate < MaxHedgeFailureRate;
}

bool isOnceOrUnknown(const HedgeRequest &Request) {
  return Request.Class != RequestClass::Repeatable || !Request.HasWholeBody;
}

} // namespace

std::optional<Milliseconds>
hedgeDelay(const HedgeRequest &Request,
           const std::optional<UsualLatency> &Usual) {
  if (!Usual || isOnceOrUnknown(Request) ||
      Request.Sent >= std::min(MaxSent, Request.MaxAttempts))
    return std::nullopt;
  const Milliseconds Delay = std::max(Usual->Slow, Milliseconds(1));
  const Milliseconds Needed = std::max(Usual->Mean, Milliseconds(1));
  if (Delay >= Request.ObjectiveLeft || Request.DeadlineLeft - Delay < Needed)
    return std::nullopt;
  return Delay;
}

void addHedgeTokens(HedgeShare &Share, double MaxShare) {
  Share.Tokens =
      MaxShare > 0 ? std::min(MaxHedgeTokens, Share.Tokens + MaxShare) : 0;
}

bool isShortOfCapacity(const std::vector<Candidate> &Candidates,
                       std::optional<Milliseconds> SinceRefusal) {
  if (SinceRefusal && *SinceRefusal < RefusalMemory)
    return true;
  double Outstanding = 0;
  double Capacity = 0;
  for (const Candidate &Item : Candidates) {
    if (!isReachable(Item))
      continue;
    Outstanding += Item.Outstanding;
    Capacity += Item.Capacity;
  }
  return Outstanding > MaxUtilisation * Capacity;
}

std::optional<std::size_t> mayHedge(const std::vector<Candidate> &Candidates,
                                    const HedgeMoment &Moment,
                                    HedgeShare &Share, MeshRetryBudget &Budget,
                                    std::mt19937_64 &Random) {
  if (Share.Tokens < 1 || isShortOfCapacity(Candidates, Moment.SinceRefusal))
    return std::nullopt;
  std::uniform_real_distribution<double> Jitter(0, JitterCost);
  std::optional<std::size_t> Best;
  double BestCost = 0;
  for (std::size_t At = 0; At < Candidates.size(); ++At) {
    const Candidate &Item = Candidates[At];
    if (!isSuitable(Item, Moment))
      continue;
    const double Utilisation = static_cast<double>(Item.Outstanding) /
                               static_cast<double>(Item.Capacity);
    const bool IsSameZone = Item.At.Zone == Moment.FirstZone;
    const double Cost = static_cast<double>(Item.ServiceTime.count()) *
                        (1 + CrowdingCost * Utilisation +
                         (IsSameZone ? SameZoneCost : 0) + Jitter(Random));
    if (Best && Cost >= BestCost)
      continue;
    BestCost = Cost;
    Best = At;
  }
  if (!Best || !takeRetryToken(Budget, RetryKind::Hedge))
    return std::nullopt;
  Share.Tokens -= 1;
  return Best;
}

} // namespace lycheethread::mesh
