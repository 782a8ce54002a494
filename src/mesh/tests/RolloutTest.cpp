#include "mesh/Mesh.h"

#include <boost/test/unit_test.hpp>

using namespace lycheethread;
using namespace lycheethread::mesh;

namespace {

constexpr Milliseconds Duration{16'000};

RouteTotals totals(std::int64_t OldGood, std::int64_t OldBad,
                   std::int64_t NewGood, std::int64_t NewBad,
                   std::int64_t NewMs = 80) {
  return {{OldGood, OldBad, OldGood, Milliseconds(80 * OldGood)},
          {NewGood, NewBad, NewGood, Milliseconds(NewMs * NewGood)}};
}

RolloutView viewAt(std::int64_t AgeMs, const RouteTotals &Read) {
  RolloutView View;
  View.Duration = Duration;
  View.Age = Milliseconds(AgeMs);
  View.ReadyNew = 3;
  View.ReadyOld = 3;
  View.Routes[RouteName("read")] = Read;
  return View;
}

bool isRolledBack(const RolloutDecision &Decided) {
  return Decided.End == RolloutState::RolledBack;
}

} // namespace

BOOST_AUTO_TEST_SUITE(RolloutDecisions)

// Guards against a first step that uses requests which may run only once.
BOOST_AUTO_TEST_CASE(firstStepTakesOnlyRepeatableRequests) {
  const RolloutDecision First =
      decideRollout(viewAt(500, totals(100, 0, 5, 0)));
  BOOST_TEST(First.Repeatable.value() > 0);
  BOOST_TEST(First.NonRepeatable.value() == 0);
}

// Guards against a good version whose rollout does not finish in time.
BOOST_AUTO_TEST_CASE(goodVersionCompletesBeforeItsTime) {
  const RouteTotals Healthy = totals(5000, 10, 400, 1);
  RolloutView View = viewAt(12'500, Healthy);
  View.OldInProgress = 2;
  BOOST_TEST(decideRollout(View).Repeatable.value() == 1000);
  BOOST_TEST(!decideRollout(View).End.has_value());
  View.OldInProgress = 0;
  BOOST_TEST(
      (decideRollout(View).End == std::optional(RolloutState::Completed)));
}

// Guards against a bad version that gets more than a tenth of the requests: the
// sum of the shares before the last step, weighted by their duration.
BOOST_AUTO_TEST_CASE(sharesBeforeTheLastStepStayUnderTheExposure) {
  const RouteTotals Healthy = totals(5000, 10, 400, 1);
  for (const double Exposure : {0.05, 0.1, 0.2}) {
    double Sum = 0;
    for (std::int64_t Age = 0; Age < Duration.count(); ++Age) {
      RolloutView View = viewAt(Age, Healthy);
      View.ExposureShare = Exposure;
      const RolloutDecision Decided = decideRollout(View);
      // The steps grow; the last one starts at two thirds.
      BOOST_TEST_REQUIRE(Decided.IsLastStep ==
                         (Age * 1000 >= Duration.count() * 660));
      if (!Decided.IsLastStep)
        Sum += static_cast<double>(Decided.Repeatable.value()) / 1000;
    }
    BOOST_TEST(Sum / static_cast<double>(Duration.count()) <
               std::min(Exposure, 0.1));
  }
}

// Guards against a good version that is taken back because a disturbance of
// all upstreams falls on the time in which it has nearly all requests: the old
// version had its good answers before (large fleet, upstreams that shed).
BOOST_AUTO_TEST_CASE(disturbanceUnderTheLastStepDoesNotCondemn) {
  RolloutView View = viewAt(11'500, totals(60, 15, 1200, 300));
  View.Earlier = {{{RouteName("read"), totals(9000, 10, 900, 1)}}};
  BOOST_TEST(!isRolledBack(decideRollout(View)));
  BOOST_TEST(decideRollout(View).Repeatable.value() == 950);
}

// Guards against a version that is bad late, found by nobody since it already
// has nearly all requests.
BOOST_AUTO_TEST_CASE(versionThatIsBadLateIsRolledBack) {
  RolloutView View = viewAt(11'500, totals(60, 0, 1200, 300));
  View.Earlier = {{{RouteName("read"), totals(9000, 10, 900, 1)}}};
  BOOST_TEST(isRolledBack(decideRollout(View)));
}

// Guards against a verdict, or an end, without anything to compare with: the
// old version gets a small share again first.
BOOST_AUTO_TEST_CASE(failuresWithoutAComparisonBringOneAbout) {
  RolloutView View = viewAt(12'800, totals(0, 0, 1200, 300));
  View.Earlier = {{{RouteName("read"), totals(9000, 10, 900, 1)}}};
  const RolloutDecision First = decideRollout(View);
  BOOST_TEST(First.IsComparing);
  BOOST_TEST(First.Repeatable.value() == 950);
  BOOST_TEST(!First.End.has_value());
  // Both versions fail alike: the rollout goes on and ends.
  View.IsComparing = true;
  View.Routes[RouteName("read")] = totals(18, 6, 400, 110);
  BOOST_TEST((decideRollout(View).End == RolloutState::Completed));
  // Only the new one fails.
  View.Routes[RouteName("read")] = totals(24, 0, 400, 110);
  BOOST_TEST(isRolledBack(decideRollout(View)));
}

// Guards against a rollout that waits for a comparison past its time, or that
// compares with a version of which nothing is left.
BOOST_AUTO_TEST_CASE(comparisonDoesNotKeepARolloutOpen) {
  RolloutView View = viewAt(15'000, totals(0, 0, 1200, 300));
  BOOST_TEST((decideRollout(View).End == RolloutState::Completed));
  View = viewAt(13'000, totals(0, 0, 1200, 300));
  View.ReadyOld = 0;
  BOOST_TEST((decideRollout(View).End == RolloutState::Completed));
}

BOOST_AUTO_TEST_CASE(failingVersionIsRolledBack) {
  BOOST_TEST(isRolledBack(decideRollout(viewAt(2000, totals(300, 2, 5, 5)))));
}

// Guards against a version that fails on a single route, hidden by the others.
BOOST_AUTO_TEST_CASE(oneFailingRouteIsEnough) {
  RolloutView View = viewAt(7000, totals(3000, 5, 300, 0));
  View.Routes[RouteName("write")] = totals(500, 1, 6, 6);
  BOOST_TEST(isRolledBack(decideRollout(View)));
}

BOOST_AUTO_TEST_CASE(slowVersionIsRolledBack) {
  BOOST_TEST(
      isRolledBack(decideRollout(viewAt(3000, totals(300, 0, 20, 0, 500)))));
}

// Guards against a good version that is blamed for failures of both versions.
BOOST_AUTO_TEST_CASE(failuresOfBothVersionsDoNotRollBack) {
  BOOST_TEST(
      !isRolledBack(decideRollout(viewAt(3000, totals(200, 100, 20, 11)))));
}

// Guards against a fleet that refuses everything for good: a node found the new
// version bad while another recorded it as completed, and the old one had
// ended.
BOOST_AUTO_TEST_CASE(completedRolloutOutlastsALateVerdict) {
  BOOST_TEST(
      (versionChoice(RolloutState::Completed, true) == VersionChoice::NewOnly));
  BOOST_TEST((versionChoice(RolloutState::Completed, false) ==
              VersionChoice::NewOnly));
  BOOST_TEST(
      (versionChoice(RolloutState::Running, true) == VersionChoice::OldOnly));
  BOOST_TEST((versionChoice(RolloutState::RolledBack, false) ==
              VersionChoice::OldOnly));
  BOOST_TEST(
      (versionChoice(RolloutState::Running, false) == VersionChoice::Split));
}

// Guards against a good version that is condemned since its upstreams have just
// started: their good answers count, only the time of these does not.
BOOST_AUTO_TEST_CASE(coldUpstreamsDoNotCondemn) {
  RouteTotals Cold = totals(4000, 90, 120, 6, 400);
  Cold.New.Timed = 0;
  Cold.New.TotalTime = Milliseconds(0);
  BOOST_TEST(!isRolledBack(decideRollout(viewAt(4000, Cold))));
}

BOOST_AUTO_TEST_CASE(singleErrorDoesNotRollBack) {
  BOOST_TEST(!isRolledBack(decideRollout(viewAt(1000, totals(50, 0, 1, 1)))));
}

BOOST_AUTO_TEST_CASE(verdictOfAnotherNodeIsKept) {
  RolloutView View = viewAt(3000, totals(300, 0, 30, 0));
  View.IsNewVersionBad = true;
  const RolloutDecision Decided = decideRollout(View);
  BOOST_TEST(isRolledBack(Decided));
  BOOST_TEST(Decided.Repeatable.value() == 0);
}

// Guards against an undecided rollout that stays open past its duration.
BOOST_AUTO_TEST_CASE(undecidedAtTheEndIsRolledBack) {
  BOOST_TEST(isRolledBack(decideRollout(viewAt(15'500, totals(900, 0, 3, 0)))));
  RolloutView None = viewAt(15'500, {});
  None.ReadyNew = 0;
  BOOST_TEST(isRolledBack(decideRollout(None)));
}

// Guards against a faulty version that is completed by nodes that do not look
// at its failures, since those that do are lost.
BOOST_AUTO_TEST_CASE(nodeThatDoesNotJudgeDoesNotComplete) {
  RolloutView View = viewAt(0, totals(5000, 10, 800, 400));
  View.MayJudge = false;
  for (std::int64_t Age = 0; Age <= Duration.count(); Age += 100) {
    View.Age = Milliseconds(Age);
    BOOST_TEST_REQUIRE(
        (decideRollout(View).End != std::optional(RolloutState::Completed)));
  }
  // Its time is over, and nobody could judge it.
  BOOST_TEST(isRolledBack(decideRollout(View)));
}

// Guards against a good version that is late since loads reach the judges late
// in a large fleet: the first node that sees the old version idle completes it,
// but only while a judge sees no defect under the last step.
BOOST_AUTO_TEST_CASE(nodeThatSeesTheOldVersionIdleCompletes) {
  RolloutView View = viewAt(12'600, {});
  const std::int32_t Last =
      decideRollout(viewAt(12'600, totals(5000, 10, 800, 2))).Step;
  const auto IsCompleted = [&](std::int32_t OldInProgress) {
    View.OldInProgress = OldInProgress;
    return decideRollout(View).End == RolloutState::Completed;
  };
  View.MayJudge = false;
  View.JudgementTimeout = judgementTimeout(195);
  View.Judged = Judgement{Milliseconds(300), Last, false};
  BOOST_TEST(IsCompleted(0));
  BOOST_TEST(!IsCompleted(1));
  View.Judged->IsComparing = true;
  BOOST_TEST(!IsCompleted(0));
  View.Judged = Judgement{Milliseconds(300), Last - 2, false};
  BOOST_TEST(!IsCompleted(0));
  View.Judged = Judgement{View.JudgementTimeout, Last, false};
  BOOST_TEST(!IsCompleted(0));
}

// Guards against a share that grows, or stays large, while nobody judges.
BOOST_AUTO_TEST_CASE(shareFallsWhileNobodyJudges) {
  RolloutView View = viewAt(11'000, totals(5000, 10, 800, 2));
  const RolloutDecision Judge = decideRollout(View);
  View.MayJudge = false;
  View.JudgementTimeout = judgementTimeout(6);
  View.Judged = Judgement{Milliseconds(0), Judge.Step, Judge.IsComparing};
  BOOST_TEST(decideRollout(View).Repeatable.value() ==
             Judge.Repeatable.value());
  View.Judged->Age = View.JudgementTimeout;
  const Permille First = decideRollout(viewAt(0, {})).Repeatable;
  BOOST_TEST(decideRollout(View).Repeatable.value() == First.value());
  View.Judged.reset();
  BOOST_TEST(decideRollout(View).Repeatable.value() == First.value());
}

// Guards against a good version that is taken back since the judges cannot
// reach the store or are lost after all steps have passed.
BOOST_AUTO_TEST_CASE(passedStepsAreRecordedByAnyNode) {
  RolloutView View = viewAt(15'900, totals(5000, 10, 800, 2));
  View.MayJudge = false;
  View.Judged = Judgement{Milliseconds(9000), 5, false, true};
  BOOST_TEST((decideRollout(View).End == RolloutState::Completed));
  View.IsNewVersionBad = true;
  BOOST_TEST(isRolledBack(decideRollout(View)));
}

// Guards against a node that has just begun to judge and takes a step that it
// has not seen the new version under: it goes through all steps first.
BOOST_AUTO_TEST_CASE(newJudgeBeginsWithTheFirstStep) {
  RolloutView View = viewAt(11'000, totals(5000, 10, 800, 2));
  std::int32_t Before = -1;
  for (std::int64_t Judged = 0; Judged <= 4000; Judged += 100) {
    View.Age = Milliseconds(11'000 + Judged);
    View.JudgedFor = Milliseconds(Judged);
    const RolloutDecision Decided = decideRollout(View);
    BOOST_TEST_REQUIRE(Decided.Step >= Before);
    BOOST_TEST_REQUIRE(Decided.Step <= Before + 1);
    BOOST_TEST_REQUIRE(Decided.End.has_value() == Decided.IsLastStep);
    Before = Decided.Step;
  }
  // There was time enough to complete it.
  BOOST_TEST((decideRollout(View).End == RolloutState::Completed));
  // A node that begins too late leaves the decision to the others until they
  // must have taken it.
  View.JudgedFor = Milliseconds(200);
  View.Age = Milliseconds(15'000);
  BOOST_TEST(!decideRollout(View).End.has_value());
  View.Age = Milliseconds(15'400);
  BOOST_TEST(isRolledBack(decideRollout(View)));
}

// Guards against any set of lost nodes that leaves a rollout without judges.
BOOST_AUTO_TEST_CASE(moreNodesJudgeTheLongerNobodyHas) {
  for (const std::size_t Nodes : {1U, 6U, 13U, 84U, 195U, 1000U}) {
    const Milliseconds Timeout = judgementTimeout(Nodes);
    BOOST_TEST(judgeCount(Milliseconds(0), Nodes) == UsualJudges);
    std::size_t Count = UsualJudges;
    Milliseconds Silent{0};
    for (; Count < Nodes; Count = judgeCount(Silent, Nodes)) {
      BOOST_TEST_REQUIRE(judgeCount(Silent + Timeout, Nodes) >= Count);
      Silent += Timeout;
    }
    // All nodes judge while a rollout of usual length still runs.
    BOOST_TEST(Silent.count() < Duration.count());
  }
}

// Guards against a verdict by a part of the evidence: that of one version, or
// of the few upstreams that gossip happens to bring.
BOOST_AUTO_TEST_CASE(evidenceMustCoverBothVersions) {
  const EvidenceCoverage Whole{3, 3, 0};
  BOOST_TEST(coversVersions(Whole, Whole));
  BOOST_TEST(coversVersions({}, Whole));
  BOOST_TEST(!coversVersions({3, 0, 0}, Whole));
  BOOST_TEST(!coversVersions(Whole, {2, 0, 2}));
  BOOST_TEST(!coversVersions({80, 10, 60}, Whole));
  // The others are lost or cut off from this node.
  BOOST_TEST(coversVersions({80, 10, 0}, Whole));
  EvidenceCoverage Counted;
  countUpstream(Counted, Milliseconds(400), Milliseconds(100));
  countUpstream(Counted, Milliseconds(9000), Milliseconds(100));
  countUpstream(Counted, Milliseconds(9000), Milliseconds(9000));
  BOOST_TEST(Counted.Ready == 3);
  BOOST_TEST(Counted.Reporting == 1);
  BOOST_TEST(Counted.Missing == 1);
}

// Guards against an old judgement that replaces a newer one, and against steps
// that have passed and are forgotten.
BOOST_AUTO_TEST_CASE(newestJudgementCounts) {
  std::optional<Judgement> Known;
  mergeJudgement(Known, {Milliseconds(300), 2, true});
  mergeJudgement(Known, {Milliseconds(100), 1, false});
  BOOST_TEST(Known->Age.count() == 100);
  BOOST_TEST(Known->StepLimit == 1);
  BOOST_TEST(!Known->IsComparing);
  mergeJudgement(Known, {Milliseconds(5000), 4, true, true});
  BOOST_TEST(Known->StepLimit == 1);
  BOOST_TEST(!Known->IsComparing);
  BOOST_TEST(Known->HasPassed);
  mergeJudgement(Known, {Milliseconds(0), 0, false});
  BOOST_TEST(Known->StepLimit == 0);
  BOOST_TEST(Known->HasPassed);
}

BOOST_AUTO_TEST_SUITE_END()
