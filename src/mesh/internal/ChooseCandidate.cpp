#include "mesh/Mesh.h"

#include <algorithm>

namespace lycheethread::mesh {

namespace {

/// Round trips by distance. The settings of an instance give none; the users
/// state one way 0.1 ms within a zone, about 1 ms between zones and 30 ms
/// between regions.
constexpr double RoundTripMs[] = {0, 0.5, 2, 62};
/// Parts of the objective that a caller may lose before a request leaves its
/// zone or region: in all, for the heads and the answer, and for each KiB of
/// the body. Both links are billed by volume, the users' region link at four
/// times the price, and a caller loses nothing by an answer that comes later
/// within its objective.
constexpr double LinkBaseParts[] = {0, 0, 0.12, 0.5};
constexpr double LinkPartsPerKiB[] = {0, 0, 0.008, 0.032};
/// An upstream runs slower the fuller it is; part of the service time added
/// at full use.
constexpr double CrowdingFactor = 0.5;
/// Above this use an upstream may be full by the time the request arrives; at
/// full use the risk counts as one service time.
constexpr double RiskyUse = 0.8;
/// Added where the last hop is expected to refuse: it is asked only when there
/// is no other.
constexpr double RefusalMs = 3000;
/// A failed request costs the caller about this many service times.
constexpr double FailureCost = 6;
/// Spread between equal candidates, so that nodes with the same view do not
/// all choose the same upstream.
constexpr double JitterPart = 0.15;
constexpr double BytesPerKiB = 1024;
/// Part of the requests that go to any upstream of the own zone with a free
/// slot. Without them an upstream that was slow once, or is new, is never tried
/// while the others have room.
constexpr double TrialShare = 0.03;
constexpr double MaxTrialFailureRate = 0.2;
/// Longer bodies wait for their turn on the link of the upstream's instance.
constexpr std::int64_t LongBodyBytes = 32 * 1024;

} // namespace

Milliseconds expectedWait(std::int32_t Held, std::int32_t Capacity,
                          Milliseconds ServiceTime) {
  const std::int32_t Ahead = Held - Capacity + 1;
  if (Ahead <= 0 || Capacity <= 0)
    return Milliseconds(0);
  return Milliseconds(ServiceTime.count() * Ahead / Capacity);
}

namespace {

bool isFitForTrial(const Candidate &Item) {
  return Item.Distance <= Proximity::OwnZone && Item.Held < Item.Capacity &&
         Item.FailureRate < MaxTrialFailureRate;
}

/// Any fit candidate, in a small share of the calls.
std::optional<std::size_t> chooseTrial(const std::vector<Candidate> &Candidates,
                                       std::mt19937_64 &Random) {
  if (std::uniform_real_distribution<double>(0, 1)(Random) >= TrialShare)
    return std::nullopt;
  std::optional<std::size_t> Chosen;
  std::uint64_t Fit = 0;
  for (std::size_t At = 0; At < Candidates.size(); ++At)
    if (isFitForTrial(Candidates[At]) && Random() % ++Fit == 0)
      Chosen = At;
  return Chosen;
}

} // namespace

std::optional<Placed> place(const std::vector<Candidate> &Candidates,
                            const PlacementRequest &Request,
                            std::mt19937_64 &Random) {
  if (Request.MayExplore)
    if (const auto Trial = chooseTrial(Candidates, Random))
      return Placed{*Trial, Milliseconds(0)};
  std::optional<Placed> Best;
  double BestCost = 0;
  const auto Objective = static_cast<double>(Request.Objective.count());
  std::uniform_real_distribution<double> Jitter(0, JitterPart);
  for (std::size_t At = 0; At < Candidates.size(); ++At) {
    const Candidate &Item = Candidates[At];
    const auto Distance = static_cast<std::size_t>(Item.Distance);
    const auto Service = static_cast<double>(
        std::max(Item.ServiceTime, Milliseconds(1)).count());
    const double Use = std::min(1.0, static_cast<double>(Item.Held) /
                                         std::max(1, Item.Capacity));
    const Milliseconds Wait =
        expectedWait(Item.Held, Item.Capacity, Item.ServiceTime);
    const double Expected =
        RoundTripMs[Distance] + Service + static_cast<double>(Wait.count());
    const double BodyWait = Request.BodyBytes > LongBodyBytes
                                ? static_cast<double>(Item.BodyWait.count())
                                : 0;
    const double Cost =
        Expected + BodyWait +
        Objective * (LinkBaseParts[Distance] +
                     LinkPartsPerKiB[Distance] *
                         static_cast<double>(Request.BodyBytes) / BytesPerKiB) +
        Service *
            (CrowdingFactor * Use * Use + FailureCost * Item.FailureRate +
             std::max(0.0, Use - RiskyUse) / (1 - RiskyUse) + Jitter(Random)) +
        (Wait > Request.LongestWait ? RefusalMs : 0);
    if (Best && Cost >= BestCost)
      continue;
    BestCost = Cost;
    Best = Placed{At, Wait};
  }
  return Best;
}

} // namespace lycheethread::mesh
