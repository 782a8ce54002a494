#include "Callers.h"

#include <boost/test/unit_test.hpp>

using namespace lycheethread::failures;

namespace {

constexpr int MoveSeconds = 32;
constexpr std::chrono::seconds EndLimit{MoveSeconds + 6};
/// The first step is 5%; the margin is for chance.
constexpr double FirstStepShare = 0.08;

struct BadCase {
  std::string Name;
  std::string Faults;
  /// Steps after which the version becomes bad.
  int AfterSteps = 0;
  /// The fault shows in any request, so the first step has to be enough.
  bool StopsInFirstStep = false;
};

void runCase(Fleet &Tested, const Callers &Traffic, const BadCase &Item) {
  const auto Started = Clock::now();
  if (Item.AfterSteps == 0)
    Tested.control("v2", Item.Faults);
  const std::string Id = Tested.startMove(MoveSeconds);
  if (Item.AfterSteps > 0) {
    BOOST_TEST(Tested.waitSteps(Id, Item.AfterSteps, EndLimit));
    std::this_thread::sleep_for(std::chrono::milliseconds(Tested.pick(1000)));
    Tested.control("v2", Item.Faults);
  }
  BOOST_TEST(Tested.waitEnded(Id, EndLimit));
  const MoveView End = Tested.inLog(Id);
  BOOST_TEST(End.Status == "undone");
  BOOST_TEST(Tested.waitCommand(Id) == 1);
  BOOST_TEST(Tested.allAgree(Id));
  // A call that was sent before is still on its way.
  std::this_thread::sleep_for(std::chrono::milliseconds(500));
  const auto Agreed = Clock::now();
  std::this_thread::sleep_for(std::chrono::seconds(1));
  BOOST_TEST(Traffic.callsToNew(Agreed) == 0);
  if (Item.StopsInFirstStep) {
    BOOST_TEST(End.StepsTaken == 1);
    const auto All = static_cast<double>(Traffic.since(Started).size());
    BOOST_TEST(static_cast<double>(Traffic.callsToNew(Started)) <
               FirstStepShare * All);
  }
  printLine("bad version, " + Item.Name, Item.Faults,
            describe(End) + "; " + describe(Traffic.exposure(Started)));
  Tested.control("v2", "fail_percent=0&slow_ms=0&route=");
}

} // namespace

// Guards against a bad version that finishes or keeps its traffic, whatever
// way it is bad.
BOOST_AUTO_TEST_CASE(ABadVersionIsUndone) {
  Fleet Tested("bad");
  Callers Traffic(Tested);
  const BadCase Cases[] = {
      {"server errors at once", "fail_percent=60", 0, true},
      {"slow", "slow_ms=80", 0, false},
      {"one route", "fail_percent=60&route=/berths", 0, true},
      {"later", "fail_percent=60", 2, false}};
  for (const BadCase &Item : Cases)
    BOOST_TEST_CONTEXT(Item.Name) { runCase(Tested, Traffic, Item); }
}
