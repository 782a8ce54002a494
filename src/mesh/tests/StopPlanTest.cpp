#include "mesh/Mesh.h"

#include <boost/test/unit_test.hpp>

using namespace lycheethread;
using namespace lycheethread::mesh;

namespace {

StopPlan planFor(Milliseconds Grace) {
  MeshBounds Bounds;
  Bounds.GraceTime = Grace;
  return planStop(Bounds);
}

} // namespace

BOOST_AUTO_TEST_SUITE(Stops)

// Guards against a stop whose times are constants: with a short grace time the
// node took requests until it ended, and ended while upstreams were at work.
BOOST_AUTO_TEST_CASE(phasesFollowTheGraceTime) {
  for (const int Grace : {1000, 2000, 3000, 4000, 6000, 10'000, 60'000}) {
    const StopPlan Plan = planFor(Milliseconds(Grace));
    // An upstream may be at work until the last sixth begins.
    BOOST_TEST(Plan.SendUntil.count() > Grace * 5 / 6);
    BOOST_TEST((Plan.EndAt > Plan.SendUntil));
    BOOST_TEST(Plan.EndAt.count() < Grace);
    // What is accepted last has time to finish.
    BOOST_TEST(Plan.AcceptUntil.count() > 0);
    BOOST_TEST((Plan.SendUntil - Plan.AcceptUntil >= Plan.SendUntil / 2));
  }
}

// Guards against callers that are refused although they cannot know yet that
// the node stops, where the grace time allows to serve them.
BOOST_AUTO_TEST_CASE(callersAreServedUntilTheyHaveNoticed) {
  for (const int Grace : {6000, 10'000, 60'000})
    BOOST_TEST(planFor(Milliseconds(Grace)).AcceptUntil.count() >= 2500);
}

// Guards against a request that is accepted although the node ends before it
// can be answered.
BOOST_AUTO_TEST_CASE(longRequestsAreNotStartedBeforeTheEnd) {
  const StopPlan Plan = planFor(Milliseconds(3000));
  BOOST_TEST(
      canFinish(Plan, Milliseconds(1000), Milliseconds(0), Milliseconds(100)));
  BOOST_TEST(!canFinish(Plan, Milliseconds(1000), Milliseconds(0),
                        Milliseconds(2000)));
  BOOST_TEST(!canFinish(Plan, Milliseconds(1000), Milliseconds(1600),
                        Milliseconds(100)));
}

BOOST_AUTO_TEST_SUITE_END()
