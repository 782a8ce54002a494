#include "Fleet.h"

#include <boost/test/unit_test.hpp>

#include <thread>

using namespace lycheethread::failures;
using lycheethread::harness::Mesh;

namespace {

std::string firstLine(const std::string &Text) {
  return Text.substr(0, Text.find('\n'));
}

} // namespace

// Guards against two moves of one group at the same time, against a
// publication that is lost without an error for its operator, and against nodes
// that follow different operators.
BOOST_AUTO_TEST_CASE(OfTwoOperatorsOneWins) {
  Fleet TestFleet("operators");
  const std::string Documents[] = {TestFleet.makeDocument(40),
                                   TestFleet.makeDocument(45)};
  Mesh::Run Runs[2];
  const int FirstOperator = TestFleet.randomUpTo(1);
  std::thread FirstPublication([&] {
    Runs[FirstOperator] =
        TestFleet.publish(Documents[FirstOperator], "operator-a.ini");
  });
  Runs[1 - FirstOperator] =
      TestFleet.publish(Documents[1 - FirstOperator], "operator-b.ini");
  FirstPublication.join();
  const int Winner = Runs[0].ExitCode == 0 ? 0 : 1;
  BOOST_TEST(Runs[Winner].ExitCode == 0, Runs[Winner].Output);
  BOOST_TEST(Runs[1 - Winner].ExitCode == 1, Runs[1 - Winner].Output);
  BOOST_TEST(Runs[1 - Winner].Output.find("revision") != std::string::npos,
             Runs[1 - Winner].Output);
  TestFleet.countRevision();
  const std::string Id = "desk/main/2";
  BOOST_TEST(TestFleet.loadState().Moves.Running.size() == 1U);
  BOOST_TEST(TestFleet.moveInLog(Id).Status == "running");
  BOOST_TEST(TestFleet.waitSteps(Id, 1, std::chrono::seconds(15)));

  const std::string Next = TestFleet.startMove(50);
  BOOST_TEST(TestFleet.runWaitCommand(Id) == 1);
  BOOST_TEST(TestFleet.moveInLog(Next).Status == "running");
  BOOST_TEST(TestFleet.runWaitCommand("desk/main/999") == 3);
  BOOST_TEST(TestFleet.waitAllAgree(Id));
  BOOST_TEST(TestFleet.waitAllAgree(Next));
  printLine("two operators publish a move", "both build on revision 1",
            "one accepted, the other refused: " +
                firstLine(Runs[1 - Winner].Output));
  printLine("the plan of a running move changes", "publication",
            "old move " + describe(TestFleet.moveInLog(Id)) + ", new move " +
                TestFleet.moveInLog(Next).Status);
}
