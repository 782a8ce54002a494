#define BOOST_TEST_MODULE DrainPlan
#include "app/internal/DrainPlan.h"

#include <boost/test/unit_test.hpp>

using namespace lycheethread;
using namespace lycheethread::app;

// Guards against a drain whose limit ends it before the port for callers has
// closed, so that their requests are cut.
BOOST_AUTO_TEST_CASE(eachPhaseHasTimeWithinTheLimit) {
  for (const int Seconds : {1, 2, 3, 4, 10, 30, 600, 86'400}) {
    const Milliseconds Timeout(1000LL * Seconds);
    const DrainPlan Plan = planDrain(Timeout);
    BOOST_TEST((Plan.LastHopIdle < Plan.LastHopLimit));
    BOOST_TEST((Plan.LastHopLimit + Plan.ListenIdle < Timeout));
    BOOST_TEST(Plan.LastHopIdle.count() > 0);
    BOOST_TEST(Plan.ListenIdle.count() > 0);
  }
}

// Guards against a port that closes before other nodes know of the drain, where
// the limit leaves time for it.
BOOST_AUTO_TEST_CASE(usualLimitsLeaveTheUsualTimes) {
  const DrainPlan Plan = planDrain(Milliseconds(600'000));
  BOOST_TEST(Plan.LastHopIdle.count() == 3000);
  BOOST_TEST(Plan.ListenIdle.count() == 1000);
  BOOST_TEST(Plan.LastHopLimit.count() == 590'000);
}
