#include "TestMesh.h"

#include <boost/test/unit_test.hpp>

#include <fstream>
#include <future>
#include <iterator>

using namespace lycheethread::platformtest;

namespace {

using std::chrono::milliseconds;

/// Maximum time until every node applies an accepted configuration.
constexpr milliseconds ApplyLimit{2500};

const std::string NewRule =
    R"(,{"name":"new","type":"idempotent","match":{"path_prefix":"/new/"},)"
    R"("action":{"backend_service":"desk","timeout_s":1}})";

} // namespace

BOOST_AUTO_TEST_SUITE(Configuration)

BOOST_AUTO_TEST_CASE(changeIsAppliedOnAllNodesInTime) {
  TestMesh Mesh({{"a1"}, {"a2"}, {"a3"}, {"a4"}, {"a5"}});
  Mesh.Store.put("keyed.op", "config", configuration(4, NewRule));
  for (auto &Item : Mesh.Instances)
    BOOST_TEST(holdsWithin([&] { return Item->get("/new/x").Status == 200; },
                           ApplyLimit));
}

// Guards against a node that reverts to an older configuration or applies part
// of a malformed one.
BOOST_AUTO_TEST_CASE(olderAndMalformedConfigurationsAreIgnored) {
  TestMesh Mesh({{"b1"}}, 5);
  Mesh.Store.put("keyed.op", "config", configuration(7, NewRule));
  BOOST_REQUIRE(holdsWithin(
      [&] { return Mesh.at(0).get("/new/x").Status == 200; }, ApplyLimit));
  Mesh.Store.put("keyed.op", "config", configuration(6));
  Mesh.Store.put("keyed.op", "config", configuration(9).substr(0, 500));
  std::this_thread::sleep_for(ApplyLimit);
  BOOST_TEST(Mesh.at(0).get("/new/x").Status == 200);
}

// Guards against a lost change: the record is dropped from the history of the
// store before the nodes read it.
BOOST_AUTO_TEST_CASE(droppedHistoryLosesNoChange) {
  TestMesh Mesh({{"d1"}, {"d2"}});
  Mesh.Store.setUnavailable(true);
  Mesh.Store.put("keyed.op", "config", configuration(3, NewRule));
  Mesh.Store.dropHistory();
  Mesh.Store.setUnavailable(false);
  for (auto &Item : Mesh.Instances)
    BOOST_TEST(holdsWithin([&] { return Item->get("/new/x").Status == 200; },
                           ApplyLimit + milliseconds(1500)));
}

// Guards against a node that, restarted during an outage of the store, serves
// an older configuration or none.
BOOST_AUTO_TEST_CASE(restartWithoutTheStoreTakesThePeersConfiguration) {
  TestMesh Mesh({{"w1"}, {"w2"}});
  Mesh.Store.put("keyed.op", "config", configuration(8, NewRule));
  for (auto &Item : Mesh.Instances)
    BOOST_REQUIRE(holdsWithin([&] { return Item->get("/new/x").Status == 200; },
                              ApplyLimit));
  Mesh.Store.setUnavailable(true);
  Mesh.at(0).node().kill();
  Mesh.at(0).startNode();
  // The peer still lists the node as a member and sends updates to the same
  // endpoint.
  BOOST_REQUIRE(
      holdsWithin([&] { return Mesh.at(0).isReady(); }, milliseconds(8000)));
  BOOST_TEST(holdsWithin([&] { return Mesh.at(0).get("/new/x").Status == 200; },
                         milliseconds(3000)));
  BOOST_TEST(Mesh.at(1).get("/new/x").Status == 200);
}

// Guards against bounds that are read at the start only: the node would keep a
// stop going that the platform ends by killing it.
BOOST_AUTO_TEST_CASE(changedBoundsAreAppliedWithoutARestart) {
  constexpr milliseconds WorkTime{6000};
  constexpr milliseconds ShortGrace{2000};
  TestMesh Mesh({{"k1"}});
  Mesh.Store.put(
      "keyed.op", "config",
      configuration(
          2, R"(,{"name":"slow","type":"non_idempotent","match":)"
             R"({"path_prefix":"/slow/"},"action":{"backend_service":"desk",)"
             R"("timeout_s":9}})"));
  Instance &Only = Mesh.at(0);
  BOOST_REQUIRE(holdsWithin([&] { return Only.get("/slow/x").Status == 200; },
                            ApplyLimit));
  Only.writeSettings("grace_s=2,drain_s=2.5");
  BOOST_REQUIRE(holdsWithin(
      [&] {
        std::ifstream Log(Only.logFile());
        const std::string Text{std::istreambuf_iterator<char>(Log), {}};
        return Text.find("event=reload changed=yes") != std::string::npos;
      },
      ApplyLimit));
  Only.upstream().setBehaviour([WorkTime](const ReceivedRequest &Request) {
    RawResponse Response = completeResponse(Request);
    Response.Delay = WorkTime;
    return Response;
  });
  auto Running = std::async(std::launch::async, [&] {
    return Only.post("/slow/y", "x", "y", milliseconds(9000)).Status;
  });
  BOOST_REQUIRE(holdsWithin(
      [&] {
        const auto Received = Only.upstream().receivedRequests();
        return !Received.empty() &&
               Received.back().Headers.at("x-attempt-id") == "y";
      },
      ApplyLimit));
  Only.node().terminate();
  BOOST_TEST(Only.node().waitFor(ShortGrace).has_value());
  Running.wait();
}

// Guards against a race at startup: nodes that start at the same time each read
// the list of nodes before the others are registered in it, and then know only
// their own upstream.
BOOST_AUTO_TEST_CASE(nodesStartedTogetherDiscoverEachOther) {
  TestMesh Mesh({{"m1", "desk"}, {"m2", "store"}, {"m3", "desk"}});
  for (auto &Item : Mesh.Instances)
    BOOST_TEST(holdsWithin([&] { return Item->get("/other/x").Status == 200; },
                           milliseconds(2000)));
}

BOOST_AUTO_TEST_CASE(nodeWithoutConfigurationIsNotReady) {
  StoreStandIn EmptyStore;
  Instance SingleInstance({"n1"}, EmptyStore.port());
  std::this_thread::sleep_for(milliseconds(700));
  BOOST_TEST(!SingleInstance.isReady());
  BOOST_TEST(SingleInstance.get("/read/x").Status == 503);
}

BOOST_AUTO_TEST_SUITE_END()
