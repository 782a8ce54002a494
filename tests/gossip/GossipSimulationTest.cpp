#define BOOST_TEST_MODULE GossipSimulation
#include "GossipSimulation.h"

#include <boost/test/unit_test.hpp>

using namespace lycheethread::gossiptest;

namespace {

SimulationResult resultOf(Design Used, int Nodes, std::uint64_t Seed) {
  SimulationPlan Plan;
  Plan.Used = Used;
  Plan.Nodes = Nodes;
  Plan.Seconds = 18;
  Plan.Seed = Seed;
  const SimulationResult Result = simulate(Plan);
  BOOST_TEST_MESSAGE(toRow(Plan, Result));
  return Result;
}

} // namespace

// Guards against loads that are seconds old in the own zone, nodes that count
// as gone although they live, and an order that does not reach all nodes: the
// large fleet sent past idle upstreams to another region.
BOOST_AUTO_TEST_CASE(loadsStayFreshInALargeFleet) {
  const SimulationResult Result = resultOf(Design::StatesAndLoads, 300, 1);
  BOOST_TEST(Result.ZoneAgeMs <= 1000);
  BOOST_TEST(Result.GoneShare <= 0.001);
  BOOST_TEST(Result.UnknownShare <= 0.001);
  BOOST_TEST(Result.SpreadMs >= 0);
  BOOST_TEST(Result.SpreadMs <= 1000);
}

// Guards against a change that is worse than the earlier design at any size.
BOOST_AUTO_TEST_CASE(loadsAreFresherThanWithWholeReports) {
  for (const int Nodes : {30, 100, 200}) {
    const SimulationResult Before = resultOf(Design::WholeReports, Nodes, 2);
    const SimulationResult After = resultOf(Design::StatesAndLoads, Nodes, 2);
    BOOST_TEST(After.ZoneAgeMs <= Before.ZoneAgeMs * 1.05);
    BOOST_TEST(After.AgeMs <= Before.AgeMs * 1.05);
    BOOST_TEST(After.GoneShare <= Before.GoneShare);
    BOOST_TEST(After.RegionLinkBytesPerSecond <=
               Before.RegionLinkBytesPerSecond * 1.05);
  }
}
