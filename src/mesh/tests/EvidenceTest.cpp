#include "mesh/Mesh.h"

#include <boost/test/unit_test.hpp>

using namespace lycheethread;
using namespace lycheethread::mesh;

namespace {

constexpr Offset Order{7};

RouteEvidence route(const std::string &Name, std::int32_t Good,
                    std::int32_t Bad) {
  return {RouteName(Name), Good, Bad, Good, Milliseconds(80 * Good)};
}

EvidenceByRoute evidence(const std::vector<RouteEvidence> &Routes) {
  EvidenceByRoute All;
  for (const RouteEvidence &Item : Routes)
    All[Item.Route] = Item;
  return All;
}

/// Reports with room for the sum and \p Routes more.
EvidencePlan planFor(std::size_t Routes, std::size_t MaxReports) {
  return {(Routes + 1) * 10, MaxReports,
          [](const RouteEvidence &) -> std::size_t { return 10; }};
}

EvidenceReport reportOf(std::int64_t Life, const RouteEvidence &Item) {
  return {NodeId("a"), Incarnation(Life), Order, {Item}};
}

} // namespace

BOOST_AUTO_TEST_SUITE(Evidence)

// Guards against an upstream without outcomes that looks like a silent one.
BOOST_AUTO_TEST_CASE(upstreamWithoutOutcomesReportsThat) {
  EvidenceCursor State;
  const auto Reports = composeEvidence(Order, {}, planFor(2, 3), State);
  BOOST_REQUIRE(Reports.size() == 1U);
  BOOST_REQUIRE(Reports[0].Routes.size() == 1U);
  BOOST_TEST(Reports[0].Routes[0].Route.empty());
  BOOST_TEST(Reports[0].Routes[0].Good == 0);
}

// Guards against failures that wait behind routes without any, and against a
// fault of all routes together that is seen only once all have been told.
BOOST_AUTO_TEST_CASE(newFailuresGoFirst) {
  EvidenceByRoute Own;
  for (int At = 0; At < 50; ++At) {
    const RouteEvidence Item = route("r" + std::to_string(At), 5, 0);
    Own[Item.Route] = Item;
  }
  Own[RouteName("r33")].Bad = 4;
  EvidenceCursor State;
  const auto Reports = composeEvidence(Order, Own, planFor(3, 2), State);
  BOOST_REQUIRE(Reports.size() == 2U);
  for (const EvidenceReport &Part : Reports) {
    BOOST_TEST(Part.Routes.size() == 4U);
    BOOST_TEST(Part.Routes[0].Route.empty());
    BOOST_TEST(Part.Routes[0].Bad == 4);
    BOOST_TEST(Part.Routes[0].Good == 250);
  }
  BOOST_TEST(Reports[0].Routes[1].Route.str() == "r33");
}

// Guards against a node that begins to judge, or has missed a datagram, and
// never gets the outcomes of routes that are used no more.
BOOST_AUTO_TEST_CASE(unchangedRoutesAreToldAgain) {
  EvidenceByRoute Own;
  for (int At = 0; At < 50; ++At) {
    const RouteEvidence Item = route("r" + std::to_string(At), 5, 0);
    Own[Item.Route] = Item;
  }
  EvidenceCursor State;
  for (int Round = 0; Round < 20; ++Round)
    composeEvidence(Order, Own, planFor(3, 2), State);
  std::map<NodeId, KnownEvidence> Known;
  for (int Round = 0; Round < 20; ++Round) {
    const auto Reports = composeEvidence(Order, Own, planFor(3, 2), State);
    // What is told again takes one datagram.
    BOOST_TEST_REQUIRE(Reports.size() == 1U);
    EvidenceReport Part = Reports.front();
    Part.Node = NodeId("a");
    mergeEvidence(Known, Part, SteadyTime(1));
  }
  BOOST_TEST(Known.at(NodeId("a")).Routes.size() == 51U);
}

// Guards against a route with a long name that keeps the others from being
// told; its outcomes are in the sum.
BOOST_AUTO_TEST_CASE(routeThatFitsNoDatagramIsInTheSum) {
  EvidencePlan Plan = planFor(3, 2);
  Plan.RouteBytes = [](const RouteEvidence &Item) -> std::size_t {
    return Item.Route.str() == "long" ? 1000 : 10;
  };
  EvidenceCursor State;
  const auto Reports = composeEvidence(
      Order, evidence({route("long", 1, 8), route("short", 2, 0)}), Plan,
      State);
  BOOST_REQUIRE(Reports.size() == 1U);
  BOOST_TEST(Reports[0].Routes[0].Bad == 8);
  BOOST_TEST(Reports[0].Routes[1].Route.str() == "short");
}

// Guards against outcomes that are taken back by a datagram that was overtaken,
// or kept after the node was restarted.
BOOST_AUTO_TEST_CASE(newestCountsOfTheNewestIncarnationCount) {
  std::map<NodeId, KnownEvidence> Known;
  const auto Bad = [&] {
    return Known.at(NodeId("a")).Routes.at(RouteName("r")).Bad;
  };
  mergeEvidence(Known, reportOf(2, route("r", 20, 6)), SteadyTime(5));
  mergeEvidence(Known, reportOf(2, route("r", 10, 3)), SteadyTime(4));
  BOOST_TEST(Bad() == 6);
  BOOST_TEST((Known.at(NodeId("a")).At == SteadyTime(5)));
  BOOST_TEST(
      !mergeEvidence(Known, reportOf(1, route("r", 90, 90)), SteadyTime(6)));
  BOOST_TEST(Bad() == 6);
  BOOST_TEST(
      mergeEvidence(Known, reportOf(3, route("r", 2, 1)), SteadyTime(7)));
  BOOST_TEST(Bad() == 1);
  EvidenceReport OldOrder = reportOf(3, route("r", 50, 50));
  OldOrder.Order = Offset(6);
  BOOST_TEST(!mergeEvidence(Known, OldOrder, SteadyTime(8)));
  BOOST_TEST(Bad() == 1);
}

BOOST_AUTO_TEST_CASE(evidenceSinceAShareLeavesOutWhatWasBefore) {
  const EvidenceByRoute Before = evidence({route("r", 10, 2)});
  const RouteEvidence Since = evidenceSince(Before, route("r", 15, 6));
  BOOST_TEST(Since.Good == 5);
  BOOST_TEST(Since.Bad == 4);
  BOOST_TEST(Since.TotalTime.count() == 400);
  // A restarted node counts from zero.
  BOOST_TEST(evidenceSince(Before, route("r", 3, 1)).Good == 3);
}

BOOST_AUTO_TEST_SUITE_END()
