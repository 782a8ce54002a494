#define BOOST_TEST_MODULE ConfigurationFailures
#include "Fleet.h"

#include "records/Records.h"

#include <boost/test/unit_test.hpp>

#include <cstdlib>
#include <cstring>
#include <fstream>
#include <iostream>
#include <iterator>
#include <sstream>

using namespace lycheethread;
using namespace lycheethread::harness;
using namespace lycheethread::failures;

namespace {

using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;
using std::chrono::seconds;

unsigned seed() {
  const auto &Suite = boost::unit_test::framework::master_test_suite();
  for (int At = 1; At + 1 < Suite.argc; ++At)
    if (std::strcmp(Suite.argv[At], "--seed") == 0)
      return static_cast<unsigned>(
          std::strtoul(Suite.argv[At + 1], nullptr, 10));
  return 1;
}

void report(const std::string &Point, const std::string &Injected,
            const std::string &Observed) {
  std::cout << Point << " | " << Injected << " | " << Observed << std::endl;
}

std::string formatSeconds(double Seconds) {
  std::ostringstream Out;
  Out.precision(1);
  Out << std::fixed << Seconds << " s";
  return Out.str();
}

std::string namesOf(const std::vector<NodeProcess *> &Nodes) {
  std::string Names;
  for (const NodeProcess *Each : Nodes)
    Names += (Names.empty() ? "" : ", ") + Each->Spec.Id;
  return Names;
}

void pause(milliseconds Length) { std::this_thread::sleep_for(Length); }

/// Returns the output of the process so far.
std::string outputOf(const Mesh &TestMesh, const std::string &Id) {
  std::ifstream In(TestMesh.folder() + "/" + Id + ".out");
  return {std::istreambuf_iterator<char>(In), {}};
}

bool contains(const std::string &Text, const std::string &Part) {
  return Text.find(Part) != std::string::npos;
}

bool allReady(const std::vector<NodeProcess *> &Nodes) {
  return std::all_of(Nodes.begin(), Nodes.end(), [](const NodeProcess *Each) {
    return Mesh::waitReady(*Each, ReadyLimit);
  });
}

/// Describes the nodes that have no route to a marker which was in force; empty
/// when there are none.
std::string lostMarkers(const Fleet &TestFleet, int Markers) {
  std::string LostMarkers;
  for (const NodeProcess *Each : TestFleet.Nodes)
    for (int Number = 1; Number <= Markers; ++Number)
      if (hasNoRoute(*Each, CatalogueService,
                     "/marker-" + std::to_string(Number)))
        LostMarkers +=
            Each->Spec.Id + " lost marker " + std::to_string(Number) + "; ";
  return LostMarkers;
}

/// Publishes a marker and returns the seconds until all of \p ExpectedNodes
/// have it.
double secondsToPublishMarker(Fleet &TestFleet,
                              const std::vector<NodeProcess *> &ExpectedNodes) {
  const auto From = Clock::now();
  const PublishCommand::Outcome Outcome =
      TestFleet.startMarkerPublish()->wait();
  BOOST_TEST(Outcome.Accepted, Outcome.Output);
  return Fleet::secondsUntilPosition(TestFleet.head(), ExpectedNodes, From);
}

} // namespace

// Guards against a node that serves an older configuration after a restart
// because it cannot read the newest one from the log.
BOOST_AUTO_TEST_CASE(NoNodeServesAnOlderPosition) {
  Fleet TestFleet("restart", seed());
  PositionMonitor Monitor(TestFleet.Nodes);
  std::string LostMarkers;
  std::string Killed;
  double Slowest = 0;
  for (int Round = 0; Round < 3; ++Round) {
    const int CommonMarkers = TestFleet.markers();
    // Before the log is cut, the change may reach no node, some or all nodes.
    const bool CutFirst = TestFleet.randomBelow(2) == 0;
    if (CutFirst)
      TestFleet.setLogCut(true);
    const auto Publication = TestFleet.startMarkerPublish();
    pause(milliseconds(TestFleet.randomBelow(400)));
    TestFleet.setLogCut(true);
    const auto Victims = TestFleet.pickNodes(2);
    Killed += (Round == 0 ? "" : " / ") + namesOf(Victims);
    for (NodeProcess *Each : Victims)
      Each->Process->kill();
    pause(milliseconds(TestFleet.randomBelow(500)));
    for (NodeProcess *Each : Victims)
      TestFleet.Mesh.restart(*Each);
    BOOST_TEST(allReady(Victims));
    LostMarkers += lostMarkers(TestFleet, CommonMarkers);
    BOOST_TEST(Publication->wait().Accepted);
    const auto Healed = Clock::now();
    TestFleet.setLogCut(false);
    const double Took =
        Fleet::secondsUntilPosition(TestFleet.head(), TestFleet.Nodes, Healed);
    BOOST_TEST(Took < InForceLimit.count());
    Slowest = std::max(Slowest, Took);
    LostMarkers += lostMarkers(TestFleet, TestFleet.markers());
  }
  const std::string Regressions = Monitor.regressions();
  BOOST_TEST(Regressions == "");
  BOOST_TEST(LostMarkers == "");
  report("a restart with the log down",
         "3 changes, log cut, kill -9 and restart of " + Killed,
         std::to_string(Monitor.polls()) + " polls, steps back: " +
             (Regressions.empty() && LostMarkers.empty()
                  ? "none"
                  : Regressions + LostMarkers) +
             ", in force at most " + formatSeconds(Slowest) +
             " after the log's return");
}

// Guards against a region that receives no changes when its reader is killed,
// or when its reader is frozen and other nodes still take it for alive.
BOOST_AUTO_TEST_CASE(ChangeIsInForceWithoutTheReader) {
  Fleet TestFleet("reader", seed(), true);
  // When the regions cannot reach each other, the nodes depend on the next
  // reader of their own region.
  const bool RegionsCut = TestFleet.randomBelow(2) == 0;
  TestFleet.setRegionsCut(RegionsCut);
  const bool First = TestFleet.randomBelow(2) == 0;
  NodeProcess &Killed = TestFleet.readerOf(First ? "oberbayern" : "franken");
  NodeProcess &Frozen = TestFleet.readerOf(First ? "franken" : "oberbayern");
  pause(milliseconds(TestFleet.randomBelow(1000)));
  Killed.Process->kill();
  const double AfterKill =
      secondsToPublishMarker(TestFleet, TestFleet.nodesExcept({&Killed}));
  BOOST_TEST(AfterKill < InForceLimit.count());
  TestFleet.Mesh.restart(Killed);
  BOOST_TEST(Mesh::waitReady(Killed, ReadyLimit));
  BOOST_TEST(Fleet::secondsUntilPosition(TestFleet.head(), TestFleet.Nodes,
                                         Clock::now()) < InForceLimit.count());

  const auto FrozenAt = Clock::now();
  Frozen.Process->pause();
  pause(milliseconds(TestFleet.randomBelow(1000)));
  const double WhileFrozen =
      secondsToPublishMarker(TestFleet, TestFleet.nodesExcept({&Frozen}));
  BOOST_TEST(WhileFrozen < InForceLimit.count());
  std::this_thread::sleep_until(FrozenAt + seconds(12));
  const auto Resumed = Clock::now();
  Frozen.Process->resume();
  const double AfterResume =
      Fleet::secondsUntilPosition(TestFleet.head(), TestFleet.Nodes, Resumed);
  BOOST_TEST(AfterResume < InForceLimit.count());
  report("b reader of a region",
         "SIGKILL of " + Killed.Spec.Id + ", SIGSTOP of " + Frozen.Spec.Id +
             " for 12 s, regions " + (RegionsCut ? "cut" : "connected"),
         "in force in " + formatSeconds(AfterKill) + " after the kill, " +
             formatSeconds(WhileFrozen) +
             " while frozen, at the resumed node in " +
             formatSeconds(AfterResume));
}

// Guards against a document that uses an upstream group which another team
// removes at the same time.
BOOST_AUTO_TEST_CASE(CrossingUpdatesLeaveNoMissingGroup) {
  Fleet TestFleet("crossing", seed());
  const std::string SpareGroup = "[upstreams.spare]\nversions = v1\n\n"
                                 "[route.spare]\npath = /spare\n"
                                 "class = repeatable\nupstreams = spare\n"
                                 "timeout_ms = 800\n";
  TestFleet.publish(Fleet::ledgerDocument(1, SpareGroup));
  const std::string UsesSection = "[uses.spare]\nservice = scans-stock-ledger\n"
                                  "upstreams = spare\n";
  const auto AddingCommand =
      TestFleet.startPublish(Fleet::catalogueDocument(1, 0, UsesSection));
  pause(milliseconds(TestFleet.randomBelow(8)));
  const auto RemovingCommand = TestFleet.startPublish(Fleet::ledgerDocument(2));
  const PublishCommand::Outcome AddOutcome = AddingCommand->wait();
  const PublishCommand::Outcome RemoveOutcome = RemovingCommand->wait();
  BOOST_TEST(AddOutcome.Accepted != RemoveOutcome.Accepted);
  BOOST_TEST((AddOutcome.Accepted ? RemoveOutcome : AddOutcome).Refused);
  BOOST_TEST(Fleet::secondsUntilPosition(TestFleet.head(), TestFleet.Nodes,
                                         Clock::now()) < InForceLimit.count());
  int WrongNodes = 0;
  for (const NodeProcess *Each : TestFleet.Nodes) {
    auto Status = statusOf(*Each).value_or(NodeStatus());
    const bool Agrees =
        Status.Revisions[CatalogueService] == (AddOutcome.Accepted ? 2 : 1) &&
        Status.Revisions[LedgerService] == (RemoveOutcome.Accepted ? 3 : 2);
    const bool HasGroup = !hasNoRoute(*Each, LedgerService, "/spare");
    WrongNodes += Agrees && HasGroup == AddOutcome.Accepted ? 0 : 1;
  }
  BOOST_TEST(WrongNodes == 0);
  report("c crossing updates",
         "the desk starts to use a group while the store removes it",
         std::string(AddOutcome.Accepted ? "use accepted, removal refused"
                                         : "removal accepted, use refused") +
             ", nodes with another result: " + std::to_string(WrongNodes));
}

// Guards against an edit that is lost, or applied twice because the answer of
// the log was lost, when several operators publish the same document.
BOOST_AUTO_TEST_CASE(RacingOperatorsHaveOneWinner) {
  Fleet TestFleet("operators", seed());
  FaultProcess &Fault =
      TestFleet.Mesh.startFault("operators-fault", TestFleet.Log->Port);
  TestFleet.setLogFault("lose_answers", "2");
  const std::int64_t Before = TestFleet.head();
  std::vector<std::unique_ptr<PublishCommand>> Operators;
  for (int Number = 0; Number < 4; ++Number) {
    Operators.push_back(TestFleet.startPublish(
        Fleet::catalogueDocument(1, 0,
                                 "; operator " + std::to_string(Number) + "\n"),
        Fault.url()));
    pause(milliseconds(TestFleet.randomBelow(30)));
  }
  pause(milliseconds(TestFleet.randomBelow(150)));
  Fault.rule(R"("direction":"down","mode":"drop")");
  pause(milliseconds(500 + TestFleet.randomBelow(1000)));
  Fault.rule(R"("mode":"reset")");
  pause(milliseconds(200));
  Fault.rule("");
  int Winners = 0;
  int InformedOperators = 0;
  std::string Outputs;
  for (const auto &Each : Operators) {
    const PublishCommand::Outcome Outcome = Each->wait();
    Winners += Outcome.Accepted ? 1 : 0;
    InformedOperators += Outcome.Refused && Outcome.Revision == 2 ? 1 : 0;
    Outputs += Outcome.Output;
  }
  BOOST_TEST(Winners == 1, Outputs);
  BOOST_TEST(InformedOperators == 3, Outputs);
  BOOST_TEST(Fleet::secondsUntilPosition(TestFleet.head(), TestFleet.Nodes,
                                         Clock::now()) < InForceLimit.count());
  int WrongNodes = 0;
  for (const NodeProcess *Each : TestFleet.Nodes)
    WrongNodes +=
        statusOf(*Each).value_or(NodeStatus()).Revisions[CatalogueService] == 2
            ? 0
            : 1;
  BOOST_TEST(WrongNodes == 0);
  report("d racing operators",
         "4 operators on revision 1, 2 answers lost by the log, answers held "
         "back and connections reset",
         std::to_string(Winners) + " winner, " +
             std::to_string(InformedOperators) + " told revision 2, " +
             std::to_string(TestFleet.head() - Before) +
             " records for 4 publications, nodes at another revision: " +
             std::to_string(WrongNodes));
}

// Guards against a region that receives no changes when only its connection to
// the log is cut, although the other region has the changes.
BOOST_AUTO_TEST_CASE(RegionWithoutItsLogGetsChangesFromTheOther) {
  Fleet TestFleet("log-cut", seed());
  const std::string Region =
      TestFleet.randomBelow(2) == 0 ? "oberbayern" : "franken";
  PositionMonitor Monitor(TestFleet.Nodes);
  TestFleet.setLogCut(Region, true);
  pause(milliseconds(TestFleet.randomBelow(3000)));
  const double WhileCut = secondsToPublishMarker(TestFleet, TestFleet.Nodes);
  BOOST_TEST(WhileCut < InForceLimit.count());
  TestFleet.setLogCut(Region, false);
  const double Healed = secondsToPublishMarker(TestFleet, TestFleet.Nodes);
  BOOST_TEST(Healed < InForceLimit.count());
  BOOST_TEST(Monitor.regressions() == "");
  report("e log traffic of a region", "the log is cut from " + Region,
         "in force in " + formatSeconds(WhileCut) + " while cut, in " +
             formatSeconds(Healed) + " after it healed");
}

// Guards against an isolated region that loses its configuration or applies
// only a part of the changes, and against a region that does not catch up when
// it is connected again.
BOOST_AUTO_TEST_CASE(CutRegionKeepsItsConfigurationAndCatchesUp) {
  Fleet TestFleet("regions", seed(), true);
  PositionMonitor Monitor(TestFleet.Nodes);
  const bool CutFirst = TestFleet.randomBelow(2) == 0;
  const std::string Region = CutFirst ? "oberbayern" : "franken";
  std::vector<NodeProcess *> RegionNodes;
  for (NodeProcess *Each : TestFleet.Nodes)
    if (Each->Spec.Region == Region)
      RegionNodes.push_back(Each);
  const double Before = secondsToPublishMarker(TestFleet, TestFleet.Nodes);
  BOOST_TEST(Before < InForceLimit.count());
  const int CommonMarkers = TestFleet.markers();
  const std::int64_t KeptPosition = TestFleet.head();
  TestFleet.setLogCut(Region, true);
  TestFleet.setRegionsCut(true);
  pause(milliseconds(TestFleet.randomBelow(2000)));
  double Outside = 0;
  for (int Change = 0; Change < 3; ++Change)
    Outside = std::max(
        Outside,
        secondsToPublishMarker(TestFleet, TestFleet.nodesExcept(RegionNodes)));
  BOOST_TEST(Outside < InForceLimit.count());
  // Long enough for each region to detect that the other is unreachable.
  pause(seconds(16));
  int ChangedNodes = 0;
  for (const NodeProcess *Each : RegionNodes) {
    const auto Status = statusOf(*Each).value_or(NodeStatus());
    ChangedNodes += Status.Ready && Status.Position == KeptPosition ? 0 : 1;
  }
  BOOST_TEST(ChangedNodes == 0);
  BOOST_TEST(lostMarkers(TestFleet, CommonMarkers) == "");
  const auto Healed = Clock::now();
  TestFleet.setLogCut(Region, false);
  TestFleet.setRegionsCut(false);
  const double CaughtUp =
      Fleet::secondsUntilPosition(TestFleet.head(), RegionNodes, Healed);
  BOOST_TEST(CaughtUp < InForceLimit.count());
  BOOST_TEST(
      eventually(ReadyLimit, [&] { return TestFleet.allNodesSeeAll(); }));
  BOOST_TEST(Monitor.regressions() == "");
  report("e cut region",
         "log and datagrams of " + Region + " cut, 3 changes, healed",
         "in force outside in " + formatSeconds(Outside) +
             ", nodes inside that moved: " + std::to_string(ChangedNodes) +
             ", caught up in " + formatSeconds(CaughtUp));
}

// Guards against a node that serves without the newest configuration while the
// log is down, and against a node that cannot start then although a peer could
// pass on that configuration.
BOOST_AUTO_TEST_CASE(JoinDuringALogOutage) {
  Fleet TestFleet("outage", seed());
  secondsToPublishMarker(TestFleet, TestFleet.Nodes);
  TestFleet.setLogCut(true);
  const std::int64_t Head = TestFleet.head();
  const auto From = Clock::now();
  NodeProcess *Joined =
      TestFleet.start("ledger-4", "franken", "fuerth", LedgerService, "ledger");
  BOOST_TEST(Mesh::waitReady(*Joined, ReadyLimit));
  const double Took =
      std::chrono::duration<double>(Clock::now() - From).count();
  BOOST_TEST(statusOf(*Joined).value_or(NodeStatus()).Position >= Head);
  BOOST_TEST(!hasNoRoute(*Joined, CatalogueService, "/marker-1"));

  Mesh SeparateMesh("configuration-outage-alone-" + std::to_string(seed()));
  NodeSpec Spec;
  Spec.Id = "alone";
  Spec.Region = "franken";
  Spec.Zone = "fuerth";
  Spec.LogUrl = TestFleet.LogFaults.at("franken")->url();
  const NodeProcess &Alone = SeparateMesh.startNode(Spec);
  BOOST_TEST(!Mesh::waitReady(Alone, seconds(6)));
  const bool LogsReason =
      contains(outputOf(SeparateMesh, "alone"),
               "waits for the log, which does not answer, or a "
               "serving peer");
  BOOST_TEST(LogsReason);
  BOOST_TEST(hasNoRoute(Alone, CatalogueService, "/marker-1") == false);
  report("f log outage", "a node joins; another one starts without a peer",
         "the first serves position " + std::to_string(Head) + " after " +
             formatSeconds(Took) + "; the other does not serve in 6 s and " +
             (LogsReason ? "says" : "does not say") + " what it waits for");
}

// Guards against a node that skips records or cannot start after the log has
// dropped the oldest records.
BOOST_AUTO_TEST_CASE(TrimmedLogStartsFromACheckpoint) {
  Fleet TestFleet("trimmed", seed());
  secondsToPublishMarker(TestFleet, TestFleet.Nodes);
  constexpr int FillerCount = 620;
  for (int Number = 0; Number < FillerCount; ++Number) {
    const Record Filler{
        {NodeId("filler"), Incarnation(1), Sequence(Number + 1), WallTime(1)},
        LeaseRecord{LeaseSubject("moves/filler"), NodeId("filler"),
                    Epoch(Number + 1), Milliseconds(1000)}};
    HttpCall Append;
    Append.Port = TestFleet.Log->Port;
    Append.Method = "POST";
    Append.Path = "/streams/control";
    Append.Body = records::encodeRecord(Filler);
    BOOST_TEST_REQUIRE(send(Append).Status == 201);
  }
  const std::string CheckpointLogLine = "wrote a checkpoint of position ";
  std::int64_t KeptPosition = 0;
  BOOST_TEST_REQUIRE(eventually(seconds(30), [&] {
    for (const NodeProcess *Each : TestFleet.Nodes) {
      const std::string Output = outputOf(TestFleet.Mesh, Each->Spec.Id);
      const std::size_t At = Output.find(CheckpointLogLine);
      if (At != std::string::npos)
        KeptPosition =
            std::atoll(Output.c_str() + At + CheckpointLogLine.size());
    }
    return KeptPosition > 0;
  }));
  TestFleet.setLogFault("trim", "control:" + std::to_string(KeptPosition));
  Mesh SeparateMesh("configuration-trimmed-alone-" + std::to_string(seed()));
  NodeSpec Spec;
  Spec.Id = "alone";
  Spec.Region = "franken";
  Spec.Zone = "fuerth";
  Spec.LogUrl = TestFleet.Log->url();
  for (NodeProcess *Each : TestFleet.Nodes)
    Each->Process->kill();
  const NodeProcess &Alone = SeparateMesh.startNode(Spec);
  BOOST_TEST(Mesh::waitReady(Alone, ReadyLimit));
  const auto Status = statusOf(Alone).value_or(NodeStatus());
  BOOST_TEST(Status.Position >= TestFleet.head());
  BOOST_TEST(!hasNoRoute(Alone, CatalogueService, "/marker-1"));
  const bool Restored =
      contains(outputOf(SeparateMesh, "alone"), "from a checkpoint in the log");
  BOOST_TEST(Restored);
  report("g trimmed log",
         "records below " + std::to_string(KeptPosition) +
             " dropped, all nodes gone",
         "a new node serves position " + std::to_string(Status.Position) +
             (Restored ? " from a checkpoint" : " without a checkpoint"));
}

// Guards against the failure of many nodes at once that stops the distribution,
// or after which restarted members stay unknown to others.
BOOST_AUTO_TEST_CASE(ThirdKilledAtOnceComesBack) {
  Fleet TestFleet("third", seed());
  PositionMonitor Monitor(TestFleet.Nodes);
  const auto Victims = TestFleet.pickNodes((TestFleet.Nodes.size() + 2) / 3);
  for (NodeProcess *Each : Victims)
    Each->Process->kill();
  const double WhileGone =
      secondsToPublishMarker(TestFleet, TestFleet.nodesExcept(Victims));
  BOOST_TEST(WhileGone < InForceLimit.count());
  const auto From = Clock::now();
  for (NodeProcess *Each : Victims)
    TestFleet.Mesh.restart(*Each);
  BOOST_TEST(allReady(Victims));
  BOOST_TEST(
      eventually(ReadyLimit, [&] { return TestFleet.allNodesSeeAll(); }));
  const double ReadyAgain =
      std::chrono::duration<double>(Clock::now() - From).count();
  const double After = secondsToPublishMarker(TestFleet, TestFleet.Nodes);
  BOOST_TEST(After < InForceLimit.count());
  BOOST_TEST(Monitor.regressions() == "");
  BOOST_TEST(lostMarkers(TestFleet, TestFleet.markers()) == "");
  report("h a third killed", "SIGKILL of " + namesOf(Victims),
         "in force in " + formatSeconds(WhileGone) +
             " at the others, all members ready " + formatSeconds(ReadyAgain) +
             " after the restart, next change in " + formatSeconds(After));
}
