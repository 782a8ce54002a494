#include "TrafficGenerator.h"

#include <boost/test/unit_test.hpp>

#include <sstream>

using namespace lycheethread::failures;

namespace {

constexpr int MoveSeconds = 31;
constexpr std::chrono::seconds EndLimit{20};
/// A node checks the deadline twice a second, and a call may be in progress at
/// that time.
constexpr std::chrono::seconds StopMargin{1};

} // namespace

// Guards against nodes that still use the new version after the deadline
// because no node can write the end of the move to the log, and against nodes
// that disagree about the end when the log is available again.
BOOST_AUTO_TEST_CASE(WithoutTheLogTheDeadlineStopsTheNewVersion) {
  Fleet TestFleet("log-down");
  TrafficGenerator Traffic(TestFleet);
  const std::string Id = TestFleet.startMove(MoveSeconds);
  const auto Deadline = TestFleet.deadline(Id);
  BOOST_TEST(TestFleet.waitSteps(Id, 1, EndLimit));
  std::this_thread::sleep_for(
      std::chrono::milliseconds(TestFleet.randomUpTo(1000)));
  const auto OutageStart = Clock::now();
  TestFleet.LogFault->rule(R"("mode":"reset")");
  std::this_thread::sleep_until(Deadline + StopMargin);
  BOOST_TEST(Traffic.callsToNewVersion(OutageStart) > 0);
  BOOST_TEST(TestFleet.allStopped(Id));
  std::this_thread::sleep_for(std::chrono::seconds(3));
  const std::int64_t LateCalls =
      Traffic.callsToNewVersion(Deadline + StopMargin);
  BOOST_TEST(LateCalls == 0);
  BOOST_TEST(TestFleet.moveInLog(Id).Status == "running");
  TestFleet.LogFault->rule("");
  const auto OutageEnd = Clock::now();
  BOOST_TEST(TestFleet.waitEnded(Id, EndLimit));
  BOOST_TEST(TestFleet.moveInLog(Id).Status == "undone");
  BOOST_TEST(TestFleet.waitAllAgree(Id));
  std::ostringstream Summary;
  Summary << LateCalls << " calls to v2 after the deadline, "
          << describe(TestFleet.moveInLog(Id)) << " at all nodes "
          << std::chrono::duration<double>(Clock::now() - OutageEnd).count()
          << " s after the log came back; calls since the outage began: "
          << describe(Traffic.resultsSince(OutageStart));
  printLine("log down across the deadline", "log reset by the fault proxy",
            Summary.str());
}
