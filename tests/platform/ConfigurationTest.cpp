#include "TestMesh.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <fstream>
#include <future>
#include <iterator>
#include <regex>

using namespace lycheethread::platformtest;

namespace {

using std::chrono::milliseconds;

/// Maximum time until every node applies an accepted configuration.
constexpr milliseconds ApplyLimit{2500};

const std::string NewRule =
    R"(,{"name":"new","type":"idempotent","match":{"path_prefix":"/new/"},)"
    R"("action":{"backend_service":"desk","timeout_s":1}})";

/// Returns \p Text with \p Number in place of each of its numbers.
std::string withNumbers(const std::string &Text, const std::string &Number) {
  static const std::regex Stated(R"(":[0-9.]+)");
  return std::regex_replace(Text, Stated, "\":" + Number);
}

} // namespace

BOOST_AUTO_TEST_SUITE(Configuration)

BOOST_AUTO_TEST_CASE(changeIsAppliedOnAllNodesInTime) {
  TestMesh Mesh({{"a1"}, {"a2"}, {"a3"}, {"a4"}, {"a5"}});
  Mesh.Store.put("keyed.op", "config", configuration(4, NewRule));
  for (auto &Item : Mesh.Instances)
    BOOST_TEST(holdsWithin([&] { return Item->get("/new/x").Status == 200; },
                           ApplyLimit));
}

// Guards against a configuration that every node rejects as a whole since one
// of its weights is no whole number.
BOOST_AUTO_TEST_CASE(fractionalWeightsAreAppliedOnAllNodes) {
  TestMesh Mesh({{"e1"}, {"e2"}, {"e3", "store"}});
  Mesh.Store.put(
      "keyed.op", "config",
      configuration(
          4, NewRule +
                 R"(,{"name":"split","type":"idempotent","match":)"
                 R"({"path_prefix":"/split/"},"action":{"traffic_split":[)"
                 R"({"backend_service":"desk","weight":99.5},)"
                 R"({"backend_service":"store","weight":0.5}],)"
                 R"("timeout_s":1}})"));
  for (auto &Item : Mesh.Instances)
    BOOST_TEST(holdsWithin([&] { return Item->get("/new/x").Status == 200; },
                           ApplyLimit));
  constexpr int Requests = 400;
  for (int Count = 0; Count < Requests; ++Count)
    BOOST_TEST(Mesh.at(0).get("/split/x").Status == 200);
  const auto Received = Mesh.at(2).upstream().receivedRequests();
  const auto OnStore =
      std::count_if(Received.begin(), Received.end(), [](const auto &Request) {
        return Request.RequestLine.find(" /split/") != std::string::npos;
      });
  BOOST_TEST(OnStore >= 1);
  BOOST_TEST(OnStore <= 3);
}

// Guards against a configuration that is rejected for the size or the form of a
// number, and against limits that overflow where they are used.
BOOST_AUTO_TEST_CASE(numbersOfAnySizeServeRequests) {
  TestMesh Mesh({{"f1"}, {"f2", "store"}});
  Mesh.at(0).setColdRemaining(60);
  int Version = 4;
  for (const char *Number : {"1048576", "99999.5", "4294967296.0",
                             "18446744073709551615", "1e300"}) {
    const std::string Path = "/n" + std::to_string(Version) + "/";
    const std::string Rule =
        R"(,{"name":"n","type":"idempotent","match":{"path_prefix":")" + Path +
        R"("},"action":{"backend_service":"store","timeout_s":1}})";
    Mesh.Store.put(
        "keyed.op", "config",
        withNumbers(configuration(Version, Rule, R"(,"cold_per_s":1)"),
                    Number));
    ++Version;
    for (auto &Item : Mesh.Instances) {
      BOOST_TEST(holdsWithin([&] { return Item->get(Path).Status == 200; },
                             ApplyLimit),
                 Number);
      BOOST_TEST(Item->get("/read/x").Status == 200, Number);
      BOOST_TEST(Item->post("/write/x", "x").Status == 200, Number);
      BOOST_TEST(Item->get("/other/x").Status == 200, Number);
    }
  }
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
