#include "mesh/Mesh.h"

#include <boost/test/unit_test.hpp>

using namespace lycheethread;
using namespace lycheethread::mesh;

namespace {

NodeReport report(const std::string &Id, std::int64_t IncarnationNumber,
                  std::int64_t Number) {
  NodeReport Result;
  Result.Id = NodeId(Id);
  Result.IncarnationNumber = Incarnation(IncarnationNumber);
  Result.Number = Sequence(Number);
  return Result;
}

NodeTable tableOf(int Nodes) {
  NodeTable Known;
  Known.Self = NodeId("n0");
  for (int At = 1; At < Nodes; ++At)
    mergeReport(Known, report("n" + std::to_string(At), 1, 1),
                SteadyTime(1000));
  return Known;
}

} // namespace

BOOST_AUTO_TEST_SUITE(NodeTables)

// Guards against a report of an earlier incarnation, or a reordered datagram,
// that restores an upstream which has left.
BOOST_AUTO_TEST_CASE(onlyNewerReportsAreAccepted) {
  NodeTable Known;
  Known.Self = NodeId("self");
  BOOST_TEST(mergeReport(Known, report("a", 5, 7), SteadyTime(1)));
  BOOST_TEST(!mergeReport(Known, report("a", 5, 7), SteadyTime(2)));
  BOOST_TEST(!mergeReport(Known, report("a", 4, 99), SteadyTime(2)));
  BOOST_TEST(mergeReport(Known, report("a", 6, 1), SteadyTime(2)));
  BOOST_TEST(!mergeReport(Known, report("self", 1, 1), SteadyTime(2)));
}

// Guards against an upstream that has left and gets requests again because the
// node beside it was restarted and has forgotten it.
BOOST_AUTO_TEST_CASE(upstreamThatHasLeftStaysAwayAfterARestartOfItsNode) {
  NodeTable Known;
  Known.Self = NodeId("self");
  NodeReport Before = report("a", 5, 7);
  Before.LocalUpstream.Id = UpstreamId("i-1");
  Before.LocalUpstream.StartedAtUnixMs = 1000;
  Before.LocalUpstream.State = UpstreamState::Draining;
  mergeReport(Known, Before, SteadyTime(1));
  NodeReport Restarted = report("a", 6, 1);
  mergeReport(Known, Restarted, SteadyTime(2));
  Restarted.Number = Sequence(2);
  Restarted.LocalUpstream = Before.LocalUpstream;
  Restarted.LocalUpstream.State = UpstreamState::Ready;
  mergeReport(Known, Restarted, SteadyTime(3));
  const KnownNode &Node = Known.Nodes.at(NodeId("a"));
  BOOST_TEST((Node.LastReport.LocalUpstream.State == UpstreamState::Draining));
  BOOST_REQUIRE(Node.Left.has_value());
  // The next process at the same place is another one.
  Restarted.Number = Sequence(3);
  Restarted.LocalUpstream.StartedAtUnixMs = 2000;
  mergeReport(Known, Restarted, SteadyTime(4));
  BOOST_TEST((Node.LastReport.LocalUpstream.State == UpstreamState::Ready));
}

// Guards against an upstream that gets requests of a node which has passed on
// its answer that it leaves, as long as the node beside it reports otherwise.
BOOST_AUTO_TEST_CASE(upstreamThatSaysItLeavesIsAvoidedAtOnce) {
  NodeTable Known;
  Known.Self = NodeId("self");
  NodeReport Report = report("a", 5, 7);
  Report.LocalUpstream.Id = UpstreamId("i-1");
  Report.LocalUpstream.StartedAtUnixMs = 1000;
  Report.LocalUpstream.State = UpstreamState::Ready;
  mergeReport(Known, Report, SteadyTime(1));
  BOOST_TEST(recordLeaving(Known, NodeId("a"), Report.LocalUpstream));
  const KnownNode &Node = Known.Nodes.at(NodeId("a"));
  BOOST_TEST((Node.LastReport.LocalUpstream.State == UpstreamState::Draining));
  BOOST_TEST(!recordLeaving(Known, NodeId("a"), Node.LastReport.LocalUpstream));
  BOOST_TEST(!recordLeaving(Known, NodeId("b"), Report.LocalUpstream));
  // Reports from before the node knew of it, also of its next incarnation.
  Report.Number = Sequence(8);
  mergeReport(Known, Report, SteadyTime(2));
  BOOST_TEST((Node.LastReport.LocalUpstream.State == UpstreamState::Draining));
  Report.IncarnationNumber = Incarnation(6);
  mergeReport(Known, Report, SteadyTime(3));
  BOOST_TEST((Node.LastReport.LocalUpstream.State == UpstreamState::Draining));
}

// Guards against a load that overtakes the state it belongs to, and against a
// missing state that nobody asks for.
BOOST_AUTO_TEST_CASE(loadsAreTakenAndMissingStatesAreNoticed) {
  NodeTable Known;
  Known.Self = NodeId("self");
  NodeReport Full = report("a", 5, 7);
  Full.State = Sequence(2);
  LoadBeat Beat = beatOf(Full);
  BOOST_TEST(!mergeBeat(Known, Beat, SteadyTime(1)));
  mergeReport(Known, Full, SteadyTime(1));
  Beat.Number = Sequence(9);
  Beat.Load.Running = 4;
  BOOST_TEST(mergeBeat(Known, Beat, SteadyTime(500)));
  const KnownNode &Node = Known.Nodes.at(NodeId("a"));
  BOOST_TEST(Node.LastReport.Load.Running == 4);
  BOOST_TEST(Node.HeardAt.value() == 500);
  BOOST_TEST(Node.ReportedAt.value() == 1);
  // A report of the new state that was made before the load keeps the load.
  Beat.State = Sequence(3);
  BOOST_TEST(!mergeBeat(Known, Beat, SteadyTime(501)));
  Full.State = Sequence(3);
  Full.Number = Sequence(8);
  Full.Ready = true;
  BOOST_TEST(mergeReport(Known, Full, SteadyTime(510)));
  BOOST_TEST(Node.LastReport.Ready);
  BOOST_TEST(Node.LastReport.Load.Running == 4);
  BOOST_TEST(mergeBeat(Known, Beat, SteadyTime(520)));
  // A restart begins a new count.
  BOOST_TEST(mergeReport(Known, report("a", 6, 1), SteadyTime(600)));
  BOOST_TEST(!mergeBeat(Known, Beat, SteadyTime(610)));
}

// Guards against two nodes, or none, that take themselves for the first in the
// order.
BOOST_AUTO_TEST_CASE(ranksAreDistinctAndStable) {
  std::set<std::size_t> Ranks;
  for (int Self = 0; Self < 7; ++Self) {
    NodeTable Known;
    Known.Self = NodeId("n" + std::to_string(Self));
    for (int At = 0; At < 7; ++At)
      mergeReport(Known, report("n" + std::to_string(At), 1, 1), SteadyTime(1));
    Ranks.insert(rendezvousRank(Known, "store", SteadyTime(1)));
  }
  BOOST_TEST(Ranks.size() == 7U);
  BOOST_TEST(*Ranks.rbegin() == 6U);
}

BOOST_AUTO_TEST_CASE(silentNodesDoNotCount) {
  const NodeTable Known = tableOf(5);
  BOOST_TEST(rendezvousRank(Known, "x", SteadyTime(100'000)) == 0U);
  NodeTable Old = Known;
  expireNodes(Old, SteadyTime(100'000));
  BOOST_TEST(Old.Nodes.empty());
}

// Guards against a change that no node reads after the regular readers were
// killed: it must be in force within 2.5 s.
BOOST_AUTO_TEST_CASE(otherNodesReadWhenConfirmationsStop) {
  MeshBounds Bounds;
  BOOST_TEST(shouldReadStore(0, Milliseconds(0), Bounds));
  BOOST_TEST(!shouldReadStore(50, Milliseconds(1200), Bounds));
  BOOST_TEST(shouldReadStore(50, Milliseconds(2000), Bounds));
}

// Guards against times that suit one deployment only: with half of the time the
// others must read, and a read end, before it has passed.
BOOST_AUTO_TEST_CASE(storeReadsFollowTheConfiguredTime) {
  for (const std::int64_t Limit : {1200, 2500, 5000}) {
    MeshBounds Bounds;
    Bounds.ConfigApplyTime = Milliseconds(Limit);
    BOOST_TEST(
        shouldReadStore(1000, Bounds.ConfigApplyTime * 80 / 100, Bounds));
    BOOST_TEST(storeReadWait(Bounds).count() <= Limit * 4 / 10);
    BOOST_TEST(!shouldReadStore(2, storeReadWait(Bounds), Bounds));
  }
}

// Guards against a long report that keeps all later changes from spreading.
BOOST_AUTO_TEST_CASE(longReportDoesNotHoldUpTheOthers) {
  NodeTable Known;
  Known.Self = NodeId("self");
  for (const char *Id : {"short", "long"}) {
    NodeReport Item = report(Id, 1, 1);
    Item.State = Sequence(1);
    mergeReport(Known, Item, SteadyTime(1));
    Item.State = Sequence(2);
    Item.Number = Sequence(2);
    mergeReport(Known, Item, SteadyTime(2));
  }
  GossipPlan Plan;
  Plan.Bytes = 1000;
  Plan.BeatBytes = 20;
  Plan.ReportBytes = [](const NodeReport &Item) -> std::size_t {
    return Item.Id.str() == "long" ? 600 : 100;
  };
  BOOST_TEST(hasUrgentState(Known));
  const GossipContent Content = composeGossip(Known, Plan, SteadyTime(3));
  BOOST_REQUIRE(Content.Reports.size() == 1U);
  BOOST_TEST(Content.Reports.front().Id.str() == "short");
  BOOST_TEST(!hasUrgentState(Known));
  // The load shows that there is a newer state.
  BOOST_TEST(Content.Beats.size() == 2U);
}

// Guards against a report that grows with the number of rollouts and crashes
// until its receivers drop it, and against one that leaves out what matters
// most, or the same items each time.
BOOST_AUTO_TEST_CASE(longReportsAreShortenedByRank) {
  constexpr std::size_t ItemBytes = 20;
  const ReportLimit Limit{500, [](const NodeReport &Item) {
                            return 200 + ItemBytes * (Item.Rollouts.size() +
                                                      Item.Crashes.size());
                          }};
  NodeReport Whole = report("a", 1, 1);
  for (std::int64_t At = 1; At <= 200; ++At)
    Whole.Rollouts.push_back({Offset(At), {}, false, RolloutState::Completed});
  Whole.Rollouts.push_back({Offset(201), {}, false, RolloutState::Running});
  Whole.Rollouts.push_back({Offset(202), {}, true, RolloutState::Running});
  for (const char *Name : {"first", "second"})
    Whole.Crashes.push_back({requests::Fingerprint(Name),
                             requests::CrashId("c"),
                             requests::SuspectWeight::NeverAnswered});
  std::set<std::int64_t> Told;
  for (std::size_t Turn = 0; Turn < 200; ++Turn) {
    NodeReport Short = Whole;
    BOOST_TEST_REQUIRE(fitReport(Short, Limit, Turn) == 204U - 15U);
    BOOST_TEST_REQUIRE(Limit.ReportBytes(Short) <= Limit.Bytes);
    BOOST_TEST_REQUIRE(Short.Rollouts.at(0).Order.value() == 202);
    BOOST_TEST_REQUIRE(Short.Rollouts.at(1).Order.value() == 201);
    BOOST_TEST_REQUIRE(Short.Crashes.at(0).RequestFingerprint.str() ==
                       "second");
    for (const RolloutReport &Item : Short.Rollouts)
      Told.insert(Item.Order.value());
  }
  BOOST_TEST(Told.size() == 202U);
  NodeReport Few = report("a", 1, 1);
  Few.Rollouts = {{Offset(1), {}, false, RolloutState::Completed}};
  BOOST_TEST(fitReport(Few, Limit, 7) == 0U);
  BOOST_TEST(Few.Rollouts.size() == 1U);
}

// Guards against a new node that is ready before it knows a node that joined
// just before it: an even newer one that it has heard of proves nothing.
BOOST_AUTO_TEST_CASE(newNodeWaitsForThoseBeforeIt) {
  NodeTable Known;
  Known.Self = NodeId("self");
  const JoinState Second{true, true, Offset(2), 1};
  NodeReport Later = report("later", 1, 1);
  Later.Place = Offset(3);
  mergeReport(Known, Later, SteadyTime(1));
  BOOST_TEST(!hasJoined(Second, Known, Milliseconds(100)));
  NodeReport First = report("first", 1, 1);
  First.Place = Offset(1);
  mergeReport(Known, First, SteadyTime(1));
  BOOST_TEST(hasJoined(Second, Known, Milliseconds(100)));
  // Those that have ended do not answer.
  BOOST_TEST(!hasJoined({true, true, Offset(9), 8}, Known, Milliseconds(900)));
  BOOST_TEST(hasJoined({true, true, Offset(9), 8}, Known, Milliseconds(1200)));
  // A restarted node is known to the others, and hears of them at once.
  BOOST_TEST(hasJoined({true, false, Offset(2), 8}, Known, Milliseconds(1)));
  BOOST_TEST(
      !hasJoined({true, false, Offset(2), 8}, NodeTable(), Milliseconds(1)));
  BOOST_TEST(
      hasJoined({true, true, Offset(1), 0}, NodeTable(), Milliseconds(1)));
}

// Guards against a read of the whole store by each node when all of them start.
BOOST_AUTO_TEST_CASE(firstReadsOfManyNodesAreSpread) {
  constexpr Milliseconds Near{10};
  constexpr Milliseconds Remote{120};
  BOOST_TEST(firstReadDelay(0, Near).Most.count() == 0);
  BOOST_TEST(firstReadDelay(2, Near).Most.count() < 10);
  BOOST_TEST(firstReadDelay(195, Near).Least.count() == 0);
  BOOST_TEST(firstReadDelay(195, Near).Most.count() > 300);
  BOOST_TEST(firstReadDelay(1000, Near).Most.count() <= 500);
  BOOST_TEST(firstReadDelay(2, Remote).Least.count() > 300);
}

// Guards against a datagram for each pair of nodes when all of them start.
BOOST_AUTO_TEST_CASE(contactsAtAStartDoNotGrowWithTheFleet) {
  std::mt19937_64 Random(3);
  SeedNodes Seeds;
  for (int At = 0; At < 1000; ++At)
    Seeds[{"10.0.0." + std::to_string(At), 1}].Zone =
        AvailabilityZone("z" + std::to_string(At % 8));
  NodeTable Known;
  Known.Self = NodeId("self");
  const AvailabilityZone Own("z0");
  const auto First = chooseSeeds(Seeds, Known, Own, SteadyTime(1), Random);
  BOOST_TEST(First.size() == 125U + 7 * 6);
  std::size_t Later = 0;
  for (int Second = 60; Second < 160; ++Second)
    Later += chooseSeeds(Seeds, Known, Own, SteadyTime(Second * 1000), Random)
                 .size();
  // All of them are silent: the attempts go on, but few at a time.
  BOOST_TEST(Later >= 100U);
  BOOST_TEST(Later <= 100U * (7 * 6 + 1) + 250);
}

// Guards against calls to a failing store that grow with the number of nodes,
// and against a node without records that backs off as long as the others.
BOOST_AUTO_TEST_CASE(storeBackoffGrowsWithTheNodes) {
  for (const std::size_t Nodes : {11U, 87U, 1000U}) {
    const Milliseconds Pause = maxStoreBackoff(false, true, Nodes);
    // The backoff is half of its maximum on average.
    BOOST_TEST(static_cast<double>(Nodes) * 2000 /
                   static_cast<double>(Pause.count()) <=
               10);
    BOOST_TEST(Pause.count() >= 3000);
  }
  BOOST_TEST(maxStoreBackoff(true, true, 1000).count() == 1000);
  BOOST_TEST(maxStoreBackoff(false, false, 1000).count() == 1000);
}

// Guards against a copy of the operator's records for each node over a link
// that is billed by volume.
BOOST_AUTO_TEST_CASE(oneNodePerRegionFetchesOverTheLink) {
  int AtOnce = 0;
  for (int Self = 0; Self < 6; ++Self) {
    NodeTable Known;
    Known.Self = NodeId("n" + std::to_string(Self));
    for (int At = 0; At < 6; ++At) {
      NodeReport Item = report("n" + std::to_string(At), 1, 1);
      Item.At = {Region("r"), AvailabilityZone(At % 2 == 0 ? "a" : "b")};
      mergeReport(Known, Item, SteadyTime(1));
    }
    const Location At{Region("r"), AvailabilityZone(Self % 2 == 0 ? "a" : "b")};
    const auto Delay =
        fetchDelay(Known, At, Proximity::OtherRegion, SteadyTime(1));
    AtOnce += Delay == Milliseconds(0) ? 1 : 0;
    BOOST_TEST(Delay.count() <= 500);
    BOOST_TEST(
        fetchDelay(Known, At, Proximity::SameZone, SteadyTime(1)).count() == 0);
  }
  BOOST_TEST(AtOnce == 1);
}

namespace {

/// A mesh of two regions with two zones each.
NodeTable evenTable(int PerZone) {
  NodeTable Known;
  Known.Self = NodeId("n0-0");
  for (int Zone = 0; Zone < 4; ++Zone)
    for (int At = 0; At < PerZone; ++At) {
      const std::string Name = std::to_string(Zone) + "-" + std::to_string(At);
      NodeReport Item = report("n" + Name, 1, 1);
      Item.At = {Region(Zone < 2 ? "r0" : "r1"),
                 AvailabilityZone("z" + std::to_string(Zone))};
      Item.Gossip = {Name, 1};
      mergeReport(Known, Item, SteadyTime(1));
    }
  return Known;
}

void countTargets(const GossipTargets &Targets, std::map<char, int> &Sent) {
  for (const auto *List :
       {&Targets.InZone, &Targets.InRegion, &Targets.OtherRegions})
    for (const Endpoint &To : *List)
      ++Sent[To.Address.front()];
}

} // namespace

// Guards against control traffic on billed links that grows with the number of
// nodes: when each of 87 nodes sent one datagram in every second round, it was
// 0.2 MB per second.
BOOST_AUTO_TEST_CASE(gossipOverBilledLinksDoesNotGrowWithTheNodes) {
  constexpr Milliseconds Round{250};
  constexpr int Rounds = 4000; // 1,000 s
  const Location At{Region("r0"), AvailabilityZone("z0")};
  for (const int PerZone : {3, 22, 75}) {
    const NodeTable Known = evenTable(PerZone);
    std::mt19937_64 Random(7);
    std::map<char, int> Sent;
    for (int Count = 0; Count < Rounds; ++Count)
      countTargets(choosePeers(Known, At, Round, SteadyTime(1), Random), Sent);
    const double ToZone = Sent['1'] * PerZone / 1000.0;
    const double ToRegion = (Sent['2'] + Sent['3']) * PerZone * 2 / 1000.0;
    BOOST_TEST(ToZone <= 16 * 1.2);
    BOOST_TEST(ToRegion <= 12 * 1.2);
    BOOST_TEST(ToZone >= 10);
    BOOST_TEST(ToRegion >= 8);
    BOOST_TEST(Sent['0'] == 2 * Rounds);
  }
}

BOOST_AUTO_TEST_SUITE_END()
