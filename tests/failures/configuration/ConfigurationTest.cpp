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

unsigned seedOfRun() {
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

std::string text(double Seconds) {
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

std::string outputOf(const Mesh &Of, const std::string &Id) {
  std::ifstream In(Of.folder() + "/" + Id + ".out");
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

/// Nodes that say that they have no route to a marker they had in force.
std::string lostMarkers(const Fleet &Of, int Markers) {
  std::string Lost;
  for (const NodeProcess *Each : Of.Nodes)
    for (int Number = 1; Number <= Markers; ++Number)
      if (hasNoRoute(*Each, Desk, "/marker-" + std::to_string(Number)))
        Lost += Each->Spec.Id + " lost marker " + std::to_string(Number) + "; ";
  return Lost;
}

/// Publishes a marker and returns the time until all of \p Of have it.
double publishMarker(Fleet &On, const std::vector<NodeProcess *> &Of) {
  const auto From = Clock::now();
  const Publishing::Verdict Verdict = On.startMarker()->wait();
  BOOST_TEST(Verdict.Accepted, Verdict.Output);
  return Fleet::secondsUntilAt(On.head(), Of, From);
}

} // namespace

// Guards against a node that serves an older configuration after a restart
// while the log cannot tell it the newest one.
BOOST_AUTO_TEST_CASE(NoNodeServesAnOlderPosition) {
  Fleet On("restart", seedOfRun());
  PositionWatch Watch(On.Nodes);
  std::string Lost;
  std::string Killed;
  double Slowest = 0;
  for (int Round = 0; Round < 3; ++Round) {
    const int Common = On.markers();
    // The change reaches no node, some nodes or all before the log is cut.
    const bool CutFirst = On.below(2) == 0;
    if (CutFirst)
      On.cutLog(true);
    const auto Publication = On.startMarker();
    pause(milliseconds(On.below(400)));
    On.cutLog(true);
    const auto Victims = On.pick(2);
    Killed += (Round == 0 ? "" : " / ") + namesOf(Victims);
    for (NodeProcess *Each : Victims)
      Each->Process->kill();
    pause(milliseconds(On.below(500)));
    for (NodeProcess *Each : Victims)
      On.Mesh.restart(*Each);
    BOOST_TEST(allReady(Victims));
    Lost += lostMarkers(On, Common);
    BOOST_TEST(Publication->wait().Accepted);
    const auto Healed = Clock::now();
    On.cutLog(false);
    const double Took = Fleet::secondsUntilAt(On.head(), On.Nodes, Healed);
    BOOST_TEST(Took < InForceLimit.count());
    Slowest = std::max(Slowest, Took);
    Lost += lostMarkers(On, On.markers());
  }
  const std::string Back = Watch.stepsBack();
  BOOST_TEST(Back == "");
  BOOST_TEST(Lost == "");
  report("a restart with the log down",
         "3 changes, log cut, kill -9 and restart of " + Killed,
         std::to_string(Watch.polls()) + " polls, steps back: " +
             (Back.empty() && Lost.empty() ? "none" : Back + Lost) +
             ", in force at most " + text(Slowest) + " after the log's return");
}

// Guards against a region that misses changes with its reader: a killed one,
// and one that is alive for the others for a while and does nothing.
BOOST_AUTO_TEST_CASE(ChangeIsInForceWithoutTheReader) {
  Fleet On("reader", seedOfRun(), true);
  // Without the other region the nodes depend on their own next reader.
  const bool Apart = On.below(2) == 0;
  On.cutRegions(Apart);
  const bool First = On.below(2) == 0;
  NodeProcess &Killed = On.readerOf(First ? "oberbayern" : "franken");
  NodeProcess &Frozen = On.readerOf(First ? "franken" : "oberbayern");
  pause(milliseconds(On.below(1000)));
  Killed.Process->kill();
  const double AfterKill = publishMarker(On, On.without({&Killed}));
  BOOST_TEST(AfterKill < InForceLimit.count());
  On.Mesh.restart(Killed);
  BOOST_TEST(Mesh::waitReady(Killed, ReadyLimit));
  BOOST_TEST(Fleet::secondsUntilAt(On.head(), On.Nodes, Clock::now()) <
             InForceLimit.count());

  const auto FrozenAt = Clock::now();
  Frozen.Process->pause();
  pause(milliseconds(On.below(1000)));
  const double WhileFrozen = publishMarker(On, On.without({&Frozen}));
  BOOST_TEST(WhileFrozen < InForceLimit.count());
  std::this_thread::sleep_until(FrozenAt + seconds(12));
  const auto Resumed = Clock::now();
  Frozen.Process->resume();
  const double AfterResume =
      Fleet::secondsUntilAt(On.head(), On.Nodes, Resumed);
  BOOST_TEST(AfterResume < InForceLimit.count());
  report("b reader of a region",
         "SIGKILL of " + Killed.Spec.Id + ", SIGSTOP of " + Frozen.Spec.Id +
             " for 12 s, regions " + (Apart ? "cut" : "connected"),
         "in force in " + text(AfterKill) + " after the kill, " +
             text(WhileFrozen) + " while frozen, at the resumed node in " +
             text(AfterResume));
}

// Guards against a route to a group that another team removed at the same
// time.
BOOST_AUTO_TEST_CASE(CrossingUpdatesLeaveNoMissingGroup) {
  Fleet On("crossing", seedOfRun());
  const std::string Spare = "[upstreams.spare]\nversions = v1\n\n"
                            "[route.spare]\npath = /spare\n"
                            "class = repeatable\nupstreams = spare\n"
                            "timeout_ms = 800\n";
  On.publish(Fleet::storeWith(1, Spare));
  const std::string Uses = "[uses.spare]\nservice = scans-stock-ledger\n"
                           "upstreams = spare\n";
  const auto Adding = On.startPublish(Fleet::deskWith(1, 0, Uses));
  pause(milliseconds(On.below(8)));
  const auto Removing = On.startPublish(Fleet::storeWith(2));
  const Publishing::Verdict Added = Adding->wait();
  const Publishing::Verdict Removed = Removing->wait();
  BOOST_TEST(Added.Accepted != Removed.Accepted);
  BOOST_TEST((Added.Accepted ? Removed : Added).Refused);
  BOOST_TEST(Fleet::secondsUntilAt(On.head(), On.Nodes, Clock::now()) <
             InForceLimit.count());
  int Wrong = 0;
  for (const NodeProcess *Each : On.Nodes) {
    auto Status = statusOf(*Each).value_or(NodeStatus());
    const bool Agrees = Status.Revisions[Desk] == (Added.Accepted ? 2 : 1) &&
                        Status.Revisions[Store] == (Removed.Accepted ? 3 : 2);
    const bool HasGroup = !hasNoRoute(*Each, Store, "/spare");
    Wrong += Agrees && HasGroup == Added.Accepted ? 0 : 1;
  }
  BOOST_TEST(Wrong == 0);
  report("c crossing updates",
         "the desk starts to use a group while the store removes it",
         std::string(Added.Accepted ? "use accepted, removal refused"
                                    : "removal accepted, use refused") +
             ", nodes with another result: " + std::to_string(Wrong));
}

// Guards against an edit that is lost, or folded twice after its answer was
// lost, when several operators publish the same document.
BOOST_AUTO_TEST_CASE(RacingOperatorsHaveOneWinner) {
  Fleet On("operators", seedOfRun());
  FaultProcess &Fault = On.Mesh.startFault("operators-fault", On.Log->Port);
  On.controlLog("lose_answers", "2");
  const std::int64_t Before = On.head();
  std::vector<std::unique_ptr<Publishing>> Operators;
  for (int Number = 0; Number < 4; ++Number) {
    Operators.push_back(On.startPublish(
        Fleet::deskWith(1, 0, "; operator " + std::to_string(Number) + "\n"),
        Fault.url()));
    pause(milliseconds(On.below(30)));
  }
  pause(milliseconds(On.below(150)));
  Fault.rule(R"("direction":"down","mode":"drop")");
  pause(milliseconds(500 + On.below(1000)));
  Fault.rule(R"("mode":"reset")");
  pause(milliseconds(200));
  Fault.rule("");
  int Winners = 0;
  int Told = 0;
  std::string Outputs;
  for (const auto &Each : Operators) {
    const Publishing::Verdict Verdict = Each->wait();
    Winners += Verdict.Accepted ? 1 : 0;
    Told += Verdict.Refused && Verdict.Revision == 2 ? 1 : 0;
    Outputs += Verdict.Output;
  }
  BOOST_TEST(Winners == 1, Outputs);
  BOOST_TEST(Told == 3, Outputs);
  BOOST_TEST(Fleet::secondsUntilAt(On.head(), On.Nodes, Clock::now()) <
             InForceLimit.count());
  int Wrong = 0;
  for (const NodeProcess *Each : On.Nodes)
    Wrong +=
        statusOf(*Each).value_or(NodeStatus()).Revisions[Desk] == 2 ? 0 : 1;
  BOOST_TEST(Wrong == 0);
  report("d racing operators",
         "4 operators on revision 1, 2 answers lost by the log, answers held "
         "back and connections reset",
         std::to_string(Winners) + " winner, " + std::to_string(Told) +
             " told revision 2, " + std::to_string(On.head() - Before) +
             " records for 4 publications, nodes at another revision: " +
             std::to_string(Wrong));
}

// Guards against a region that stays behind when only its way to the log is
// cut, although the other region has the changes.
BOOST_AUTO_TEST_CASE(RegionWithoutItsLogGetsChangesFromTheOther) {
  Fleet On("log-cut", seedOfRun());
  const std::string Region = On.below(2) == 0 ? "oberbayern" : "franken";
  PositionWatch Watch(On.Nodes);
  On.cutLog(Region, true);
  pause(milliseconds(On.below(3000)));
  const double WhileCut = publishMarker(On, On.Nodes);
  BOOST_TEST(WhileCut < InForceLimit.count());
  On.cutLog(Region, false);
  const double Healed = publishMarker(On, On.Nodes);
  BOOST_TEST(Healed < InForceLimit.count());
  BOOST_TEST(Watch.stepsBack() == "");
  report("e log traffic of a region", "the log is cut from " + Region,
         "in force in " + text(WhileCut) + " while cut, in " + text(Healed) +
             " after it healed");
}

// Guards against a cut region that loses or mixes its configuration, and
// against one that stays behind when the cut heals.
BOOST_AUTO_TEST_CASE(CutRegionKeepsItsConfigurationAndCatchesUp) {
  Fleet On("regions", seedOfRun(), true);
  PositionWatch Watch(On.Nodes);
  const bool CutFirst = On.below(2) == 0;
  const std::string Region = CutFirst ? "oberbayern" : "franken";
  std::vector<NodeProcess *> Inside;
  for (NodeProcess *Each : On.Nodes)
    if (Each->Spec.Region == Region)
      Inside.push_back(Each);
  const double Before = publishMarker(On, On.Nodes);
  BOOST_TEST(Before < InForceLimit.count());
  const int Common = On.markers();
  const std::int64_t Kept = On.head();
  On.cutLog(Region, true);
  On.cutRegions(true);
  pause(milliseconds(On.below(2000)));
  double Outside = 0;
  for (int Change = 0; Change < 3; ++Change)
    Outside = std::max(Outside, publishMarker(On, On.without(Inside)));
  BOOST_TEST(Outside < InForceLimit.count());
  // Long enough for the regions to find each other unreachable.
  pause(seconds(16));
  int Moved = 0;
  for (const NodeProcess *Each : Inside) {
    const auto Status = statusOf(*Each).value_or(NodeStatus());
    Moved += Status.Ready && Status.Position == Kept ? 0 : 1;
  }
  BOOST_TEST(Moved == 0);
  BOOST_TEST(lostMarkers(On, Common) == "");
  const auto Healed = Clock::now();
  On.cutLog(Region, false);
  On.cutRegions(false);
  const double CaughtUp = Fleet::secondsUntilAt(On.head(), Inside, Healed);
  BOOST_TEST(CaughtUp < InForceLimit.count());
  BOOST_TEST(eventually(ReadyLimit, [&] { return On.allSeeAll(); }));
  BOOST_TEST(Watch.stepsBack() == "");
  report("e cut region",
         "log and datagrams of " + Region + " cut, 3 changes, healed",
         "in force outside in " + text(Outside) +
             ", nodes inside that moved: " + std::to_string(Moved) +
             ", caught up in " + text(CaughtUp));
}

// Guards against a node that serves without knowing the newest configuration,
// and against one that cannot start while the log is down.
BOOST_AUTO_TEST_CASE(JoinDuringALogOutage) {
  Fleet On("outage", seedOfRun());
  publishMarker(On, On.Nodes);
  On.cutLog(true);
  const std::int64_t Head = On.head();
  const auto From = Clock::now();
  NodeProcess *Joined =
      On.start("ledger-4", "franken", "fuerth", Store, "ledger");
  BOOST_TEST(Mesh::waitReady(*Joined, ReadyLimit));
  const double Took =
      std::chrono::duration<double>(Clock::now() - From).count();
  BOOST_TEST(statusOf(*Joined).value_or(NodeStatus()).Position >= Head);
  BOOST_TEST(!hasNoRoute(*Joined, Desk, "/marker-1"));

  Mesh Apart("configuration-outage-alone-" + std::to_string(seedOfRun()));
  NodeSpec Spec;
  Spec.Id = "alone";
  Spec.Region = "franken";
  Spec.Zone = "fuerth";
  Spec.LogUrl = On.LogFaults.at("franken")->url();
  const NodeProcess &Alone = Apart.startNode(Spec);
  BOOST_TEST(!Mesh::waitReady(Alone, seconds(6)));
  const bool Says = contains(outputOf(Apart, "alone"),
                             "waits for the log, which does not answer, or a "
                             "serving peer");
  BOOST_TEST(Says);
  BOOST_TEST(hasNoRoute(Alone, Desk, "/marker-1") == false);
  report("f log outage", "a node joins; another one starts without a peer",
         "the first serves position " + std::to_string(Head) + " after " +
             text(Took) + "; the other does not serve in 6 s and " +
             (Says ? "says" : "does not say") + " what it waits for");
}

// Guards against a node that skips records or cannot start once the log has
// dropped the oldest ones.
BOOST_AUTO_TEST_CASE(TrimmedLogStartsFromACheckpoint) {
  Fleet On("trimmed", seedOfRun());
  publishMarker(On, On.Nodes);
  constexpr int Fillers = 620;
  for (int Number = 0; Number < Fillers; ++Number) {
    const Record Filler{
        {NodeId("filler"), Incarnation(1), Sequence(Number + 1), WallTime(1)},
        LeaseRecord{LeaseSubject("moves/filler"), NodeId("filler"),
                    Epoch(Number + 1), Milliseconds(1000)}};
    HttpCall Append;
    Append.Port = On.Log->Port;
    Append.Method = "POST";
    Append.Path = "/streams/control";
    Append.Body = records::encodeRecord(Filler);
    BOOST_TEST_REQUIRE(send(Append).Status == 201);
  }
  const std::string Wrote = "wrote a checkpoint of position ";
  std::int64_t Kept = 0;
  BOOST_TEST_REQUIRE(eventually(seconds(30), [&] {
    for (const NodeProcess *Each : On.Nodes) {
      const std::string Output = outputOf(On.Mesh, Each->Spec.Id);
      const std::size_t At = Output.find(Wrote);
      if (At != std::string::npos)
        Kept = std::atoll(Output.c_str() + At + Wrote.size());
    }
    return Kept > 0;
  }));
  On.controlLog("trim", "control:" + std::to_string(Kept));
  Mesh Apart("configuration-trimmed-alone-" + std::to_string(seedOfRun()));
  NodeSpec Spec;
  Spec.Id = "alone";
  Spec.Region = "franken";
  Spec.Zone = "fuerth";
  Spec.LogUrl = On.Log->url();
  for (NodeProcess *Each : On.Nodes)
    Each->Process->kill();
  const NodeProcess &Alone = Apart.startNode(Spec);
  BOOST_TEST(Mesh::waitReady(Alone, ReadyLimit));
  const auto Status = statusOf(Alone).value_or(NodeStatus());
  BOOST_TEST(Status.Position >= On.head());
  BOOST_TEST(!hasNoRoute(Alone, Desk, "/marker-1"));
  const bool Restored =
      contains(outputOf(Apart, "alone"), "from a checkpoint in the log");
  BOOST_TEST(Restored);
  report("g trimmed log",
         "records below " + std::to_string(Kept) + " dropped, all nodes gone",
         "a new node serves position " + std::to_string(Status.Position) +
             (Restored ? " from a checkpoint" : " without a checkpoint"));
}

// Guards against a mass failure that stops the distribution or leaves members
// unknown after their restart.
BOOST_AUTO_TEST_CASE(ThirdKilledAtOnceComesBack) {
  Fleet On("third", seedOfRun());
  PositionWatch Watch(On.Nodes);
  const auto Victims = On.pick((On.Nodes.size() + 2) / 3);
  for (NodeProcess *Each : Victims)
    Each->Process->kill();
  const double WhileGone = publishMarker(On, On.without(Victims));
  BOOST_TEST(WhileGone < InForceLimit.count());
  const auto From = Clock::now();
  for (NodeProcess *Each : Victims)
    On.Mesh.restart(*Each);
  BOOST_TEST(allReady(Victims));
  BOOST_TEST(eventually(ReadyLimit, [&] { return On.allSeeAll(); }));
  const double Back =
      std::chrono::duration<double>(Clock::now() - From).count();
  const double After = publishMarker(On, On.Nodes);
  BOOST_TEST(After < InForceLimit.count());
  BOOST_TEST(Watch.stepsBack() == "");
  BOOST_TEST(lostMarkers(On, On.markers()) == "");
  report("h a third killed", "SIGKILL of " + namesOf(Victims),
         "in force in " + text(WhileGone) +
             " at the others, all members ready " + text(Back) +
             " after the restart, next change in " + text(After));
}
