#include "mesh/Mesh.h"

#include <boost/test/unit_test.hpp>

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
  SplitState State;
  std::map<std::string, int> Seen;
  for (int Count = 0; Count < 20; ++Count)
    ++Seen[chooseService(Route, State)->str()];
  BOOST_TEST(Seen["x"] == 18);
  BOOST_TEST(Seen["y"] == 2);
}

BOOST_AUTO_TEST_SUITE_END()
