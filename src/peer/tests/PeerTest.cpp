#define BOOST_TEST_MODULE Peer
#include "distribution/Distribution.h"
#include "peer/tests/PeerCluster.h"

#include <boost/test/unit_test.hpp>

#include <atomic>
#include <string>

using namespace lycheethread;
using namespace lycheethread::peer;

namespace {

constexpr Milliseconds Soon{15000};
/// Changes must be committed on all nodes within 9 s.
constexpr Milliseconds CommitLimit{9000};

std::size_t readerOf(const PeerCluster &Cluster, const Region &In) {
  std::vector<Member> Members;
  for (const auto &Item : Cluster.Nodes)
    Members.push_back(Item.second->self());
  for (const auto &Item : Cluster.Nodes)
    if (Cluster.regionOf(Item.first) == In &&
        distribution::readerRank(Item.second->self().Id, In, Members) == 0)
      return Item.first;
  throw std::logic_error("no reader");
}

} // namespace

// Guards against a change that does not spread beyond the reader of the log,
// and against more than one reader in a healthy region.
BOOST_AUTO_TEST_CASE(ChangeReachesAllNodes) {
  PeerCluster Cluster(3, 1);
  Cluster.startAll(9);
  BOOST_TEST_REQUIRE(
      PeerCluster::await([&] { return Cluster.allServe(); }, Soon));
  Offset Next;
  for (int Change = 0; Change < 5; ++Change) {
    Next = Cluster.Log.append("control", std::to_string(Change)).next();
    BOOST_TEST(
        PeerCluster::await([&] { return Cluster.allAt(Next); }, CommitLimit));
  }
}

// Guards against a region that receives no changes after its reader has failed.
BOOST_AUTO_TEST_CASE(ChangeReachesAllAfterTheReaderIsKilled) {
  PeerCluster Cluster(3, 1);
  Cluster.startAll(7);
  BOOST_TEST_REQUIRE(
      PeerCluster::await([&] { return Cluster.allServe(); }, Soon));
  Cluster.kill(readerOf(Cluster, Cluster.regionOf(0)));
  const Offset Next = Cluster.Log.append("control", "after").next();
  BOOST_TEST(
      PeerCluster::await([&] { return Cluster.allAt(Next); }, CommitLimit));
}

// Guards against a mass restart that loses members, and against a restarted
// node that serves a lower position than before.
BOOST_AUTO_TEST_CASE(ThirdKilledAndRestartedServesNoLowerPosition) {
  PeerCluster Cluster(3, 1);
  Cluster.startAll(9);
  Offset Next = Cluster.Log.append("control", "first").next();
  BOOST_TEST_REQUIRE(PeerCluster::await(
      [&] { return Cluster.allServe() && Cluster.allAt(Next); }, Soon));
  Cluster.Log.Down = true;
  for (std::size_t Number : {1, 4, 8})
    Cluster.kill(Number);
  for (std::size_t Number : {1, 4, 8})
    Cluster.start(Number);
  for (std::size_t Number : {1, 4, 8}) {
    BOOST_TEST(PeerCluster::await(
        [&] { return Cluster.Nodes[Number]->serves(); }, Soon));
    BOOST_TEST(Cluster.Nodes[Number]->position() == Next);
  }
  Cluster.Log.Down = false;
  Next = Cluster.Log.append("control", "second").next();
  BOOST_TEST(
      PeerCluster::await([&] { return Cluster.allAt(Next); }, CommitLimit));
  BOOST_TEST(PeerCluster::await(
      [&] {
        return std::all_of(Cluster.Nodes.begin(), Cluster.Nodes.end(),
                           [](const auto &Item) {
                             return Item.second->count(MemberState::Ready) == 9;
                           });
      },
      Soon));
}

// Guards against a node that serves an empty configuration because neither the
// log nor a peer answers.
BOOST_AUTO_TEST_CASE(NodeWithoutLogAndPeerDoesNotServe) {
  PeerCluster Cluster(1, 1);
  Cluster.Log.append("control", "first");
  Cluster.Log.Down = true;
  TestNode &Alone = Cluster.start(0);
  BOOST_TEST(
      !PeerCluster::await([&] { return Alone.serves(); }, Milliseconds(4000)));
  Cluster.Log.Down = false;
  BOOST_TEST(PeerCluster::await([&] { return Alone.serves(); }, Soon));
  BOOST_TEST(Alone.position() == Offset(1));
}

// Guards against a node that skips records that the log no longer keeps.
BOOST_AUTO_TEST_CASE(TrimmedLogNeedsACheckpoint) {
  PeerCluster Cluster(1, 1);
  for (int Change = 0; Change < 10; ++Change)
    Cluster.Log.append("control", std::to_string(Change));
  Cluster.Log.trim("control", Offset(6));
  TestNode &Alone = Cluster.start(0);
  BOOST_TEST(
      !PeerCluster::await([&] { return Alone.serves(); }, Milliseconds(4000)));
  BOOST_TEST(Alone.position() == Offset(0));
}

// Guards against a node that cannot start although a complete checkpoint covers
// the trimmed records, and against nodes that write no checkpoint.
BOOST_AUTO_TEST_CASE(TrimmedLogIsRestoredFromACheckpoint) {
  PeerCluster Cluster(3, 1);
  Cluster.startAll(3);
  for (int Change = 0; Change < 720; ++Change)
    Cluster.Log.append("control", std::to_string(Change));
  BOOST_TEST_REQUIRE(PeerCluster::await(
      [&] { return Cluster.Log.size("control") > 720; }, Soon));
  const Offset Next(static_cast<std::int64_t>(Cluster.Log.size("control")));
  for (std::size_t Number = 0; Number < 3; ++Number)
    Cluster.kill(Number);
  Cluster.Log.trim("control", Offset(500));
  TestNode &Alone = Cluster.start(3);
  BOOST_TEST(PeerCluster::await([&] { return Alone.serves(); }, Soon));
  BOOST_TEST(Alone.position() >= Next);
}

// Guards against declaring all members of the other region dead during a
// partition, and against member lists that stay separate after it heals.
BOOST_AUTO_TEST_CASE(PartitionedRegionsContinueAndMergeAgain) {
  PeerCluster Cluster(2, 2);
  Cluster.startAll(8);
  BOOST_TEST_REQUIRE(PeerCluster::await(
      [&] {
        return std::all_of(Cluster.Nodes.begin(), Cluster.Nodes.end(),
                           [](const auto &Item) {
                             return Item.second->count(MemberState::Ready) == 8;
                           });
      },
      Soon));
  Cluster.Network.cut("region-0", "region-1");
  const auto PartitionSeen = [&] {
    return std::all_of(Cluster.Nodes.begin(), Cluster.Nodes.end(),
                       [](const auto &Item) {
                         return Item.second->count(MemberState::Ready) == 4 &&
                                Item.second->count(MemberState::Suspect) == 4;
                       });
  };
  BOOST_TEST(PeerCluster::await(PartitionSeen, Milliseconds(30000)));
  const Offset Next = Cluster.Log.append("control", "during").next();
  BOOST_TEST(
      PeerCluster::await([&] { return Cluster.allAt(Next); }, CommitLimit));
  Cluster.Network.heal();
  BOOST_TEST(PeerCluster::await(
      [&] {
        return std::all_of(Cluster.Nodes.begin(), Cluster.Nodes.end(),
                           [](const auto &Item) {
                             return Item.second->count(MemberState::Ready) == 8;
                           });
      },
      Milliseconds(30000)));
}

// Guards against rumours that are delivered twice or stay in one region.
BOOST_AUTO_TEST_CASE(RumourReachesEachNodeOnce) {
  PeerCluster Cluster(2, 2);
  Cluster.startAll(8);
  std::atomic<int> Delivered{0};
  for (auto &Item : Cluster.Nodes)
    Item.second->control().OnRumour(
        "brake", [&Delivered](const std::string &) { ++Delivered; });
  BOOST_TEST_REQUIRE(PeerCluster::await(
      [&] {
        return std::all_of(Cluster.Nodes.begin(), Cluster.Nodes.end(),
                           [](const auto &Item) {
                             return Item.second->count(MemberState::Ready) == 8;
                           });
      },
      Soon));
  Cluster.Nodes[3]->control().Broadcast("brake", "move");
  BOOST_TEST(PeerCluster::await([&] { return Delivered == 8; }, Soon));
  std::this_thread::sleep_for(Milliseconds(500));
  BOOST_TEST(Delivered == 8);
}

// Guards against a call that does not report a refusal or an unreachable peer.
BOOST_AUTO_TEST_CASE(CallRepliesOrThrows) {
  PeerCluster Cluster(1, 1);
  Cluster.startAll(2);
  Cluster.Nodes[1]->control().OnCall(
      "echo", [](const std::string &Payload) { return Payload + "!"; });
  const Member Target = Cluster.Nodes[1]->self();
  PeerControl &Caller = Cluster.Nodes[0]->control();
  BOOST_TEST(Caller.Call(Target, "echo", "a") == "a!");
  BOOST_CHECK_THROW(Caller.Call(Target, "absent", "a"), PeerUnavailable);
  Cluster.kill(1);
  BOOST_CHECK_THROW(Caller.Call(Target, "echo", "a"), PeerUnavailable);
}

// Guards against nodes that start together on an empty stream and never learn
// of each other: each would read the log and serve on its own forever.
BOOST_AUTO_TEST_CASE(SeparateGroupsMergeThroughTheLog) {
  PeerCluster Cluster(2, 1);
  Cluster.startAll(4, PeerCluster::NoSeeds);
  BOOST_TEST(PeerCluster::await([&] { return Cluster.allSeeReady(4); }, Soon));
}

// Guards against nodes that never learn of each other while the join records
// are unavailable: a seed that was not running when a node started must be
// contacted again.
BOOST_AUTO_TEST_CASE(SeparateGroupsMergeThroughTheSeeds) {
  PeerCluster Cluster(2, 1);
  const Endpoint Late = PeerCluster::freeEndpoint();
  Cluster.Log.MembersDown = true;
  Cluster.start(0, {Late});
  Cluster.start(2, {Cluster.Nodes[0]->self().Control});
  BOOST_TEST_REQUIRE(
      PeerCluster::await([&] { return Cluster.allSeeReady(2); }, Soon));
  Cluster.start(1, {}, Late);
  Cluster.start(3, {Late});
  BOOST_TEST(PeerCluster::await([&] { return Cluster.allSeeReady(4); }, Soon));
}
