#include "moves/tests/MoveFixture.h"

#include <boost/test/unit_test.hpp>

using namespace lycheethread;
using namespace lycheethread::moves;
using namespace lycheethread::moves::test;

namespace {

/// Requests of one hop and route in one second.
struct Traffic {
  std::string Route;
  std::string Version;
  int Requests = 0;
  int Failures = 0;
  /// Latency bucket of all requests.
  std::size_t Bucket = 4;
  std::string Hop = "n1";
};

struct Trial {
  MoveLog Log = runningLog();
  ServiceDocument Document = documentWith(planUntil(100));
  CanaryAnalysis State =
      makeCanaryAnalysis(Log.Table.Running.at(FirstMove), Document);
  SteadyTime Now{5'000};
  Milliseconds Age{60'000};

  Verdict second(const std::vector<Traffic> &All) {
    for (const Traffic &One : All) {
      RouteOutcomes Seen;
      Seen.Group = Main;
      Seen.Route = RouteName(One.Route);
      Seen.Version = VersionName(One.Version);
      Seen.Requests = One.Requests;
      Seen.Failures = One.Failures;
      Seen.Latency[One.Bucket] = One.Requests;
      addOutcomes(State, {NodeId(One.Hop), Age, {Seen}}, Now);
    }
    Now = after(Now, Milliseconds(1'000));
    const Move &Item = Log.Table.Running.at(FirstMove);
    return evaluateCanary(State, Item,
                          trafficSplitOf(Log.Table, Document, Main), Now);
  }
  Verdict seconds(int Count, const std::vector<Traffic> &All) {
    Verdict Last;
    for (int I = 0; I < Count; ++I)
      Last = second(All);
    return Last;
  }
};

} // namespace

BOOST_AUTO_TEST_SUITE(JudgeSuite)

// Guards against a test that never comes to an end for an equal version.
BOOST_AUTO_TEST_CASE(AnEqualVersionPasses) {
  Trial Run;
  const auto Last =
      Run.seconds(60, {{"tickets", "v1", 500, 1}, {"tickets", "v2", 50, 0}});
  BOOST_TEST(Last.Sufficient);
  BOOST_TEST(!Last.FoundBad);
}

// Guards against one bad route that drowns in the traffic of good ones.
BOOST_AUTO_TEST_CASE(OneBadRouteCondemns) {
  Trial Run;
  Run.seconds(20, {{"tickets", "v1", 500, 1}, {"releases", "v1", 5}});
  const auto Last = Run.seconds(15, {{"tickets", "v1", 500, 1},
                                     {"tickets", "v2", 500, 1},
                                     {"releases", "v1", 5},
                                     {"releases", "v2", 5, 3}});
  BOOST_TEST(Last.FoundBad);
  BOOST_TEST(Last.Evidence.rfind("releases:", 0) == 0U);
}

// Guards against a long good past that outweighs a later fault.
BOOST_AUTO_TEST_CASE(BadnessAfterTheLastStepIsSeenWithinSeconds) {
  Trial Run;
  Run.seconds(300, {{"tickets", "v1", 500, 1}, {"tickets", "v2", 500, 1}});
  const auto Last = Run.seconds(5, {{"tickets", "v2", 1000, 100}});
  BOOST_TEST(Last.FoundBad);
}

// Guards against a shared fault that is blamed on the new version, and against
// a step while it lasts.
BOOST_AUTO_TEST_CASE(BothVersionsWorseTogetherHold) {
  Trial Run;
  Run.seconds(60, {{"tickets", "v1", 500, 1}, {"tickets", "v2", 50, 0}});
  const auto Last =
      Run.seconds(30, {{"tickets", "v1", 500, 150}, {"tickets", "v2", 50, 15}});
  BOOST_TEST(Last.BothWorse);
  BOOST_TEST(!Last.FoundBad);
}

// Guards against a fault of both versions whose reports arrive two seconds
// apart and make the new version look worse in between.
BOOST_AUTO_TEST_CASE(LateReportsOfTheOldVersionDoNotCondemn) {
  Trial Run;
  for (int I = 0; I < 30; ++I) {
    Run.second({{"tickets", "v2", 100, 0}});
    Run.second({{"tickets", "v1", 1000, 2}});
  }
  for (int I = 0; I < 10; ++I) {
    BOOST_TEST(!Run.second({{"tickets", "v2", 100, 30}}).FoundBad);
    BOOST_TEST(!Run.second({{"tickets", "v1", 1000, 300}}).FoundBad);
  }
}

// Guards against a shared fault in the last step that is blamed on the new
// version because each route has only a few requests of the old one.
BOOST_AUTO_TEST_CASE(AFaultSeenByTheSmallComparisonShareDoesNotCondemn) {
  Trial Run;
  Run.seconds(60, {{"tickets", "v1", 50}, {"releases", "v1", 50}});
  Run.seconds(10, {{"tickets", "v1", 2},
                   {"tickets", "v2", 38},
                   {"releases", "v1", 1},
                   {"releases", "v2", 19}});
  const auto Last = Run.seconds(15, {{"tickets", "v1", 2, 0, 9},
                                     {"tickets", "v2", 38, 8, 9},
                                     {"releases", "v1", 1, 1, 9},
                                     {"releases", "v2", 19, 4, 9}});
  BOOST_TEST(!Last.FoundBad);
  BOOST_TEST(Last.BothWorse);
}

// Guards against the same leniency towards a version that is worse than the
// comparison share.
BOOST_AUTO_TEST_CASE(AFaultOfTheNewVersionAloneStillCondemnsInTheLastStep) {
  Trial Run;
  Run.seconds(60, {{"tickets", "v1", 50}, {"releases", "v1", 50}});
  const auto Last = Run.seconds(6, {{"tickets", "v1", 2},
                                    {"tickets", "v2", 38, 8, 9},
                                    {"releases", "v1", 1},
                                    {"releases", "v2", 19, 4, 9}});
  BOOST_TEST(Last.FoundBad);
}

// Guards against a slow version that passes because it answers everything.
BOOST_AUTO_TEST_CASE(ASlowVersionIsCondemned) {
  Trial Run;
  Run.seconds(20, {{"tickets", "v1", 500}, {"tickets", "v2", 20}});
  const auto Last =
      Run.seconds(8, {{"tickets", "v1", 500}, {"tickets", "v2", 20, 0, 9}});
  BOOST_TEST(Last.FoundBad);
}

// Guards against a good version that is rejected for its cold start.
BOOST_AUTO_TEST_CASE(AColdStartIsNotSlow) {
  Trial Run;
  Run.seconds(20, {{"tickets", "v1", 500}});
  Run.Age = Milliseconds(9'000);
  const auto Last =
      Run.seconds(10, {{"tickets", "v1", 500}, {"tickets", "v2", 20, 0, 9}});
  BOOST_TEST(!Last.FoundBad);
}

// Guards against a good version that is rejected for one broken instance.
BOOST_AUTO_TEST_CASE(OneBrokenInstanceOfSeveralIsNoBadVersion) {
  Trial Run;
  Run.seconds(20, {{"tickets", "v1", 500, 1}});
  const auto Last = Run.seconds(15, {{"tickets", "v1", 500, 1},
                                     {"tickets", "v2", 20, 20, 4, "n2"},
                                     {"tickets", "v2", 20, 0, 4, "n3"},
                                     {"tickets", "v2", 20, 0, 4, "n4"}});
  BOOST_TEST(!Last.FoundBad);
}

// Guards against a broken instance that counts as the only one because the
// others report in another second.
BOOST_AUTO_TEST_CASE(ABrokenInstanceIsKnownAsOneOfSeveralBetweenReports) {
  Trial Run;
  Run.seconds(20, {{"tickets", "v1", 500, 1}});
  for (int I = 0; I < 10; ++I) {
    Run.second({{"tickets", "v1", 500, 1}, {"tickets", "v2", 90, 0, 4, "n3"}});
    const auto Last = Run.second(
        {{"tickets", "v1", 500, 1}, {"tickets", "v2", 20, 20, 4, "n2"}});
    BOOST_TEST(!Last.FoundBad);
  }
}

// Guards against a decision by a handful of requests.
BOOST_AUTO_TEST_CASE(FewSamplesDecideNothing) {
  Trial Run;
  Run.seconds(20, {{"tickets", "v1", 20}});
  const auto Last =
      Run.seconds(5, {{"tickets", "v1", 20}, {"tickets", "v2", 1}});
  BOOST_TEST(!Last.FoundBad);
  BOOST_TEST(!Last.Sufficient);
  BOOST_TEST(!Last.Doubtful);
}

// Guards against a step to a version that no request can reach.
BOOST_AUTO_TEST_CASE(AVersionWithoutItsShareOfRequestsIsUnreached) {
  Trial Run;
  Run.Log.lease("a", 1, 1);
  Run.Log.step("a", 2, 1, 10);
  Run.second({});
  BOOST_TEST(Run.seconds(10, {{"tickets", "v1", 100}}).GetsNoRequests);
}

// Guards against an entry node that waits for the owner while each of its
// requests to the new version fails.
BOOST_AUTO_TEST_CASE(FiveFailuresInARowStopAnEntryNode) {
  const MoveLog Log = runningLog();
  const Move &Item = Log.Table.Running.at(FirstMove);
  RouteOutcomes Seen;
  Seen.Group = Main;
  Seen.Route = RouteName("tickets");
  Seen.Version = VersionName("v2");
  Seen.Requests = 3;
  Seen.Failures = 3;
  LocalStop State;
  BOOST_TEST(!addEntryOutcomes(State, Item, {Seen}));
  BOOST_TEST(addEntryOutcomes(State, Item, {Seen}));
}

BOOST_AUTO_TEST_SUITE_END()
