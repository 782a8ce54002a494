#include "sidecar/internal/EventLog.h"

#include <boost/test/unit_test.hpp>

using namespace lycheethread;
using namespace lycheethread::sidecar;

BOOST_AUTO_TEST_SUITE(Events)

// Load pattern: 1,000 refusals per second for 10 s. Guards against logging that
// takes up the processor time of a node, and against lines that are dropped
// without a report.
BOOST_AUTO_TEST_CASE(refusalStormIsBounded) {
  EventLog Log;
  int Written = 0;
  for (std::int64_t Now = 1; Now <= 10'000; ++Now)
    if (Log.accepts(LogClass::Failure, SteadyTime(Now))) {
      ++Written;
      Log.write(LogClass::Failure, SteadyTime(Now), "test", {});
    }
  BOOST_TEST(Written <= 260);
  BOOST_TEST(Written >= 200);
}

BOOST_AUTO_TEST_CASE(stateLinesHaveTheirOwnLimit) {
  EventLog Log;
  for (int Count = 0; Count < 1000; ++Count)
    Log.write(LogClass::Failure, SteadyTime(1), "test", {});
  BOOST_TEST(Log.accepts(LogClass::State, SteadyTime(1)));
}

BOOST_AUTO_TEST_SUITE_END()
