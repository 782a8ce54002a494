#include "mesh/Mesh.h"

#include <algorithm>

namespace lycheethread::mesh {

namespace {

/// Round trip time by distance. The settings of an instance contain none; the
/// users state one-way times of 0.1 ms within a zone, about 1 ms between zones
/// and 30 ms between regions.
constexpr double RoundTripMs[] = {0, 0.5, 2, 62};
/// Share of the objective that a caller may lose before a request leaves its
/// zone or region: a fixed part for the headers and the answer, and a part for
/// each KiB of the body. Both links are billed by volume, the users' region
/// link at four times the price, and an answer that comes later but within its
/// objective costs the caller nothing.
constexpr double LinkBaseShare[] = {0, 0, 0.12, 0.5};
constexpr double LinkSharePerKiB[] = {0, 0, 0.008, 0.032};
/// An upstream slows down as it fills up: share of the service time that is
/// added at full utilisation.
constexpr double CrowdingFactor = 0.5;
/// Above this utilisation an upstream may be full when the request arrives; at
/// full utilisation the risk counts as one service time.
constexpr double RiskyUtilisation = 0.8;
/// Penalty where the last hop is expected to refuse, so that such a candidate
/// is chosen only if there is no other.
constexpr double RefusalPenaltyMs = 3000;
/// A failed request costs the caller about this many service times.
constexpr double FailureCost = 6;
/// Random spread between equal candidates, so that nodes with the same view do
/// not all choose the same upstream.
constexpr double JitterShare = 0.15;
constexpr double BytesPerKiB = 1024;
/// Share of the requests that explore any upstream of the local zone with a
/// free slot. Otherwise an upstream that is new or was slow once would get no
/// request while the others have free slots.
constexpr double ExplorationShare = 0.03;
constexpr double MaxExplorationFailureRate = 0.2;
/// No request waits longer for a permit.
constexpr Milliseconds MaxPermitWait{60000};
/// Longer bodies queue for the link of the upstream's instance.
constexpr std::int64_t LongBodyBytes = 32 * 1024;
/// A request that is served last crosses to another region if the wait there is
/// at most this part of the wait in its own region.
constexpr int MaxWaitBeyondLinkPercent = 50;

} // namespace

Milliseconds expectedWait(std::int32_t Outstanding, std::int32_t Capacity,
                          Milliseconds ServiceTime) {
  const std::int32_t Ahead = Outstanding - Capacity + 1;
  if (Ahead <= 0 || Capacity <= 0)
    return Milliseconds(0);
  return Milliseconds(ServiceTime.count() * Ahead / Capacity);
}

Milliseconds permitWaitSince(const LoadReport &Load, std::int32_t Sent,
                             Milliseconds Since) {
  if (!Load.LimitPerSecond)
    return Milliseconds(0);
  constexpr double MillisecondsPerSecond = 1000;
  const double Most = static_cast<double>(MaxPermitWait.count());
  const double Added = *Load.LimitPerSecond > 0
                           ? Sent * MillisecondsPerSecond / *Load.LimitPerSecond
                           : (Sent > 0 ? Most : 0);
  const Milliseconds Wait =
      Load.PermitWait - Since +
      Milliseconds(static_cast<std::int64_t>(std::min(Added, Most)));
  return std::max(Milliseconds(0), Wait);
}

namespace {

bool isSuitableForExploration(const Candidate &Item) {
  return Item.Distance <= Proximity::SameZone &&
         Item.Outstanding < Item.Capacity && !Item.IsBeyondShare &&
         Item.PermitWait == Milliseconds(0) &&
         Item.FailureRate < MaxExplorationFailureRate;
}

/// Returns any suitable candidate, in a small share of the calls.
std::optional<std::size_t>
chooseExploration(const std::vector<Candidate> &Candidates,
                  std::mt19937_64 &Random) {
  if (std::uniform_real_distribution<double>(0, 1)(Random) >= ExplorationShare)
    return std::nullopt;
  std::optional<std::size_t> Chosen;
  std::uint64_t Suitable = 0;
  for (std::size_t At = 0; At < Candidates.size(); ++At)
    if (isSuitableForExploration(Candidates[At]) && Random() % ++Suitable == 0)
      Chosen = At;
  return Chosen;
}

bool isOwnRegion(const Candidate &Item) {
  return Item.Distance < Proximity::OtherRegion;
}

Milliseconds waitAt(const Candidate &Item) {
  return std::max(Item.PermitWait, expectedWait(Item.Outstanding, Item.Capacity,
                                                Item.ServiceTime));
}

/// Returns the longest wait at an upstream of another region for which
/// \p Request crosses the link. Where the other region is about as full as the
/// own one, a request that is served there displaces one of that region, and
/// each refusal has crossed the link for nothing.
Milliseconds longestWaitBeyondLink(const std::vector<Candidate> &Candidates,
                                   const PlacementRequest &Request) {
  std::optional<Milliseconds> OwnWait;
  if (Request.OwnRegionIsFull)
    OwnWait = Request.LongestWait;
  for (const Candidate &Item : Candidates)
    if (isOwnRegion(Item))
      OwnWait = std::min(waitAt(Item), OwnWait.value_or(Milliseconds::max()));
  if (!Request.IsServedLast || !OwnWait)
    return Milliseconds::max();
  // A longer wait is refused.
  return std::min(*OwnWait, Request.LongestWait) * MaxWaitBeyondLinkPercent /
         100;
}

} // namespace

std::optional<ChosenCandidate>
chooseCandidate(const std::vector<Candidate> &Candidates,
                const PlacementRequest &Request, std::mt19937_64 &Random) {
  if (Request.MayExplore)
    if (const auto Explored = chooseExploration(Candidates, Random))
      return ChosenCandidate{*Explored, Milliseconds(0)};
  std::optional<ChosenCandidate> Best;
  double BestCost = 0;
  const auto Objective = static_cast<double>(Request.Objective.count());
  std::uniform_real_distribution<double> Jitter(0, JitterShare);
  const Milliseconds LongestBeyondLink =
      longestWaitBeyondLink(Candidates, Request);
  // A request that crosses the link to be refused there is told so late.
  const bool HasOwnRegion =
      Request.OwnRegionIsFull ||
      std::any_of(Candidates.begin(), Candidates.end(), isOwnRegion);
  for (std::size_t At = 0; At < Candidates.size(); ++At) {
    const Candidate &Item = Candidates[At];
    const Milliseconds Wait = waitAt(Item);
    if (!isOwnRegion(Item) &&
        (Wait > LongestBeyondLink || (Item.IsBeyondShare && HasOwnRegion)))
      continue;
    const auto Distance = static_cast<std::size_t>(Item.Distance);
    const auto Service = static_cast<double>(
        std::max(Item.ServiceTime, Milliseconds(1)).count());
    const double Utilisation =
        std::min(1.0, static_cast<double>(Item.Outstanding) /
                          std::max(1, Item.Capacity));
    const double Expected =
        RoundTripMs[Distance] + Service + static_cast<double>(Wait.count());
    const double BodyWait = Request.BodyBytes > LongBodyBytes
                                ? static_cast<double>(Item.BodyWait.count())
                                : 0;
    const double Cost =
        Expected + BodyWait +
        Objective * (LinkBaseShare[Distance] +
                     LinkSharePerKiB[Distance] *
                         static_cast<double>(Request.BodyBytes) / BytesPerKiB) +
        Service * (CrowdingFactor * Utilisation * Utilisation +
                   FailureCost * Item.FailureRate +
                   std::max(0.0, Utilisation - RiskyUtilisation) /
                       (1 - RiskyUtilisation) +
                   Jitter(Random)) +
        (Wait > Request.LongestWait || Item.IsBeyondShare ? RefusalPenaltyMs
                                                          : 0);
    if (Best && Cost >= BestCost)
      continue;
    BestCost = Cost;
    Best = ChosenCandidate{At, Wait};
  }
  return Best;
}

} // namespace lycheethread::mesh
