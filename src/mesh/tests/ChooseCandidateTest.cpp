#include "mesh/Mesh.h"

#include <boost/test/unit_test.hpp>

#include <array>
#include <deque>
#include <set>

using namespace lycheethread;
using namespace lycheethread::mesh;

namespace {

Candidate candidate(const std::string &Node, Proximity Distance,
                    std::int32_t Outstanding = 0) {
  Candidate Result;
  Result.Node = NodeId(Node);
  Result.Distance = Distance;
  Result.Capacity = 10;
  Result.Outstanding = Outstanding;
  Result.ServiceTime = Milliseconds(80);
  return Result;
}

std::string chosen(const std::vector<Candidate> &From,
                   const PlacementRequest &Request) {
  std::mt19937_64 Random(1);
  const auto Chosen = chooseCandidate(From, Request, Random);
  return Chosen ? From[Chosen->Index].Node.str() : "";
}

const PlacementRequest Small{0, Milliseconds(400), Milliseconds(400)};
const PlacementRequest Upload{280'000, Milliseconds(500), Milliseconds(500)};

/// Outcomes of the requests of two regions.
struct RegionResult {
  int Offered = 0;
  int Served = 0;
  /// Requests that have crossed the link between the regions.
  int Crossed = 0;
};

/// An upstream of the simulation: the ends of the running requests, and the
/// number of those that wait.
struct SimulatedUpstream {
  std::multiset<std::int64_t> Ends;
  std::int32_t Waiting = 0;

  std::int32_t held() const {
    return static_cast<std::int32_t>(Ends.size()) + Waiting;
  }
};

/// Simulates two regions with an upstream of 30 slots each, in steps of 1 ms,
/// at \p Load times their capacity. The entries learn the load of the other
/// region with a delay; an upstream refuses what finds its queue full.
RegionResult simulateRegions(const std::array<double, 2> &Load,
                             bool IsServedLast, unsigned Seed) {
  constexpr std::int32_t Slots = 30;
  constexpr std::int32_t MaxWaiting = 20;
  constexpr std::int64_t LengthMs = 20'000;
  constexpr std::int64_t ReportAgeMs = 400;
  constexpr double WorkMs = 100;
  std::mt19937_64 Random(Seed);
  std::exponential_distribution<double> Work(1 / WorkMs);
  std::array<SimulatedUpstream, 2> Upstreams;
  std::deque<std::array<std::int32_t, 2>> Reports;
  RegionResult Result;
  const auto Place = [&](std::size_t Own) {
    PlacementRequest Request = Small;
    Request.IsServedLast = IsServedLast;
    Request.LongestWait = longestWait(Request.Objective);
    std::vector<Candidate> Candidates;
    for (const std::size_t Region : {Own, 1 - Own}) {
      const bool IsOwn = Region == Own;
      Candidates.push_back(candidate(
          std::to_string(Region),
          IsOwn ? Proximity::SameZone : Proximity::OtherRegion,
          IsOwn ? Upstreams.at(Region).held() : Reports.front().at(Region)));
      Candidates.back().Capacity = Slots;
    }
    while (const auto Chosen = chooseCandidate(Candidates, Request, Random)) {
      const Candidate To = Candidates[Chosen->Index];
      const bool IsOwn = To.Distance == Proximity::SameZone;
      Result.Crossed += IsOwn ? 0 : 1;
      SimulatedUpstream &There = Upstreams.at(IsOwn ? Own : 1 - Own);
      if (There.Waiting < MaxWaiting) {
        ++There.Waiting;
        ++Result.Served;
        return;
      }
      Request.OwnRegionIsFull = Request.OwnRegionIsFull || IsOwn;
      Candidates.erase(Candidates.begin() +
                       static_cast<std::ptrdiff_t>(Chosen->Index));
    }
  };
  for (std::int64_t Now = 0; Now < LengthMs; ++Now) {
    for (SimulatedUpstream &There : Upstreams) {
      There.Ends.erase(There.Ends.begin(), There.Ends.upper_bound(Now));
      for (; There.Waiting > 0 && There.Ends.size() < Slots; --There.Waiting)
        There.Ends.insert(Now + 1 + static_cast<std::int64_t>(Work(Random)));
    }
    Reports.push_back({Upstreams[0].held(), Upstreams[1].held()});
    if (Reports.size() > ReportAgeMs)
      Reports.pop_front();
    for (const std::size_t Region : {0U, 1U}) {
      const double PerMs = Load.at(Region) * Slots / WorkMs;
      if (!std::bernoulli_distribution(PerMs)(Random))
        continue;
      ++Result.Offered;
      Place(Region);
    }
  }
  return Result;
}

} // namespace

BOOST_AUTO_TEST_SUITE(Placement)

BOOST_AUTO_TEST_CASE(nothingWithoutCandidates) {
  BOOST_TEST(chosen({}, Small) == "");
}

// Guards against requests that cross a link only to be refused for the limit of
// an upstream there, of which this node has used its part.
BOOST_AUTO_TEST_CASE(requestsDoNotCrossALinkBeyondTheirShare) {
  Candidate Own = candidate("own", Proximity::SameZone, 12);
  Own.IsBeyondShare = true;
  Candidate Far = candidate("far", Proximity::OtherRegion);
  Far.IsBeyondShare = true;
  BOOST_TEST(chosen({Own, Far}, Small) == "own");
  PlacementRequest Refused = Small;
  Refused.OwnRegionIsFull = true;
  BOOST_TEST(chosen({Far}, Refused) == "");
  // Without an upstream in its own region, a request has to cross.
  BOOST_TEST(chosen({Far}, Small) == "far");
  Far.IsBeyondShare = false;
  BOOST_TEST(chosen({Own, Far}, Small) == "far");
}

// Guards against a limited upstream that looks idle and gets all requests.
BOOST_AUTO_TEST_CASE(limitedUpstreamIsUsedWithinItsShare) {
  Candidate Limited = candidate("limited", Proximity::SameZone);
  Limited.IsBeyondShare = true;
  BOOST_TEST(chosen({Limited, candidate("busy", Proximity::SameZone, 8)},
                    Small) == "busy");
  Limited.IsBeyondShare = false;
  Limited.PermitWait = Milliseconds(150);
  BOOST_TEST(chosen({Limited, candidate("busy", Proximity::SameZone, 8)},
                    Small) == "busy");
}

BOOST_AUTO_TEST_CASE(nearUpstreamIsPreferred) {
  BOOST_TEST(chosen({candidate("far", Proximity::OtherRegion),
                     candidate("zone", Proximity::SameZone),
                     candidate("region", Proximity::SameRegion)},
                    Small) == "zone");
}

// Guards against a queue in one zone while the other region has free slots.
BOOST_AUTO_TEST_CASE(fullUpstreamsGiveWayToTheOtherRegion) {
  BOOST_TEST(chosen({candidate("zone", Proximity::SameZone, 40),
                     candidate("far", Proximity::OtherRegion)},
                    Small) == "far");
}

// Guards against a request that crosses to a full upstream although its own
// region has upstreams for it, and against one that stays where there are none.
BOOST_AUTO_TEST_CASE(fullUpstreamOfTheOtherRegionIsTheLastResort) {
  PlacementRequest Request = Small;
  Request.LongestWait = longestWait(Small.Objective);
  PlacementRequest Last = Request;
  Last.IsServedLast = true;
  const std::vector<Candidate> Far = {
      candidate("far", Proximity::OtherRegion, 25)};
  const std::vector<Candidate> Both = {
      candidate("zone", Proximity::SameZone, 60),
      candidate("far", Proximity::OtherRegion, 25)};
  BOOST_TEST(chosen(Both, Last) == "zone");
  BOOST_TEST(chosen(Both, Request) == "far");
  BOOST_TEST(chosen(Far, Last) == "far");
  Last.OwnRegionIsFull = true;
  BOOST_TEST(chosen(Far, Last) == "");
}

// Load pattern: both regions at 1.5 times their capacity, then only one of
// them. Guards against refusals that cross the link between regions for
// nothing, and against a region that is left alone while the other one has free
// slots.
BOOST_AUTO_TEST_CASE(saturatedRegionsDoNotExchangeRequests) {
  /// The arrivals of two runs differ by about this much.
  constexpr double MinServed = 0.97;
  for (unsigned Seed = 1; Seed <= 5; ++Seed) {
    const RegionResult Before = simulateRegions({1.5, 1.5}, false, Seed);
    const RegionResult Both = simulateRegions({1.5, 1.5}, true, Seed);
    BOOST_TEST_MESSAGE("crossed " << Before.Crossed << " and " << Both.Crossed
                                  << ", served " << Before.Served << " and "
                                  << Both.Served << " of " << Both.Offered);
    BOOST_TEST(Both.Crossed < Before.Crossed / 5, "seed " << Seed);
    BOOST_TEST(Both.Served >= Before.Served * MinServed, "seed " << Seed);
    const RegionResult OneBefore = simulateRegions({1.5, 0.3}, false, Seed);
    const RegionResult One = simulateRegions({1.5, 0.3}, true, Seed);
    BOOST_TEST_MESSAGE("one region: served " << OneBefore.Served << " and "
                                             << One.Served << " of "
                                             << One.Offered);
    BOOST_TEST(One.Served >= OneBefore.Served * MinServed, "seed " << Seed);
  }
}

// Guards against uploads that fill the shared link between regions.
BOOST_AUTO_TEST_CASE(uploadWaitsForItsZoneRatherThanCrossTheLink) {
  const std::vector<Candidate> Both = {
      candidate("zone", Proximity::SameZone, 30),
      candidate("far", Proximity::OtherRegion)};
  BOOST_TEST(chosen(Both, Small) == "far");
  BOOST_TEST(chosen(Both, Upload) == "zone");
}

// Guards against sending requests to an upstream that fails while its health
// checks pass.
BOOST_AUTO_TEST_CASE(failingUpstreamIsAvoided) {
  Candidate Grey = candidate("grey", Proximity::SameZone);
  Grey.FailureRate = 0.4;
  BOOST_TEST(chosen({Grey, candidate("sound", Proximity::SameRegion)}, Small) ==
             "sound");
}

// Guards against uploads that all wait for the same narrow link.
BOOST_AUTO_TEST_CASE(uploadAvoidsABusyLink) {
  Candidate Busy = candidate("busy", Proximity::SameZone);
  Busy.BodyWait = Milliseconds(900);
  const std::vector<Candidate> Both = {
      Busy, candidate("idle", Proximity::SameZone, 2)};
  BOOST_TEST(chosen(Both, Upload) == "idle");
  BOOST_TEST(chosen(Both, Small) == "busy");
}

// Load pattern: upstreams of different speed at three quarters of their slots.
// Guards against fast upstreams that refuse while slower ones are idle.
BOOST_AUTO_TEST_CASE(fullFastUpstreamGivesWayToAnIdleSlowOne) {
  Candidate Slow = candidate("slow", Proximity::SameZone);
  Slow.ServiceTime = Milliseconds(400);
  PlacementRequest Request{0, Milliseconds(800), Milliseconds(800)};
  Request.LongestWait = Milliseconds(160);
  BOOST_TEST(chosen({candidate("fast", Proximity::SameZone, 5), Slow},
                    Request) == "fast");
  BOOST_TEST(chosen({candidate("fast", Proximity::SameZone, 32), Slow},
                    Request) == "slow");
}

// Guards against an upstream that is new, or was slow once, and never gets a
// request again.
BOOST_AUTO_TEST_CASE(slowUpstreamIsTriedNowAndThen) {
  Candidate Slow = candidate("slow", Proximity::SameZone);
  Slow.ServiceTime = Milliseconds(400);
  const std::vector<Candidate> Both = {candidate("fast", Proximity::SameZone),
                                       Slow};
  std::mt19937_64 Random(1);
  PlacementRequest Request = Small;
  Request.MayExplore = true;
  int Tried = 0;
  for (int Count = 0; Count < 1000; ++Count)
    Tried += chooseCandidate(Both, Request, Random)->Index == 1 ? 1 : 0;
  BOOST_TEST(Tried > 2);
  BOOST_TEST(Tried < 40);
}

// Load pattern: zones with free slots and upstreams of different speed. Guards
// against traffic on links billed by volume when every answer is in time
// anyway.
BOOST_AUTO_TEST_CASE(requestsStayInTheirZoneWhileAnswersAreInTime) {
  Candidate Slow = candidate("slow", Proximity::SameZone);
  Slow.ServiceTime = Milliseconds(320);
  Candidate Fast = candidate("fast", Proximity::SameRegion);
  Fast.ServiceTime = Milliseconds(210);
  const PlacementRequest Long{60'000, Milliseconds(1200), Milliseconds(1200)};
  BOOST_TEST(chosen({Slow, Fast}, Long) == "slow");
  const PlacementRequest Read{0, Milliseconds(1200), Milliseconds(1200)};
  BOOST_TEST(chosen({Slow, Fast}, Read) == "slow");
}

// Guards against requests that stay in a zone where the answers would be late.
BOOST_AUTO_TEST_CASE(requestsLeaveAZoneThatIsTooSlow) {
  Candidate Slow = candidate("slow", Proximity::SameZone);
  Slow.ServiceTime = Milliseconds(700);
  Candidate Near = candidate("near", Proximity::SameRegion);
  Near.ServiceTime = Milliseconds(270);
  Candidate Far = candidate("far", Proximity::OtherRegion);
  Far.ServiceTime = Milliseconds(200);
  const PlacementRequest Read{0, Milliseconds(800), Milliseconds(800)};
  BOOST_TEST(chosen({Slow, Near, Far}, Read) == "near");
  Slow.ServiceTime = Near.ServiceTime = Milliseconds(900);
  BOOST_TEST(chosen({Slow, Near, Far}, Read) == "far");
}

BOOST_AUTO_TEST_CASE(slowUpstreamIsAvoided) {
  Candidate Slow = candidate("slow", Proximity::SameZone);
  Slow.ServiceTime = Milliseconds(400);
  BOOST_TEST(chosen({Slow, candidate("sound", Proximity::SameRegion)}, Small) ==
             "sound");
}

BOOST_AUTO_TEST_CASE(waitCountsRequestsBeyondTheSlots) {
  BOOST_TEST(expectedWait(9, 10, Milliseconds(80)).count() == 0);
  BOOST_TEST(expectedWait(10, 10, Milliseconds(80)).count() == 8);
  BOOST_TEST(expectedWait(29, 10, Milliseconds(80)).count() == 160);
}

BOOST_AUTO_TEST_SUITE_END()
