#include "ConfigFixture.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <functional>

using namespace lycheethread;
using namespace lycheethread::configcheck;

namespace {

using Lines = std::vector<std::string>;

/// Returns the differences that \p Apply makes, but for the version.
Lines changesOf(const std::function<void(StatedConfig &)> &Apply) {
  ParsedConfig Next = makeConfig();
  Next.Config.Version = mesh::ConfigVersion(8);
  Apply(Next.Config);
  Lines Found;
  for (const Difference &Item : compare(Next, makeConfig()).Differences)
    if (Item.Field != "version")
      Found.push_back(toString(Item));
  return Found;
}

struct ChangeCase {
  std::function<void(StatedConfig &)> Apply;
  Lines Expected;
};

void splitParts(StatedConfig &Config, std::vector<mesh::SplitPart> Parts) {
  Config.Routes[0].Route.Parts = std::move(Parts);
}

const ServiceName X("x");
const ServiceName Y("y");

const std::vector<ChangeCase> Cases{
    {[](StatedConfig &C) { C.Routes.pop_back(); },
     {"route b: removed: shop.example/b/ to y"}},
    {[](StatedConfig &C) { C.Routes.push_back(makeRoute("c", 2, "x")); },
     {"route c: added: shop.example/c/ to x"}},
    {[](StatedConfig &C) {
       splitParts(C, {{Y, 1}});
     },
     {"route a: service: x -> y"}},
    {[](StatedConfig &C) {
       splitParts(C, {{X, 90}, {Y, 10}});
     },
     {"route a: service: x -> x, y", "route a: weights: x 1 -> x 9, y 1"}},
    {[](StatedConfig &C) {
       splitParts(C, {{X, 99.5}, {Y, 0.5}});
     },
     {"route a: service: x -> x, y", "route a: weights: x 1 -> x 199, y 1"}},
    {[](StatedConfig &C) {
       splitParts(C, {{X, 2147483647}, {Y, 2147483646}});
     },
     {"route a: service: x -> x, y",
      "route a: weights: x 1 -> x 2147483647, y 2147483646"}},
    {[](StatedConfig &C) { C.Routes[0].Route.Prefix = "/d/"; },
     {"route a: match: shop.example/a/ -> shop.example/d/"}},
    {[](StatedConfig &C) {
       mesh::MeshRoute &Route = C.Routes[0].Route;
       Route.Class = RequestClass::OnceOnly;
       Route.Timeout = Milliseconds(900);
       Route.MaxAttempts = 3;
       Route.LatencyObjective = Milliseconds(300);
       Route.Rank = 4;
       Route.IsPublic = true;
       Route.AllowedRegions = {Region("west"), Region("east")};
     },
     {"route a: type: idempotent -> non_idempotent",
      "route a: timeout: 800 ms -> 900 ms", "route a: attempts: 1 -> 3",
      "route a: objective: 400 ms -> 300 ms", "route a: priority: 0 -> 4",
      "route a: public: no -> yes",
      "route a: allowed regions: any -> east, west"}},
    {[](StatedConfig &C) {
       C.Services[0].Service.MaxConnections = 50;
       C.Services[0].Service.ColdPerSecond = 2.5;
       C.Services[0].ColdStart = 8;
     },
     {"service x: connections: 100 -> 50",
      "service x: cold requests per s: none -> 2.5",
      "service x: cold start in s: none -> 8"}},
    {[](StatedConfig &C) { C.Services.pop_back(); },
     {"service y: removed: 100 connections"}},
    {[](StatedConfig &C) {
       C.Limits.MaxBodyBytes = 5;
       C.Limits.IdleTimeout = Milliseconds(9000);
     },
     {"limits: max_body_bytes: 67108864 -> 5",
      "limits: idle_timeout: 15000 ms -> 9000 ms"}},
    {[](StatedConfig &C) {
       C.Organisations[0].Keys = {"secret-3", "secret-4"};
       C.Organisations[0].Item.Limit = {60, 20};
       C.Organisations[0].Item.Rank = 1;
       C.Organisations[0].Item.AllowedRegions = {Region("east")};
     },
     {"organisation north: keys: 1 key -> 2 keys (2 added, 1 removed)",
      "organisation north: quota: 50 per s, burst 20 -> 60 per s, burst 20",
      "organisation north: priority: 0 -> 1",
      "organisation north: allowed regions: any -> east"}},
    // The number of keys is the same, the keys are not.
    {[](StatedConfig &C) { C.Organisations[0].Keys = {"secret-3"}; },
     {"organisation north: keys: 1 key -> 1 key (1 added, 1 removed)"}},
    {[](StatedConfig &C) {
       C.Organisations.pop_back();
       C.Organisations.push_back(makeOrganisation("east", 1, {"secret-2"}));
       C.Organisations[1].Item.Limit.reset();
     },
     {"organisation south: removed: 1 key, quota 50 per s, burst 20",
      "organisation east: added: 1 key, quota none"}},
};

} // namespace

BOOST_AUTO_TEST_SUITE(Compare)

// Guards against changes that an operator does not see before publishing, and
// against keys in the output.
BOOST_AUTO_TEST_CASE(eachChangeOfMeaningIsShown) {
  for (const ChangeCase &Item : Cases) {
    const Lines Found = changesOf(Item.Apply);
    BOOST_TEST(Found == Item.Expected, boost::test_tools::per_element());
    for (const std::string &Line : Found)
      BOOST_TEST(Line.find("secret") == std::string::npos);
  }
}

// Guards against differences that hide the real ones: of order, of weights with
// the same ratio and of parts without weight.
BOOST_AUTO_TEST_CASE(orderAndSpellingMakeNoDifference) {
  BOOST_TEST(changesOf([](StatedConfig &C) {
               std::reverse(C.Routes.begin(), C.Routes.end());
               std::reverse(C.Services.begin(), C.Services.end());
               std::reverse(C.Organisations.begin(), C.Organisations.end());
             }).empty());
  BOOST_TEST(changesOf([](StatedConfig &C) {
               splitParts(C, {{X, 40}, {X, 60}});
               C.Routes[0].Parts.push_back({"", Y, 0});
             }).empty());
  BOOST_TEST(changesOf([](StatedConfig &C) {
               C.Organisations[0].Keys.push_back("secret-1");
             }).empty());
}

// Guards against weights that are shown as changed where only their form is.
BOOST_AUTO_TEST_CASE(weightsWithTheSameRatioMakeNoDifference) {
  const auto With = [](std::vector<mesh::SplitPart> Parts) {
    ParsedConfig Parsed = makeConfig();
    splitParts(Parsed.Config, std::move(Parts));
    return Parsed;
  };
  using Parts = std::vector<mesh::SplitPart>;
  const std::vector<std::pair<Parts, Parts>> Same{
      {{{X, 199}, {Y, 1}}, {{X, 99.5}, {Y, 0.5}}},
      {{{X, 7}, {Y, 93}}, {{X, 0.07}, {Y, 0.93}}},
      {{{X, 1}, {Y, 2}}, {{X, 1.0 / 3}, {Y, 2.0 / 3}}},
      {{{X, 1}, {Y, 1}}, {{X, 1e308}, {X, 5e307}, {Y, 1.5e308}}},
      {{{X, 3}, {Y, 1}}, {{X, 3e-300}, {Y, 1e-300}}},
      {{{X, 10000000}, {Y, 1}}, {{X, 1000000}, {Y, 0.1}}}};
  for (const auto &[From, To] : Same)
    for (const Difference &Item : compare(With(To), With(From)).Differences)
      BOOST_TEST(Item.Subject == "configuration", toString(Item));
}

// Guards against a configuration that is published and never taken, since its
// version is not above the one in force.
BOOST_AUTO_TEST_CASE(versionHasToBeAboveTheOneInForce) {
  ParsedConfig Next = makeConfig();
  Next.Lines = {{"version", 3}};
  for (const int Version : {6, 7}) {
    Next.Config.Version = mesh::ConfigVersion(Version);
    const Comparison Result = compare(Next, makeConfig());
    BOOST_REQUIRE(Result.Errors.size() == 1U);
    BOOST_TEST(Result.Errors[0].Key == "version");
    BOOST_TEST(Result.Errors[0].Line == 3);
    BOOST_TEST(Result.Errors[0].Allowed == "r8 or more");
  }
  Next.Config.Version = mesh::ConfigVersion(8);
  const Comparison Result = compare(Next, makeConfig());
  BOOST_TEST(Result.Errors.empty());
  BOOST_REQUIRE(Result.Differences.size() == 1U);
  BOOST_TEST(toString(Result.Differences[0]) ==
             "configuration: version: r7 -> r8");
}

BOOST_AUTO_TEST_SUITE_END()
