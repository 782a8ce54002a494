#define BOOST_TEST_MODULE Moves
#include "moves/tests/MoveFixture.h"

#include <boost/test/unit_test.hpp>

using namespace lycheethread;
using namespace lycheethread::moves;
using namespace lycheethread::moves::test;

BOOST_AUTO_TEST_SUITE(MoveFold)

// Guards against two nodes that claim the same epoch and both act as owner.
BOOST_AUTO_TEST_CASE(OfRacingOwnersTheFirstClaimInTheLogWins) {
  MoveLog Log = runningLog();
  BOOST_TEST(Log.lease("a", 1, 1));
  BOOST_TEST(!Log.lease("b", 1, 1));
  BOOST_TEST(!Log.lease("b", 2, 2));
  BOOST_TEST(!Log.step("b", 2, 1, 10));
  BOOST_TEST(Log.step("a", 2, 1, 10));
  BOOST_TEST(Log.Table.Running.at(FirstMove).Share == Permille(10));
}

// Guards against a suspended owner that resumes and raises the share or ends
// the move although another owner has taken over.
BOOST_AUTO_TEST_CASE(RecordsOfASuspendedOwnerWithAnOldEpochAreDropped) {
  MoveLog Log = runningLog();
  Log.lease("a", 1, 1);
  Log.step("a", 2, 1, 10);
  BOOST_TEST(Log.lease("b", 12, 2));
  BOOST_TEST(!Log.step("a", 13, 1, 250));
  BOOST_TEST(!Log.end("a", 13, 1, MoveOutcome::Undone));
  BOOST_TEST(!Log.lease("a", 13, 2));
  BOOST_TEST(Log.step("b", 13, 2, 250));
}

// Guards against a share that is raised under an expired lease that no other
// node has claimed.
BOOST_AUTO_TEST_CASE(AnExpiredLeaseRaisesNoShare) {
  MoveLog Log = runningLog();
  Log.lease("a", 1, 1);
  BOOST_TEST(!Log.step("a", 12, 1, 10));
}

// Guards against an append that was retried after a lost response and takes
// effect twice.
BOOST_AUTO_TEST_CASE(ARepeatedRecordHasNoFurtherEffect) {
  MoveLog Log = runningLog();
  Log.lease("a", 1, 1);
  BOOST_TEST(!Log.lease("a", 1, 1));
  BOOST_TEST(Log.step("a", 2, 1, 10));
  BOOST_TEST(!Log.step("a", 2, 1, 10));
  BOOST_TEST(Log.Table.Running.at(FirstMove).StepsTaken == 1);
  BOOST_TEST(Log.end("a", 3, 1, MoveOutcome::Undone));
  BOOST_TEST(!Log.end("a", 3, 1, MoveOutcome::Undone));
  BOOST_TEST(Log.Table.Ended.size() == 1U);
}

// Guards against skipped steps and against `finished` before the last step.
BOOST_AUTO_TEST_CASE(StepsFollowThePlan) {
  MoveLog Log = runningLog();
  Log.lease("a", 1, 1);
  BOOST_TEST(!Log.step("a", 2, 1, 250));
  BOOST_TEST(!Log.end("a", 2, 1, MoveOutcome::Finished));
  BOOST_TEST(Log.step("a", 2, 1, 10));
  BOOST_TEST(Log.step("a", 3, 1, 250));
  BOOST_TEST(Log.step("a", 4, 1, 1000));
  BOOST_TEST(Log.end("a", 5, 1, MoveOutcome::Finished));
  const auto Split =
      trafficSplitOf(Log.Table, documentWith(planUntil(100)), Main);
  BOOST_TEST(Split.Stable == VersionName("v2"));
}

// Guards against nodes that disagree about a `finished` which was written in
// time but reached the log after the deadline.
BOOST_AUTO_TEST_CASE(FinishedAfterTheDeadlineIsDroppedAndTheMoveUndone) {
  MoveLog Log = runningLog();
  Log.lease("a", 92, 1);
  Log.step("a", 93, 1, 10);
  Log.step("a", 94, 1, 250);
  Log.step("a", 95, 1, 1000);
  BOOST_TEST(!Log.lease("c", 101, 9));
  BOOST_TEST(!Log.end("a", 99, 1, MoveOutcome::Finished));
  BOOST_TEST(Log.Table.Running.empty());
  BOOST_TEST((Log.Table.Ended.back().Status == MoveStatus::Undone));
}

// Guards against a move that never ends after a log outage across the deadline
// because no node holds the lease.
BOOST_AUTO_TEST_CASE(UndoAfterTheDeadlineNeedsNoEpoch) {
  MoveLog Log = runningLog();
  Log.lease("a", 1, 1);
  Log.step("a", 2, 1, 10);
  BOOST_TEST(!Log.end("b", 50, 0, MoveOutcome::Undone));
  BOOST_TEST(Log.end("b", 101, 0, MoveOutcome::Undone));
  BOOST_TEST(Log.Table.Ended.back().Reason == "told");
  BOOST_TEST(Log.Table.Ended.back().Share == Permille(0));
}

// Guards against a move that continues although its plan has changed, and
// against an unrelated edit that restarts a running or ended move.
BOOST_AUTO_TEST_CASE(AnEditKeepsTheMoveOnlyWithItsPlan) {
  MoveLog Log = runningLog();
  applyDocument(Log.Table, documentWith(planUntil(100)), Revision(2), at(1));
  BOOST_TEST(Log.Table.Running.count(FirstMove) == 1U);
  applyDocument(Log.Table, documentWith(planUntil(120)), Revision(3), at(2));
  BOOST_TEST(Log.Table.Running.count(MoveId("ticket-desk/main/3")) == 1U);
  BOOST_TEST((Log.Table.Ended.back().Status == MoveStatus::Undone));
  expireMoves(Log.Table, at(121));
  applyDocument(Log.Table, documentWith(planUntil(120)), Revision(4), at(3));
  BOOST_TEST(Log.Table.Running.empty());
}

// Guards against unbounded memory, and against a dropped end that would send a
// group without recent moves back to its old version.
BOOST_AUTO_TEST_CASE(EndedMovesAreBoundedButTheLastOfAGroupStays) {
  MoveLog Log = runningLog();
  Log.lease("a", 1, 1);
  Log.step("a", 2, 1, 10);
  Log.step("a", 3, 1, 250);
  Log.step("a", 4, 1, 1000);
  Log.end("a", 5, 1, MoveOutcome::Finished);
  for (int I = 1; I <= 400; ++I) {
    ServiceDocument Other = documentWith(planUntil(100 + I));
    Other.Service = ServiceName("other");
    applyDocument(Log.Table, Other, Revision(I), at(6));
  }
  BOOST_TEST(Log.Table.Ended.size() <= MaxEndedMoves);
  const auto Split =
      trafficSplitOf(Log.Table, documentWith(planUntil(100)), Main);
  BOOST_TEST(Split.Stable == VersionName("v2"));
}

// Guards against an undone move that hands the group to the rejected version
// because the document lists it first.
BOOST_AUTO_TEST_CASE(AnUndoneMoveKeepsTheVersionItStartedFrom) {
  MoveLog Log = runningLog();
  expireMoves(Log.Table, at(101));
  ServiceDocument Document = documentWith(planUntil(100));
  Document.Groups[Main].Versions = {VersionName("v2"), VersionName("v1")};
  BOOST_TEST(trafficSplitOf(Log.Table, Document, Main).Stable ==
             VersionName("v1"));
}

// Guards against once-only requests that are the first to reach a bad version.
BOOST_AUTO_TEST_CASE(OnceOnlyRoutesLagOneStepBehind) {
  MoveLog Log = runningLog();
  const ServiceDocument Document = documentWith(planUntil(100));
  const auto Once = [&] {
    return candidateShare(RequestClass::OnceOnly,
                          trafficSplitOf(Log.Table, Document, Main));
  };
  Log.lease("a", 1, 1);
  Log.step("a", 2, 1, 10);
  BOOST_TEST(Once() == Permille(0));
  Log.step("a", 3, 1, 250);
  BOOST_TEST(Once() == Permille(10));
  Log.step("a", 4, 1, 1000);
  BOOST_TEST(Once() == Permille(950));
}

// Guards against a last step without traffic on the old version, in which a
// fault of both versions cannot be detected, and against an old version that
// keeps traffic after the move.
BOOST_AUTO_TEST_CASE(TheOldVersionKeepsAComparisonShareUntilTheEnd) {
  MoveLog Log = runningLog();
  const ServiceDocument Document = documentWith(planUntil(100));
  Log.lease("a", 1, 1);
  for (const int Share : {10, 250, 1000})
    BOOST_TEST(Log.step("a", 2, 1, Share));
  const TrafficSplit Kept = trafficSplitOf(Log.Table, Document, Main);
  BOOST_TEST(Kept.CandidateShare == Permille(950));
  BOOST_TEST(Kept.NonRetryableShare == Permille(950));
  BOOST_TEST(Log.end("a", 5, 1, MoveOutcome::Finished));
  const TrafficSplit Ended = trafficSplitOf(Log.Table, Document, Main);
  BOOST_TEST(Ended.InProgress.empty());
  BOOST_TEST(Ended.Stable == VersionName("v2"));
}

// Guards against an accepted plan whose steps cannot end by its deadline.
BOOST_AUTO_TEST_CASE(APlanThatCannotFitIsRefused) {
  BOOST_TEST(checkPlan(planUntil(70), at(0)).empty());
  const Findings Problems = checkPlan(planUntil(50), at(0));
  BOOST_REQUIRE(Problems.size() == 1U);
  BOOST_TEST(Problems.front().Key == "move.main.finish_by");
  MovePlan Falling = planUntil(70);
  std::swap(Falling.Steps[0], Falling.Steps[1]);
  BOOST_TEST(checkPlan(Falling, at(0)).size() == 1U);
}

// Guards against an edit that is refused because of the plan of an earlier
// move, and against a plan that starts from a version that does not serve the
// group.
BOOST_AUTO_TEST_CASE(OnlyNewPlansAreChecked) {
  const MoveLog Log = runningLog();
  const ServiceDocument Kept = documentWith(planUntil(100));
  BOOST_TEST(checkMoves(Log.Table, Kept, at(99)).empty());
  ServiceDocument Wrong = documentWith(planUntil(500));
  Wrong.Moves[Main].From = VersionName("v3");
  BOOST_TEST(checkMoves(Log.Table, Wrong, at(1)).size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
