#include "ConfigFixture.h"

#include <boost/test/unit_test.hpp>

#include <functional>

using namespace lycheethread;
using namespace lycheethread::configcheck;

namespace {

using Change = std::function<void(StatedConfig &)>;

struct BadCase {
  const char *Place;
  /// Part of the problem.
  const char *Problem;
  Change Apply;
};

const std::string Action0 = "listeners[0].policy[0].action";

mesh::MeshRoute &route(StatedConfig &Config, std::size_t Index = 0) {
  return Config.Routes.at(Index).Route;
}

organisations::Organisation &organisation(StatedConfig &Config,
                                          std::size_t Index = 0) {
  return Config.Organisations.at(Index).Item;
}

void split(StatedConfig &Config, double First, double Second) {
  StatedRoute &Rule = Config.Routes.front();
  const std::string List = Rule.At + ".action.traffic_split";
  Rule.Parts = {{List + "[0]", ServiceName("x"), First},
                {List + "[1]", ServiceName("y"), Second}};
  Rule.Route.Parts.clear();
  for (const StatedPart &Part : Rule.Parts)
    if (Part.Weight > 0)
      Rule.Route.Parts.push_back({Part.Service, Part.Weight});
}

const std::vector<BadCase> Errors{
    {"listeners[0].policy[1].action.backend_service",
     "\"z\" is not in clusters",
     [](StatedConfig &C) { C.Routes[1].Parts[0].Service = ServiceName("z"); }},
    {"clusters", "no service is defined",
     [](StatedConfig &C) { C.Services.clear(); }},
    {"listeners[1].hostname", "is defined before, at listeners[0].hostname",
     [](StatedConfig &C) {
       C.Listeners.push_back({"listeners[1]", "shop.example"});
     }},
    {"listeners[0].policy[1].match.path_prefix", "is defined before",
     [](StatedConfig &C) { route(C, 1).Prefix = "/a/"; }},
    {"listeners[0].policy[0].match.path_prefix", "begin and end with a slash",
     [](StatedConfig &C) { route(C).Prefix = "/a"; }},
    {"listeners[0].policy[0].match.path_prefix", "begin and end with a slash",
     [](StatedConfig &C) { route(C).Prefix = "a/"; }},
    {"listeners[0].policy[0].match.path_prefix", "begin and end with a slash",
     [](StatedConfig &C) { route(C).Prefix = ""; }},
    {"listeners[0].policy[1].name", "route \"a\" is defined before",
     [](StatedConfig &C) { route(C, 1).Name = RouteName("a"); }},
    {"listeners[0].policy[0].name", "is empty",
     [](StatedConfig &C) { route(C).Name = RouteName(""); }},
    {"clusters[2].name", "service \"x\" is defined before",
     [](StatedConfig &C) {
       C.Services.push_back(C.Services[0]);
       C.Services[2].At = "clusters[2]";
     }},
    {"tenants[1].name", "organisation \"north\" is defined before",
     [](StatedConfig &C) { organisation(C, 1).Name = organisation(C).Name; }},
    {"tenants[1].api_keys[1]", "is held before, at tenants[0].api_keys[0]",
     [](StatedConfig &C) { C.Organisations[1].Keys.push_back("secret-1"); }},
    {"tenants[0].api_keys[1]", "is held before, at tenants[0].api_keys[0]",
     [](StatedConfig &C) { C.Organisations[0].Keys.push_back("secret-1"); }},
    {"listeners[0].policy[0].action.timeout_s", "is not positive",
     [](StatedConfig &C) { route(C).Timeout = Milliseconds(0); }},
    {"listeners[0].policy[0].action.timeout_s", "is not positive",
     [](StatedConfig &C) { route(C).Timeout = Milliseconds(-1); }},
    {"listeners[0].policy[0].target_latency_s", "is negative",
     [](StatedConfig &C) { route(C).LatencyObjective = Milliseconds(-1); }},
    {"limits.idle_timeout_s", "is not positive",
     [](StatedConfig &C) {
       C.Limits.HeadTimeout = Milliseconds(1);
       C.Limits.IdleTimeout = Milliseconds(0);
     }},
    {"limits.header_timeout_s", "is not positive",
     [](StatedConfig &C) { C.Limits.HeadTimeout = Milliseconds(0); }},
    {"listeners[0].policy[0].action.traffic_split", "all weights are 0",
     [](StatedConfig &C) { split(C, 0, 0); }},
};

const std::vector<BadCase> Warnings{
    {"listeners[0].policy[0].action.traffic_split[1].weight",
     "gets no requests", [](StatedConfig &C) { split(C, 5, 0); }},
    {"listeners[0].policy[0].action.traffic_split", "has no parts",
     [](StatedConfig &C) { C.Routes[0].Parts.clear(); }},
    {"listeners[0].policy[0].match.path_prefix", "matches no request",
     [](StatedConfig &C) { route(C).Prefix = "/a?b/"; }},
    {"listeners[0].hostname", "matches no request",
     [](StatedConfig &C) { C.Listeners[0].Host = "shop.example:80"; }},
    {"tenants[0].api_keys", "organisation \"north\" has no keys",
     [](StatedConfig &C) { C.Organisations[0].Keys.clear(); }},
    {"tenants[0].api_keys[0]", "matches no request",
     [](StatedConfig &C) { C.Organisations[0].Keys[0] = ""; }},
    {"tenants[0].api_keys[0]", "matches no request",
     [](StatedConfig &C) { C.Organisations[0].Keys[0] = "secret-1 "; }},
    {"listeners[0].policy[0].action.allowed_regions",
     "no organisation can use the route",
     [](StatedConfig &C) {
       route(C).AllowedRegions = {Region("east")};
       organisation(C, 0).AllowedRegions = {Region("west")};
       organisation(C, 1).AllowedRegions = {Region("west")};
     }},
    {"listeners[0].policy[0].action.allowed_regions[1]",
     "no availability zone is in region \"moon\"",
     [](StatedConfig &C) {
       route(C).AllowedRegions = {Region("east"), Region("moon")};
     }},
    {"tenants[1].allowed_regions[0]",
     "no availability zone is in region \"moon\"",
     [](StatedConfig &C) {
       organisation(C, 1).AllowedRegions = {Region("moon")};
     }},
    {"listeners[0].policy[0].action.timeout_s", "is below target_latency_s",
     [](StatedConfig &C) { route(C).Timeout = Milliseconds(399); }},
    {"listeners[0].policy[0].action.attempts", "is 0; 1 is used",
     [](StatedConfig &C) { C.Routes[0].Attempts = 0; }},
    {"listeners[0].policy[0].action.attempts", "is 11",
     [](StatedConfig &C) { C.Routes[0].Attempts = 11; }},
    {"tenants[0].burst", "is below one request",
     [](StatedConfig &C) {
       organisation(C).Limit = {2, 0.5};
     }},
    {"tenants[0].burst", "is below a tenth of a second",
     [](StatedConfig &C) {
       organisation(C).Limit = {100, 9};
     }},
    {"limits.max_body_bytes", "every request with a body is refused",
     [](StatedConfig &C) { C.Limits.MaxBodyBytes = 0; }},
    {"limits.max_header_bytes", "every request is refused",
     [](StatedConfig &C) { C.Limits.MaxHeadBytes = 0; }},
    {"limits.header_timeout_s", "is above idle_timeout_s",
     [](StatedConfig &C) { C.Limits.HeadTimeout = Milliseconds(15'001); }},
    {"clusters[0].cold_per_s", "has no effect without cold_start_s",
     [](StatedConfig &C) { C.Services[0].Service.ColdPerSecond = 3; }},
};

const KnownRegions Zones = std::set<Region>{Region("east"), Region("west")};

CheckResult checkChanged(const Change &Apply) {
  ParsedConfig Parsed = makeConfig();
  Apply(Parsed.Config);
  return check(Parsed, Zones);
}

/// Whether \p Found has exactly the finding of \p Expected.
bool isOnly(const Findings &Found, const BadCase &Expected) {
  for (const Finding &Item : Found)
    BOOST_TEST_MESSAGE(toString(Item));
  return Found.size() == 1 && Found[0].File == "config.json" &&
         Found[0].Key == Expected.Place && !Found[0].Allowed.empty() &&
         Found[0].Problem.find(Expected.Problem) != std::string::npos;
}

} // namespace

BOOST_AUTO_TEST_SUITE(Check)

// Guards against findings on configurations that are meant as they are.
BOOST_AUTO_TEST_CASE(goodConfigurationsHaveNoFindings) {
  const std::vector<Change> Good{
      [](StatedConfig &) {},
      [](StatedConfig &C) { C.Organisations.clear(); },
      [](StatedConfig &C) { split(C, 90, 10); },
      [](StatedConfig &C) {
        C.Services[0].Service.ColdPerSecond = 3;
        C.Services[0].ColdStart = 8;
      },
      [](StatedConfig &C) { C.Services[0].ColdStart = 8; },
      [](StatedConfig &C) { organisation(C).Limit.reset(); },
      [](StatedConfig &C) {
        organisation(C).Limit = {10, 1};
      },
      [](StatedConfig &C) { C.Routes[0].Attempts = 10; },
      [](StatedConfig &C) { route(C).Timeout = Milliseconds(400); },
      [](StatedConfig &C) { route(C).LatencyObjective = Milliseconds(0); },
      [](StatedConfig &C) {
        C.Listeners.push_back({"listeners[1]", "other.example"});
        C.Routes[1].Host = "other.example";
        route(C, 1).Prefix = "/a/";
      },
      // One organisation can still use the route, or none has to.
      [](StatedConfig &C) {
        route(C).AllowedRegions = {Region("east")};
        organisation(C).AllowedRegions = {Region("west")};
      },
      [](StatedConfig &C) {
        route(C).AllowedRegions = {Region("east")};
        route(C).IsPublic = true;
        organisation(C, 0).AllowedRegions = {Region("west")};
        organisation(C, 1).AllowedRegions = {Region("west")};
      },
  };
  for (const Change &Apply : Good) {
    const CheckResult Result = checkChanged(Apply);
    for (const Findings *List : {&Result.Errors, &Result.Warnings})
      for (const Finding &Item : *List)
        BOOST_ERROR(toString(Item));
  }
}

// Guards against a mistake that is not reported, or reported at another place.
BOOST_AUTO_TEST_CASE(eachMistakeIsAnErrorAtItsPlace) {
  for (const BadCase &Item : Errors) {
    const CheckResult Result = checkChanged(Item.Apply);
    BOOST_TEST(isOnly(Result.Errors, Item), Item.Place << " " << Item.Problem);
    BOOST_TEST(Result.Warnings.empty(), Item.Place << " " << Item.Problem);
  }
}

// Guards against warnings that make a check fail, and against missing ones.
BOOST_AUTO_TEST_CASE(entriesWithoutEffectAreWarnings) {
  for (const BadCase &Item : Warnings) {
    const CheckResult Result = checkChanged(Item.Apply);
    BOOST_TEST(isOnly(Result.Warnings, Item),
               Item.Place << " " << Item.Problem);
    BOOST_TEST(Result.Errors.empty(), Item.Place << " " << Item.Problem);
  }
}

// Guards against regions that are reported although nobody knows the zones.
BOOST_AUTO_TEST_CASE(regionsAreOnlyComparedWithKnownZones) {
  ParsedConfig Parsed = makeConfig();
  route(Parsed.Config).AllowedRegions = {Region("moon")};
  BOOST_TEST(check(Parsed, std::nullopt).Warnings.empty());
  BOOST_TEST(check(Parsed, Zones).Warnings.size() == 1U);
}

// Guards against a check that stops at the first mistake.
BOOST_AUTO_TEST_CASE(allMistakesAreReportedTogether) {
  ParsedConfig Parsed = makeConfig();
  for (const BadCase &Item :
       {Errors[0], Errors[4], Errors[11], Errors[13], Errors[17]})
    Item.Apply(Parsed.Config);
  BOOST_TEST(check(Parsed, Zones).Errors.size() == 5U);
}

// Guards against findings about the default value of a field that could not be
// read, which hide the cause.
BOOST_AUTO_TEST_CASE(unreadValuesHaveOneFinding) {
  ParsedConfig Parsed = makeConfig();
  Parsed.Lines = {{"listeners[0].policy[0].action", 12}};
  Parsed.Problems = {{"config.json", 0, Action0 + ".timeout_s", "is missing",
                      "a number of seconds"}};
  route(Parsed.Config).Timeout = Milliseconds(0);
  const CheckResult Result = check(Parsed, Zones);
  BOOST_REQUIRE(Result.Errors.size() == 1U);
  BOOST_TEST(Result.Errors[0].Problem == "is missing");
  // The line of the entry from which it is missing.
  BOOST_TEST(Result.Errors[0].Line == 12);
}

// Guards against a finding that looks like several lines.
BOOST_AUTO_TEST_CASE(eachFindingIsOneLine) {
  const CheckResult Result = checkChanged(
      [](StatedConfig &C) { route(C, 1).Prefix = "x\nc.json:1: fine"; });
  BOOST_REQUIRE(Result.Errors.size() == 1U);
  BOOST_TEST(toString(Result.Errors[0]).find('\n') == std::string::npos);
}

// Guards against output that shows a key to whoever reads it.
BOOST_AUTO_TEST_CASE(noFindingShowsAKey) {
  ParsedConfig Parsed = makeConfig();
  auto &Keys = Parsed.Config.Organisations[1].Keys;
  Keys = {"secret-1", "secret-2 ", "secret-2 "};
  const CheckResult Result = check(Parsed, Zones);
  BOOST_TEST(Result.Errors.size() + Result.Warnings.size() == 3U);
  for (const Findings *List : {&Result.Errors, &Result.Warnings})
    for (const Finding &Item : *List)
      BOOST_TEST(toString(Item).find("secret") == std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()
