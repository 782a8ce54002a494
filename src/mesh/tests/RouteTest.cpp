#include "mesh/Mesh.h"

#include <boost/test/unit_test.hpp>

#include <cmath>
#include <map>

using namespace lycheethread;
using namespace lycheethread::mesh;

namespace {

MeshRoute route(const std::string &Prefix) {
  MeshRoute Result;
  Result.Name = RouteName("r" + Prefix);
  Result.Prefix = Prefix;
  return Result;
}

MeshConfig configWith(const std::vector<std::string> &Prefixes) {
  MeshConfig Config;
  for (const std::string &Prefix : Prefixes)
    Config.Hosts["shop.example"][Prefix] = route(Prefix);
  return Config;
}

std::string found(const MeshConfig &Config, const std::string &Target) {
  const MeshRoute *Route = findRoute(Config, "Shop.example:80", Target);
  return Route == nullptr ? "" : Route->Prefix;
}

} // namespace

BOOST_AUTO_TEST_SUITE(Routes)

// Guards against routing a request to the service of a shorter prefix.
BOOST_AUTO_TEST_CASE(longestPrefixWins) {
  const MeshConfig Config = configWith({"/", "/a/", "/a/b/"});
  BOOST_TEST(found(Config, "/a/b/c?x=/z/") == "/a/b/");
  BOOST_TEST(found(Config, "/a/b") == "/a/");
  BOOST_TEST(found(Config, "/a") == "/");
  BOOST_TEST(found(Config, "/ab/") == "/");
}

// Guards against a route that counts as waiting behind all others although the
// queue serves it before routes with a longer objective.
BOOST_AUTO_TEST_CASE(routeWithTheLongestObjectiveIsServedLast) {
  const ServiceName Service("s");
  MeshConfig Config = configWith({"/call/", "/lookup/", "/order/"});
  Config.Services[Service] = {};
  auto &Routes = Config.Hosts["shop.example"];
  for (auto &[Prefix, Route] : Routes) {
    Route.Parts = {{Service, 1}};
    Route.Timeout = Milliseconds(1200);
  }
  Routes["/call/"].Rank = 1;
  Routes["/call/"].LatencyObjective = Milliseconds(120);
  Routes["/lookup/"].Rank = 1;
  updateLeastUrgent(Config);
  BOOST_TEST(
      !isServedLast(Config, Service, Routes["/call/"], Routes["/call/"].Rank));
  BOOST_TEST(isServedLast(Config, Service, Routes["/lookup/"],
                          Routes["/lookup/"].Rank));
  BOOST_TEST(!isServedLast(Config, Service, Routes["/order/"],
                           Routes["/order/"].Rank));
}

BOOST_AUTO_TEST_CASE(noRouteIsNull) {
  const MeshConfig Config = configWith({"/a/"});
  BOOST_TEST(found(Config, "/b/") == "");
  BOOST_TEST(found(Config, "/") == "");
  BOOST_TEST((findRoute(Config, "other.example", "/a/") == nullptr));
}

// Guards against weights that are only met over very many requests: each node
// sees a small part of a route's traffic.
BOOST_AUTO_TEST_CASE(splitMeetsItsWeightsOverFewRequests) {
  MeshRoute Route = route("/a/");
  Route.Parts = {{ServiceName("x"), 90}, {ServiceName("y"), 10}};
  for (unsigned Seed = 0; Seed < 100; ++Seed) {
    std::mt19937_64 Random(Seed);
    SplitState State;
    std::map<std::string, int> Seen;
    for (int Count = 0; Count < 20; ++Count)
      ++Seen[chooseService(Route, State, Random)->str()];
    BOOST_TEST(std::abs(Seen["x"] - 18) <= 1);
    BOOST_TEST(Seen["x"] + Seen["y"] == 20);
  }
}

// Guards against shares that are lost in rounding or in a sum that is infinite:
// a weight may be any number above 0.
BOOST_AUTO_TEST_CASE(splitMeetsWeightsOfAnySize) {
  constexpr int Requests = 2000;
  const std::vector<std::pair<double, double>> Cases{
      {99.5, 0.5},      {0.1, 0.2},       {3e9, 1e9},
      {1e-9, 3e-9},     {1e-300, 1e-300}, {5e-324, 5e-324},
      {1e308, 1.5e308}, {1e308, 1e-308},  {1, 1e12}};
  for (const auto &[First, Second] : Cases) {
    MeshRoute Route = route("/a/");
    Route.Parts = {{ServiceName("x"), First}, {ServiceName("y"), Second}};
    const double Wanted = Requests / (1 + Second / First);
    for (unsigned Seed = 0; Seed < 20; ++Seed) {
      std::mt19937_64 Random(Seed);
      SplitState State;
      int OnX = 0;
      for (int Count = 0; Count < Requests; ++Count)
        OnX += chooseService(Route, State, Random)->str() == "x" ? 1 : 0;
      BOOST_TEST(std::abs(OnX - Wanted) <= 4, First << " to " << Second);
    }
  }
}

// Guards against a split that holds on each node but not over the fleet: with a
// request or none a node, the first choice of every node decides the shares.
BOOST_AUTO_TEST_CASE(splitHoldsOverTheFleetWithFewRequestsANode) {
  MeshRoute Route = route("/a/");
  Route.Parts = {{ServiceName("x"), 70}, {ServiceName("y"), 30}};
  constexpr int Requests = 300;
  for (const std::size_t Nodes : {13U, 80U, 195U, 1000U}) {
    std::mt19937_64 Random(Nodes);
    double Error = 0;
    constexpr int Rounds = 50;
    for (int Round = 0; Round < Rounds; ++Round) {
      std::vector<SplitState> States(Nodes);
      int OnX = 0;
      for (int Count = 0; Count < Requests; ++Count) {
        SplitState &State = States[Random() % Nodes];
        OnX += chooseService(Route, State, Random)->str() == "x" ? 1 : 0;
      }
      Error += static_cast<double>(OnX) / Requests - 0.7;
    }
    BOOST_TEST_MESSAGE(Nodes << " nodes: mean error of the share "
                             << Error / Rounds);
    BOOST_TEST(std::abs(Error / Rounds) <= 0.02);
  }
}

// Guards against a change of weights that is met only after the old position
// has been worked off.
BOOST_AUTO_TEST_CASE(changedWeightsHoldFromTheNextRequest) {
  MeshRoute Route = route("/a/");
  Route.Parts = {{ServiceName("x"), 90}, {ServiceName("y"), 10}};
  std::mt19937_64 Random(1);
  SplitState State;
  for (int Count = 0; Count < 7; ++Count)
    chooseService(Route, State, Random);
  Route.Parts = {
      {ServiceName("x"), 10}, {ServiceName("y"), 85}, {ServiceName("x"), 5}};
  std::map<std::string, int> Seen;
  for (int Count = 0; Count < 100; ++Count)
    ++Seen[chooseService(Route, State, Random)->str()];
  BOOST_TEST(std::abs(Seen["x"] - 15) <= 2);
  BOOST_TEST(std::abs(Seen["y"] - 85) <= 2);
}

BOOST_AUTO_TEST_SUITE_END()
