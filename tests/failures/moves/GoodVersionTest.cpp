#include "TrafficGenerator.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <sstream>

using namespace lycheethread::failures;

namespace {

constexpr int ColdStartMs = 20'000;
constexpr int MoveSeconds = 34;
constexpr std::chrono::seconds EndLimit{MoveSeconds + 6};

/// Returns the share of v1 in the calls that an upstream answered, in permille.
std::int64_t oldVersionShare(const std::vector<CallResult> &Seen) {
  std::int64_t Old = 0;
  std::int64_t All = 0;
  for (const CallResult &Each : Seen) {
    Old += Each.Version == "v1" ? 1 : 0;
    All += Each.Version.empty() ? 0 : 1;
  }
  return All == 0 ? 0 : Old * 1000 / All;
}

/// Returns the calls that ended at \p To or before.
std::vector<CallResult> endedBy(std::vector<CallResult> Seen,
                                Clock::time_point To) {
  Seen.erase(
      std::remove_if(Seen.begin(), Seen.end(),
                     [To](const CallResult &Each) { return Each.Ended > To; }),
      Seen.end());
  return Seen;
}

} // namespace

// Guards against a good version that is undone because one of its instances
// dies or because its upstreams are slow after their start. Also guards against
// an old version that receives no traffic in the last step, in which the new
// version is still compared with it, or that keeps traffic after the move.
BOOST_AUTO_TEST_CASE(AGoodVersionFinishesByItsDeadline) {
  Fleet TestFleet("good", ColdStartMs);
  TrafficGenerator Traffic(TestFleet);
  const std::int64_t BytesBefore = TestFleet.sentCallBytes();
  const auto Started = Clock::now();
  const std::string Id = TestFleet.startMove(MoveSeconds);
  const auto Deadline = TestFleet.deadline(Id);
  BOOST_TEST(TestFleet.waitSteps(Id, 2, EndLimit));
  const std::int64_t Bytes = TestFleet.sentCallBytes() - BytesBefore;
  const std::chrono::duration<double> Measured = Clock::now() - Started;
  const std::string FirstCalls = describe(Traffic.resultsSince(Started));

  lycheethread::harness::NodeProcess *Killed =
      TestFleet
          .Nodes[static_cast<std::size_t>(TestFleet.randomUpTo(3) * 2 + 1)];
  std::this_thread::sleep_for(
      std::chrono::milliseconds(TestFleet.randomUpTo(1000)));
  Killed->Process->kill();
  Killed->Upstream->kill();
  BOOST_TEST(TestFleet.waitSteps(Id, 3, EndLimit));
  std::this_thread::sleep_for(std::chrono::seconds(1));
  const auto LastStep = Clock::now();
  BOOST_TEST(TestFleet.waitEnded(Id, EndLimit));
  const auto Ended = Clock::now();
  BOOST_TEST((Ended < Deadline + std::chrono::seconds(1)));
  BOOST_TEST(TestFleet.runWaitCommand(Id) == 0);
  BOOST_TEST(TestFleet.moveInLog(Id).Status == "finished");
  BOOST_TEST(TestFleet.waitAllAgree(Id));
  const std::int64_t OldShare =
      oldVersionShare(endedBy(Traffic.resultsSince(LastStep), Ended));
  BOOST_TEST(OldShare > 0);
  BOOST_TEST(OldShare < 200);
  const auto Agreed = Clock::now();
  std::this_thread::sleep_for(std::chrono::seconds(2));
  BOOST_TEST(oldVersionShare(Traffic.resultsSince(Agreed)) == 0);

  std::ostringstream Summary;
  Summary << describe(TestFleet.moveInLog(Id)) << ", "
          << std::chrono::duration<double>(Deadline - Ended).count()
          << " s before the deadline; v1 had " << OldShare
          << " permille in the last step and 0 after; calls: "
          << describe(Traffic.resultsSince(Started));
  printLine("good version",
            Killed->Spec.Id + " killed, upstreams of v2 slow for 20 s",
            Summary.str());
  std::ostringstream ControlTraffic;
  ControlTraffic << Bytes << " bytes in " << Measured.count() << " s, "
                 << static_cast<double>(Bytes) / Measured.count()
                 << " bytes a second at all 8 nodes together; " << BytesBefore
                 << " bytes before the move; calls during this time: "
                 << FirstCalls;
  printLine("control bytes of calls between nodes (outcomes)", "nothing",
            ControlTraffic.str());
}
