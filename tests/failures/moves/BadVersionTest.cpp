#include "TrafficGenerator.h"

#include <boost/test/unit_test.hpp>

using namespace lycheethread::failures;

namespace {

constexpr int MoveSeconds = 32;
constexpr std::chrono::seconds EndLimit{MoveSeconds + 6};
/// The first step has a share of 5%; the rest allows for random variation.
constexpr double MaxFirstStepShare = 0.08;

struct FaultCase {
  std::string Name;
  /// Query for /control of the upstreams.
  std::string FaultQuery;
  /// Number of steps after which the version becomes bad.
  int AfterSteps = 0;
  /// Whether the move must be undone in the first step, because the fault shows
  /// in requests of all kinds.
  bool StopsInFirstStep = false;
};

void runCase(Fleet &TestFleet, const TrafficGenerator &Traffic,
             const FaultCase &Case) {
  const auto Started = Clock::now();
  if (Case.AfterSteps == 0)
    TestFleet.controlUpstreams("v2", Case.FaultQuery);
  const std::string Id = TestFleet.startMove(MoveSeconds);
  if (Case.AfterSteps > 0) {
    BOOST_TEST(TestFleet.waitSteps(Id, Case.AfterSteps, EndLimit));
    std::this_thread::sleep_for(
        std::chrono::milliseconds(TestFleet.randomUpTo(1000)));
    TestFleet.controlUpstreams("v2", Case.FaultQuery);
  }
  BOOST_TEST(TestFleet.waitEnded(Id, EndLimit));
  const MoveView End = TestFleet.moveInLog(Id);
  BOOST_TEST(End.Status == "undone");
  BOOST_TEST(TestFleet.runWaitCommand(Id) == 1);
  BOOST_TEST(TestFleet.waitAllAgree(Id));
  // Calls that were sent before the move was undone may still be in progress.
  std::this_thread::sleep_for(std::chrono::milliseconds(500));
  const auto AgreedAt = Clock::now();
  std::this_thread::sleep_for(std::chrono::seconds(1));
  BOOST_TEST(Traffic.callsToNewVersion(AgreedAt) == 0);
  if (Case.StopsInFirstStep) {
    BOOST_TEST(End.StepsTaken == 1);
    const auto AllCalls =
        static_cast<double>(Traffic.resultsSince(Started).size());
    BOOST_TEST(static_cast<double>(Traffic.callsToNewVersion(Started)) <
               MaxFirstStepShare * AllCalls);
  }
  printLine("bad version, " + Case.Name, Case.FaultQuery,
            describe(End) + "; " + describe(Traffic.exposure(Started)));
  TestFleet.controlUpstreams("v2", "fail_percent=0&slow_ms=0&route=");
}

} // namespace

// Guards against a bad version that finishes its move or keeps its traffic, for
// several kinds of faults.
BOOST_AUTO_TEST_CASE(ABadVersionIsUndone) {
  Fleet TestFleet("bad");
  TrafficGenerator Traffic(TestFleet);
  const FaultCase Cases[] = {
      {"server errors at once", "fail_percent=60", 0, true},
      {"slow", "slow_ms=80", 0, false},
      {"one route", "fail_percent=60&route=/berths", 0, true},
      {"later", "fail_percent=60", 2, false}};
  for (const FaultCase &Case : Cases)
    BOOST_TEST_CONTEXT(Case.Name) { runCase(TestFleet, Traffic, Case); }
}
