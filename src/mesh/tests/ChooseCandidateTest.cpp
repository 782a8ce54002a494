#include "mesh/Mesh.h"

#include <boost/test/unit_test.hpp>

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

} // namespace

BOOST_AUTO_TEST_SUITE(Placement)

BOOST_AUTO_TEST_CASE(nothingWithoutCandidates) {
  BOOST_TEST(chosen({}, Small) == "");
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
