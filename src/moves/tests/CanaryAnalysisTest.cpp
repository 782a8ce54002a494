#include "moves/tests/MoveFixture.h"

#include <boost/test/unit_test.hpp>

using namespace lycheethread;
using namespace lycheethread::moves;
using namespace lycheethread::moves::test;

namespace {

/// Requests of one route at one node in one second.
struct Traffic {
  std::string Route;
  std::string Version;
  int Requests = 0;
  int Failures = 0;
  /// Latency bucket of all requests.
  std::size_t Bucket = 4;
  std::string Hop = "n1";
};

struct AnalysisFixture {
  MoveLog Log = runningLog();
  ServiceDocument Document = documentWith(planUntil(100));
  CanaryAnalysis State =
      makeCanaryAnalysis(Log.Table.Running.at(FirstMove), Document);
  SteadyTime Now{5'000};
  Milliseconds Age{60'000};

  Verdict second(const std::vector<Traffic> &All) {
    for (const Traffic &Each : All) {
      RouteOutcomes Seen;
      Seen.Group = Main;
      Seen.Route = RouteName(Each.Route);
      Seen.Version = VersionName(Each.Version);
      Seen.Requests = Each.Requests;
      Seen.Failures = Each.Failures;
      Seen.Latency[Each.Bucket] = Each.Requests;
      addOutcomes(State, {NodeId(Each.Hop), Age, {Seen}}, Now);
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

BOOST_AUTO_TEST_SUITE(CanaryAnalysisSuite)

// Guards against an analysis that never accepts an equally good version.
BOOST_AUTO_TEST_CASE(AnEqualVersionPasses) {
  AnalysisFixture Fixture;
  const auto Last = Fixture.seconds(
      60, {{"tickets", "v1", 500, 1}, {"tickets", "v2", 50, 0}});
  BOOST_TEST(Last.Sufficient);
  BOOST_TEST(!Last.IsNewVersionBad);
}

// Guards against one bad route that is masked by the traffic of good routes.
BOOST_AUTO_TEST_CASE(OneBadRouteIsDetected) {
  AnalysisFixture Fixture;
  Fixture.seconds(20, {{"tickets", "v1", 500, 1}, {"releases", "v1", 5}});
  const auto Last = Fixture.seconds(15, {{"tickets", "v1", 500, 1},
                                         {"tickets", "v2", 500, 1},
                                         {"releases", "v1", 5},
                                         {"releases", "v2", 5, 3}});
  BOOST_TEST(Last.IsNewVersionBad);
  BOOST_TEST(Last.Evidence.rfind("releases:", 0) == 0U);
}

// Guards against a long period without failures that outweighs a later fault.
BOOST_AUTO_TEST_CASE(FailuresAfterTheLastStepAreDetectedWithinSeconds) {
  AnalysisFixture Fixture;
  Fixture.seconds(300, {{"tickets", "v1", 500, 1}, {"tickets", "v2", 500, 1}});
  const auto Last = Fixture.seconds(5, {{"tickets", "v2", 1000, 100}});
  BOOST_TEST(Last.IsNewVersionBad);
}

// Guards against a fault of both versions that is attributed to the new
// version, and against a step during the fault.
BOOST_AUTO_TEST_CASE(BothVersionsWorseTogetherHold) {
  AnalysisFixture Fixture;
  Fixture.seconds(60, {{"tickets", "v1", 500, 1}, {"tickets", "v2", 50, 0}});
  const auto Last = Fixture.seconds(
      30, {{"tickets", "v1", 500, 150}, {"tickets", "v2", 50, 15}});
  BOOST_TEST(Last.BothWorse);
  BOOST_TEST(!Last.IsNewVersionBad);
}

// Guards against a rejection in a fault of both versions whose reports arrive
// two seconds apart, so that the new version looks worse in between.
BOOST_AUTO_TEST_CASE(LateReportsOfTheOldVersionDoNotRejectTheNewVersion) {
  AnalysisFixture Fixture;
  for (int I = 0; I < 30; ++I) {
    Fixture.second({{"tickets", "v2", 100, 0}});
    Fixture.second({{"tickets", "v1", 1000, 2}});
  }
  for (int I = 0; I < 10; ++I) {
    BOOST_TEST(!Fixture.second({{"tickets", "v2", 100, 30}}).IsNewVersionBad);
    BOOST_TEST(!Fixture.second({{"tickets", "v1", 1000, 300}}).IsNewVersionBad);
  }
}

// Guards against a fault of both versions in the last step that is attributed
// to the new version because each route has only a few requests of the old
// version.
BOOST_AUTO_TEST_CASE(AFaultSeenByTheMinimumStableShareRejectsNoVersion) {
  AnalysisFixture Fixture;
  Fixture.seconds(60, {{"tickets", "v1", 50}, {"releases", "v1", 50}});
  Fixture.seconds(10, {{"tickets", "v1", 2},
                       {"tickets", "v2", 38},
                       {"releases", "v1", 1},
                       {"releases", "v2", 19}});
  const auto Last = Fixture.seconds(15, {{"tickets", "v1", 2, 0, 9},
                                         {"tickets", "v2", 38, 8, 9},
                                         {"releases", "v1", 1, 1, 9},
                                         {"releases", "v2", 19, 4, 9}});
  BOOST_TEST(!Last.IsNewVersionBad);
  BOOST_TEST(Last.BothWorse);
}

// Guards against a new version that is worse than the old one in the last step
// and passes because the old version has only a few requests.
BOOST_AUTO_TEST_CASE(AFaultOfTheNewVersionAloneIsDetectedInTheLastStep) {
  AnalysisFixture Fixture;
  Fixture.seconds(60, {{"tickets", "v1", 50}, {"releases", "v1", 50}});
  const auto Last = Fixture.seconds(6, {{"tickets", "v1", 2},
                                        {"tickets", "v2", 38, 8, 9},
                                        {"releases", "v1", 1},
                                        {"releases", "v2", 19, 4, 9}});
  BOOST_TEST(Last.IsNewVersionBad);
}

// Guards against a slow version that passes because all its requests succeed.
BOOST_AUTO_TEST_CASE(ASlowVersionIsFoundBad) {
  AnalysisFixture Fixture;
  Fixture.seconds(20, {{"tickets", "v1", 500}, {"tickets", "v2", 20}});
  const auto Last =
      Fixture.seconds(8, {{"tickets", "v1", 500}, {"tickets", "v2", 20, 0, 9}});
  BOOST_TEST(Last.IsNewVersionBad);
}

// Guards against the rejection of a good version for its cold start.
BOOST_AUTO_TEST_CASE(AColdStartIsNotSlow) {
  AnalysisFixture Fixture;
  Fixture.seconds(20, {{"tickets", "v1", 500}});
  Fixture.Age = Milliseconds(9'000);
  const auto Last = Fixture.seconds(
      10, {{"tickets", "v1", 500}, {"tickets", "v2", 20, 0, 9}});
  BOOST_TEST(!Last.IsNewVersionBad);
}

// Guards against the rejection of a good version for one broken instance.
BOOST_AUTO_TEST_CASE(OneBrokenInstanceOfSeveralIsNoBadVersion) {
  AnalysisFixture Fixture;
  Fixture.seconds(20, {{"tickets", "v1", 500, 1}});
  const auto Last = Fixture.seconds(15, {{"tickets", "v1", 500, 1},
                                         {"tickets", "v2", 20, 20, 4, "n2"},
                                         {"tickets", "v2", 20, 0, 4, "n3"},
                                         {"tickets", "v2", 20, 0, 4, "n4"}});
  BOOST_TEST(!Last.IsNewVersionBad);
}

// Guards against a broken instance that counts as the only instance because the
// others report in another second.
BOOST_AUTO_TEST_CASE(ABrokenInstanceIsKnownAsOneOfSeveralBetweenReports) {
  AnalysisFixture Fixture;
  Fixture.seconds(20, {{"tickets", "v1", 500, 1}});
  for (int I = 0; I < 10; ++I) {
    Fixture.second(
        {{"tickets", "v1", 500, 1}, {"tickets", "v2", 90, 0, 4, "n3"}});
    const auto Last = Fixture.second(
        {{"tickets", "v1", 500, 1}, {"tickets", "v2", 20, 20, 4, "n2"}});
    BOOST_TEST(!Last.IsNewVersionBad);
  }
}

// Guards against a decision that is based on a few requests.
BOOST_AUTO_TEST_CASE(FewSamplesDecideNothing) {
  AnalysisFixture Fixture;
  Fixture.seconds(20, {{"tickets", "v1", 20}});
  const auto Last =
      Fixture.seconds(5, {{"tickets", "v1", 20}, {"tickets", "v2", 1}});
  BOOST_TEST(!Last.IsNewVersionBad);
  BOOST_TEST(!Last.Sufficient);
  BOOST_TEST(!Last.Doubtful);
}

// Guards against a step while no request reaches the new version.
BOOST_AUTO_TEST_CASE(AVersionWithoutItsShareOfRequestsIsReported) {
  AnalysisFixture Fixture;
  Fixture.Log.lease("a", 1, 1);
  Fixture.Log.step("a", 2, 1, 10);
  Fixture.second({});
  BOOST_TEST(Fixture.seconds(10, {{"tickets", "v1", 100}}).GetsNoRequests);
}

// Guards against an entry node that keeps sending to the new version until the
// owner decides although each of its requests fails.
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
