#include "Callers.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <sstream>

using namespace lycheethread::failures;

namespace {

constexpr int ColdMs = 20'000;
constexpr int MoveSeconds = 34;
constexpr std::chrono::seconds EndLimit{MoveSeconds + 6};

/// Part of the calls that v1 answered, in permille.
std::int64_t oldShare(const std::vector<CallResult> &Seen) {
  std::int64_t Old = 0;
  std::int64_t All = 0;
  for (const CallResult &Each : Seen) {
    Old += Each.Version == "v1" ? 1 : 0;
    All += Each.Version.empty() ? 0 : 1;
  }
  return All == 0 ? 0 : Old * 1000 / All;
}

std::vector<CallResult> until(std::vector<CallResult> Seen,
                              Clock::time_point To) {
  Seen.erase(
      std::remove_if(Seen.begin(), Seen.end(),
                     [To](const CallResult &Each) { return Each.Ended > To; }),
      Seen.end());
  return Seen;
}

} // namespace

// Guards against a good version that is undone because one of its instances
// dies or because its upstreams are slow at first, and against an old version
// that is not compared with in the last step or keeps traffic afterwards.
BOOST_AUTO_TEST_CASE(AGoodVersionFinishesByItsDeadline) {
  Fleet Tested("good", ColdMs);
  Callers Traffic(Tested);
  const std::int64_t BytesBefore = Tested.callBytes();
  const auto Started = Clock::now();
  const std::string Id = Tested.startMove(MoveSeconds);
  const auto Deadline = Tested.deadline(Id);
  BOOST_TEST(Tested.waitSteps(Id, 2, EndLimit));
  const std::int64_t Bytes = Tested.callBytes() - BytesBefore;
  const std::chrono::duration<double> Measured = Clock::now() - Started;
  const std::string Beginning = describe(Traffic.since(Started));

  lycheethread::harness::NodeProcess *Killed =
      Tested.Nodes[static_cast<std::size_t>(Tested.pick(3) * 2 + 1)];
  std::this_thread::sleep_for(std::chrono::milliseconds(Tested.pick(1000)));
  Killed->Process->kill();
  Killed->Upstream->kill();
  BOOST_TEST(Tested.waitSteps(Id, 3, EndLimit));
  std::this_thread::sleep_for(std::chrono::seconds(1));
  const auto LastStep = Clock::now();
  BOOST_TEST(Tested.waitEnded(Id, EndLimit));
  const auto Ended = Clock::now();
  BOOST_TEST((Ended < Deadline + std::chrono::seconds(1)));
  BOOST_TEST(Tested.waitCommand(Id) == 0);
  BOOST_TEST(Tested.inLog(Id).Status == "finished");
  BOOST_TEST(Tested.allAgree(Id));
  const std::int64_t Kept = oldShare(until(Traffic.since(LastStep), Ended));
  BOOST_TEST(Kept > 0);
  BOOST_TEST(Kept < 200);
  const auto Agreed = Clock::now();
  std::this_thread::sleep_for(std::chrono::seconds(2));
  BOOST_TEST(oldShare(Traffic.since(Agreed)) == 0);

  std::ostringstream Seen;
  Seen << describe(Tested.inLog(Id)) << ", "
       << std::chrono::duration<double>(Deadline - Ended).count()
       << " s before the deadline; v1 had " << Kept
       << " permille in the last step and 0 after; calls: "
       << describe(Traffic.since(Started));
  printLine("good version",
            Killed->Spec.Id + " killed, upstreams of v2 slow for 20 s",
            Seen.str());
  std::ostringstream Control;
  Control << Bytes << " bytes in " << Measured.count() << " s, "
          << static_cast<double>(Bytes) / Measured.count()
          << " bytes a second of all 8 nodes together; " << BytesBefore
          << " bytes before the move; calls meanwhile: " << Beginning;
  printLine("control bytes of calls between nodes (outcomes)", "nothing",
            Control.str());
}
