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

// Guards against two moves of one group at once, against a publication that is
// lost without its operator being told, and against nodes that follow
// different operators.
BOOST_AUTO_TEST_CASE(OfTwoOperatorsOneWins) {
  Fleet Tested("operators");
  const std::string Texts[] = {Tested.documentFor(40), Tested.documentFor(45)};
  Mesh::Run Runs[2];
  const int First = Tested.pick(1);
  std::thread Other(
      [&] { Runs[First] = Tested.publish(Texts[First], "operator-a.ini"); });
  Runs[1 - First] = Tested.publish(Texts[1 - First], "operator-b.ini");
  Other.join();
  const int Winner = Runs[0].ExitCode == 0 ? 0 : 1;
  BOOST_TEST(Runs[Winner].ExitCode == 0, Runs[Winner].Output);
  BOOST_TEST(Runs[1 - Winner].ExitCode == 1, Runs[1 - Winner].Output);
  BOOST_TEST(Runs[1 - Winner].Output.find("revision") != std::string::npos,
             Runs[1 - Winner].Output);
  Tested.noteRevision();
  const std::string Id = "desk/main/2";
  BOOST_TEST(Tested.folded().Moves.Running.size() == 1U);
  BOOST_TEST(Tested.inLog(Id).Status == "running");
  BOOST_TEST(Tested.waitSteps(Id, 1, std::chrono::seconds(15)));

  const std::string Next = Tested.startMove(50);
  BOOST_TEST(Tested.waitCommand(Id) == 1);
  BOOST_TEST(Tested.inLog(Next).Status == "running");
  BOOST_TEST(Tested.waitCommand("desk/main/999") == 3);
  BOOST_TEST(Tested.allAgree(Id));
  BOOST_TEST(Tested.allAgree(Next));
  printLine("two operators publish a move", "both build on revision 1",
            "one accepted, the other told: " +
                firstLine(Runs[1 - Winner].Output));
  printLine("the plan of a running move changes", "publication",
            "old move " + describe(Tested.inLog(Id)) + ", new move " +
                Tested.inLog(Next).Status);
}
