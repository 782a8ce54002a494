#include "World.h"

#include <boost/test/unit_test.hpp>

using namespace lycheethread::platformtest;

namespace {

using std::chrono::milliseconds;

/// Time within which an accepted configuration must be in force.
constexpr milliseconds ApplyLimit{2500};

const std::string NewRule =
    R"(,{"name":"new","type":"idempotent","match":{"path_prefix":"/new/"},)"
    R"("action":{"backend_service":"desk","timeout_s":1}})";

} // namespace

BOOST_AUTO_TEST_SUITE(Configuration)

BOOST_AUTO_TEST_CASE(changeIsInForceEverywhereInTime) {
  World Used({{"a1"}, {"a2"}, {"a3"}, {"a4"}, {"a5"}});
  Used.Store.put("keyed.op", "config", configuration(4, NewRule));
  for (auto &Item : Used.Instances)
    BOOST_TEST(
        becomes([&] { return Item->get("/new/x").Status == 200; }, ApplyLimit));
}

// Guards against a node that returns to an older configuration, or takes a
// broken one in part.
BOOST_AUTO_TEST_CASE(olderAndBrokenOnesAreIgnored) {
  World Used({{"b1"}}, 5);
  Used.Store.put("keyed.op", "config", configuration(7, NewRule));
  BOOST_REQUIRE(becomes([&] { return Used.at(0).get("/new/x").Status == 200; },
                        ApplyLimit));
  Used.Store.put("keyed.op", "config", configuration(6));
  Used.Store.put("keyed.op", "config", configuration(9).substr(0, 500));
  std::this_thread::sleep_for(ApplyLimit);
  BOOST_TEST(Used.at(0).get("/new/x").Status == 200);
}

// Guards against a change that is missed with the dropped history.
BOOST_AUTO_TEST_CASE(droppedHistoryLosesNoChange) {
  World Used({{"d1"}, {"d2"}});
  Used.Store.setDown(true);
  Used.Store.put("keyed.op", "config", configuration(3, NewRule));
  Used.Store.dropHistory();
  Used.Store.setDown(false);
  for (auto &Item : Used.Instances)
    BOOST_TEST(becomes([&] { return Item->get("/new/x").Status == 200; },
                       ApplyLimit + milliseconds(1500)));
}

// Guards against a restarted node that serves an older configuration, or
// nothing, while the store is down.
BOOST_AUTO_TEST_CASE(restartWithoutTheStoreTakesThePeersConfiguration) {
  World Used({{"w1"}, {"w2"}});
  Used.Store.put("keyed.op", "config", configuration(8, NewRule));
  for (auto &Item : Used.Instances)
    BOOST_REQUIRE(
        becomes([&] { return Item->get("/new/x").Status == 200; }, ApplyLimit));
  Used.Store.setDown(true);
  Used.at(0).node().kill();
  Used.at(0).startNode();
  // Its peer knows it and sends news to the same endpoint.
  BOOST_REQUIRE(
      becomes([&] { return Used.at(0).isReady(); }, milliseconds(8000)));
  BOOST_TEST(becomes([&] { return Used.at(0).get("/new/x").Status == 200; },
                     milliseconds(3000)));
  BOOST_TEST(Used.at(1).get("/new/x").Status == 200);
}

// Guards against nodes that start together and each read the list of nodes
// before the other one stood in it: both would know only their own upstream.
BOOST_AUTO_TEST_CASE(nodesThatStartTogetherFindEachOther) {
  World Used({{"m1", "desk"}, {"m2", "store"}, {"m3", "desk"}});
  for (auto &Item : Used.Instances)
    BOOST_TEST(becomes([&] { return Item->get("/other/x").Status == 200; },
                       milliseconds(2000)));
}

BOOST_AUTO_TEST_CASE(nodeWithoutConfigurationIsNotReady) {
  StoreStandIn Empty;
  Instance Alone({"n1"}, Empty.port());
  std::this_thread::sleep_for(milliseconds(700));
  BOOST_TEST(!Alone.isReady());
  BOOST_TEST(Alone.get("/read/x").Status == 503);
}

BOOST_AUTO_TEST_SUITE_END()
