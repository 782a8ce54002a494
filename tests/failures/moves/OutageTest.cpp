#include "Callers.h"

#include <boost/test/unit_test.hpp>

#include <sstream>

using namespace lycheethread::failures;

namespace {

constexpr int MoveSeconds = 31;
constexpr std::chrono::seconds EndLimit{20};
/// A node looks at its clock twice a second; a call may be on its way then.
constexpr std::chrono::seconds StopMargin{1};

} // namespace

// Guards against nodes that go on with the new version after the deadline
// because nobody can write the end, and against different ends afterwards.
BOOST_AUTO_TEST_CASE(WithoutTheLogTheDeadlineStopsTheNewVersion) {
  Fleet Tested("log-down");
  Callers Traffic(Tested);
  const std::string Id = Tested.startMove(MoveSeconds);
  const auto Deadline = Tested.deadline(Id);
  BOOST_TEST(Tested.waitSteps(Id, 1, EndLimit));
  std::this_thread::sleep_for(std::chrono::milliseconds(Tested.pick(1000)));
  const auto DownAt = Clock::now();
  Tested.LogFault->rule(R"("mode":"reset")");
  std::this_thread::sleep_until(Deadline + StopMargin);
  BOOST_TEST(Traffic.callsToNew(DownAt) > 0);
  BOOST_TEST(Tested.allStopped(Id));
  std::this_thread::sleep_for(std::chrono::seconds(3));
  const std::int64_t Late = Traffic.callsToNew(Deadline + StopMargin);
  BOOST_TEST(Late == 0);
  BOOST_TEST(Tested.inLog(Id).Status == "running");
  Tested.LogFault->rule("");
  const auto BackAt = Clock::now();
  BOOST_TEST(Tested.waitEnded(Id, EndLimit));
  BOOST_TEST(Tested.inLog(Id).Status == "undone");
  BOOST_TEST(Tested.allAgree(Id));
  std::ostringstream Seen;
  Seen << Late << " calls to v2 after the deadline, "
       << describe(Tested.inLog(Id)) << " at all nodes "
       << std::chrono::duration<double>(Clock::now() - BackAt).count()
       << " s after the log came back; calls since the outage began: "
       << describe(Traffic.since(DownAt));
  printLine("log down across the deadline", "log reset by the fault proxy",
            Seen.str());
}
