#include "mesh/Mesh.h"

#include <boost/test/unit_test.hpp>

using namespace lycheethread;
using namespace lycheethread::mesh;

namespace {

CheckIn checkIn(const std::string &Id, std::int64_t StartedAtUnixMs,
                std::int64_t Number,
                UpstreamState State = UpstreamState::Ready) {
  CheckIn Result;
  Result.From.Id = UpstreamId(Id);
  Result.From.StartedAtUnixMs = StartedAtUnixMs;
  Result.From.State = State;
  Result.Number = Sequence(Number);
  return Result;
}

} // namespace

BOOST_AUTO_TEST_SUITE(Registrations)

// Guards against a check-in that was delayed by a partition and replaces the
// process that started after it.
BOOST_AUTO_TEST_CASE(checkInOfAnEarlierProcessIsIgnored) {
  Registration Known;
  BOOST_TEST(applyCheckIn(Known, checkIn("b", 200, 1), SteadyTime(1)));
  BOOST_TEST(!applyCheckIn(Known, checkIn("a", 100, 9), SteadyTime(2)));
  BOOST_TEST(Known.Current.Id.str() == "b");
}

BOOST_AUTO_TEST_CASE(sameIdWithALaterStartRestartsTheSequence) {
  Registration Known;
  applyCheckIn(Known, checkIn("a", 100, 9), SteadyTime(1));
  BOOST_TEST(!applyCheckIn(Known, checkIn("a", 100, 9), SteadyTime(2)));
  BOOST_TEST(applyCheckIn(Known, checkIn("a", 150, 1), SteadyTime(2)));
}

// Guards against new requests for an upstream whose leave message was
// acknowledged.
BOOST_AUTO_TEST_CASE(leavingIsFinal) {
  Registration Known;
  applyCheckIn(Known, checkIn("a", 100, 1, UpstreamState::Draining),
               SteadyTime(1));
  applyCheckIn(Known, checkIn("a", 100, 2), SteadyTime(2));
  BOOST_TEST((Known.Current.State == UpstreamState::Draining));
  BOOST_TEST(applyLeave(Known, UpstreamId("a"), 500, SteadyTime(2)));
  BOOST_TEST((Known.Current.State == UpstreamState::Gone));
  BOOST_TEST(!applyCheckIn(Known, checkIn("a", 100, 3), SteadyTime(3)));
  BOOST_TEST(applyCheckIn(Known, checkIn("b", 300, 1), SteadyTime(4)));
  BOOST_TEST(!applyCheckIn(Known, checkIn("a", 100, 4), SteadyTime(5)));
}

// Guards against new requests for an upstream that says in its answers that it
// leaves, while its check-ins say that it is ready.
BOOST_AUTO_TEST_CASE(statedLeavingIsFinal) {
  Registration Known;
  BOOST_TEST(!applyStatedLeaving(Known, SteadyTime(1)));
  applyCheckIn(Known, checkIn("a", 100, 1), SteadyTime(1));
  BOOST_TEST(applyStatedLeaving(Known, SteadyTime(1)));
  BOOST_TEST(!applyStatedLeaving(Known, SteadyTime(1)));
  applyCheckIn(Known, checkIn("a", 100, 2), SteadyTime(2));
  BOOST_TEST((Known.Current.State == UpstreamState::Draining));
  // Its successor is ready.
  applyCheckIn(Known, checkIn("a", 200, 1), SteadyTime(3));
  BOOST_TEST((Known.Current.State == UpstreamState::Ready));
}

// Guards against new requests for an upstream whose leave message a node
// acknowledged just after its own start, before any check-in: a late check-in
// registered it again.
BOOST_AUTO_TEST_CASE(leavingBeforeTheFirstCheckInIsFinal) {
  Registration Known;
  BOOST_TEST(!applyLeave(Known, UpstreamId("a"), 500, SteadyTime(1000)));
  BOOST_TEST(!applyCheckIn(Known, checkIn("a", 100, 19), SteadyTime(4200)));
  BOOST_TEST(Known.Current.Id.empty());
  // A new process with the same id is accepted, even if its clock is behind.
  BOOST_TEST(applyCheckIn(Known, checkIn("a", 100, 30), SteadyTime(32'000)));
  Registration Other;
  applyLeave(Other, UpstreamId("a"), 500, SteadyTime(1000));
  BOOST_TEST(applyCheckIn(Other, checkIn("a", 600, 1), SteadyTime(1500)));
}

BOOST_AUTO_TEST_CASE(leaveOfAnotherUpstreamIsIgnored) {
  Registration Known;
  applyCheckIn(Known, checkIn("b", 200, 1), SteadyTime(1));
  BOOST_TEST(!applyLeave(Known, UpstreamId("a"), 500, SteadyTime(2)));
  BOOST_TEST((Known.Current.State == UpstreamState::Ready));
}

// Guards against a late check-in that brings back an upstream which left before
// its node was restarted.
BOOST_AUTO_TEST_CASE(leaveIsRestoredFromOtherNodes) {
  Registration Known;
  Upstream Past = checkIn("a", 100, 1).From;
  Past.State = UpstreamState::Draining;
  BOOST_TEST(!restoreLeave(Known, Past, SteadyTime(10)));
  BOOST_TEST(!applyCheckIn(Known, checkIn("a", 100, 19), SteadyTime(90'000)));
  BOOST_TEST(applyCheckIn(Known, checkIn("a", 101, 1), SteadyTime(90'000)));
  Registration Registered;
  applyCheckIn(Registered, checkIn("a", 100, 18), SteadyTime(5));
  BOOST_TEST(restoreLeave(Registered, Past, SteadyTime(10)));
  BOOST_TEST((Registered.Current.State == UpstreamState::Draining));
  BOOST_TEST(!restoreLeave(Registered, Past, SteadyTime(11)));
}

// Guards against an acknowledged leaving that is kept only in memory: each way
// to leave has to be recorded, once for each process.
BOOST_AUTO_TEST_CASE(eachLeavingHasToBeRecorded) {
  Registration Known;
  applyCheckIn(Known, checkIn("a", 100, 1), SteadyTime(1));
  BOOST_TEST(unrecordedDepartures(Known).empty());
  BOOST_TEST(!isUnrecorded(Known, UpstreamId("a")));
  applyCheckIn(Known, checkIn("a", 100, 2, UpstreamState::Draining),
               SteadyTime(2));
  BOOST_REQUIRE(unrecordedDepartures(Known).size() == 1U);
  const Departure Item = unrecordedDepartures(Known).front();
  BOOST_TEST(Item.Id.str() == "a");
  BOOST_TEST(Item.StartedUpTo == 100);
  BOOST_TEST(Item.IsStartKnown);
  BOOST_TEST(isUnrecorded(Known, UpstreamId("a")));
  markRecorded(Known, Item);
  // The same process leaves for good.
  applyLeave(Known, UpstreamId("a"), 500, SteadyTime(3));
  BOOST_TEST(unrecordedDepartures(Known).empty());
  // A later process with the same id, which says so in its answers.
  applyCheckIn(Known, checkIn("a", 600, 1), SteadyTime(4));
  applyStatedLeaving(Known, SteadyTime(5));
  BOOST_TEST(isUnrecorded(Known, UpstreamId("a")));
  // What was written of the earlier one does not cover it.
  markRecorded(Known, Item);
  BOOST_TEST(isUnrecorded(Known, UpstreamId("a")));
  // A process that was never registered.
  applyLeave(Known, UpstreamId("b"), 700, SteadyTime(6));
  BOOST_TEST(isUnrecorded(Known, UpstreamId("b")));
  BOOST_TEST(unrecordedDepartures(Known).size() == 2U);
  BOOST_TEST(!unrecordedDepartures(Known).back().IsStartKnown);
}

// Guards against a late check-in that brings back an upstream which left before
// all nodes were lost, and against a successor that is not used.
BOOST_AUTO_TEST_CASE(recordedDeparturesAreRestored) {
  Registration Known;
  const Departure Item{UpstreamId("a"), 100, true};
  BOOST_TEST(!restoreDeparture(Known, Item, SteadyTime(10)));
  BOOST_TEST(!isUnrecorded(Known, UpstreamId("a")));
  BOOST_TEST(!applyCheckIn(Known, checkIn("a", 100, 19), SteadyTime(90'000)));
  BOOST_TEST(applyCheckIn(Known, checkIn("a", 101, 1), SteadyTime(90'000)));
  // An earlier record does not end the later process.
  BOOST_TEST(!restoreDeparture(Known, Item, SteadyTime(90'001)));
  BOOST_TEST((Known.Current.State == UpstreamState::Ready));
  // The process was believed before the record could be read.
  Registration Believed;
  applyCheckIn(Believed, checkIn("a", 100, 18), SteadyTime(5));
  BOOST_TEST(restoreDeparture(Believed, Item, SteadyTime(10)));
  BOOST_TEST((Believed.Current.State == UpstreamState::Gone));
  // Without a known start, a process with the same id is accepted later.
  Registration Other;
  restoreDeparture(Other, {UpstreamId("a"), 500, false}, SteadyTime(10));
  BOOST_TEST(!applyCheckIn(Other, checkIn("a", 100, 3), SteadyTime(20'000)));
  BOOST_TEST(applyCheckIn(Other, checkIn("a", 100, 4), SteadyTime(30'010)));
  BOOST_TEST(applyCheckIn(Other, checkIn("a", 501, 1), SteadyTime(30'011)));
}

// Guards against records that a restored store has lost and nobody writes.
BOOST_AUTO_TEST_CASE(lostDeparturesAreRecordedAgain) {
  Registration Known;
  restoreDeparture(Known, {UpstreamId("a"), 100, true}, SteadyTime(10));
  markLost(Known, UpstreamId("a"));
  BOOST_TEST(isUnrecorded(Known, UpstreamId("a")));
  BOOST_TEST(unrecordedDepartures(Known).size() == 1U);
  markLost(Known, UpstreamId("b"));
  BOOST_TEST(unrecordedDepartures(Known).size() == 1U);
}

// Guards against a late check-in that is believed while the node cannot learn
// what has left, and against a process that runs and is not used then.
BOOST_AUTO_TEST_CASE(lateCheckInConfirmsNoProcess) {
  const Milliseconds Interval(1500);
  UnverifiedCheckIns Known;
  BOOST_TEST(
      !confirmsProcess(Known, checkIn("a", 100, 7), Interval, SteadyTime(0)));
  // The same or an older one, and late ones that come together.
  BOOST_TEST(!confirmsProcess(Known, checkIn("a", 100, 7), Interval,
                              SteadyTime(1500)));
  BOOST_TEST(!confirmsProcess(Known, checkIn("a", 100, 6), Interval,
                              SteadyTime(1500)));
  UnverifiedCheckIns Together;
  confirmsProcess(Together, checkIn("a", 100, 7), Interval, SteadyTime(0));
  BOOST_TEST(!confirmsProcess(Together, checkIn("a", 100, 8), Interval,
                              SteadyTime(200)));
  BOOST_TEST(confirmsProcess(Together, checkIn("a", 100, 9), Interval,
                             SteadyTime(1600)));
  // A later process starts anew; an earlier one changes nothing.
  UnverifiedCheckIns Replaced;
  confirmsProcess(Replaced, checkIn("a", 100, 7), Interval, SteadyTime(0));
  BOOST_TEST(!confirmsProcess(Replaced, checkIn("b", 200, 8), Interval,
                              SteadyTime(1500)));
  BOOST_TEST(!confirmsProcess(Replaced, checkIn("a", 100, 9), Interval,
                              SteadyTime(3000)));
  BOOST_TEST(confirmsProcess(Replaced, checkIn("b", 200, 9), Interval,
                             SteadyTime(3000)));
}

BOOST_AUTO_TEST_CASE(missedCheckInsMeanSilence) {
  Registration Known;
  applyCheckIn(Known, checkIn("b", 200, 1), SteadyTime(1000));
  BOOST_TEST(!isSilent(Known, Milliseconds(1500), SteadyTime(5000)));
  BOOST_TEST(isSilent(Known, Milliseconds(1500), SteadyTime(6000)));
}

// Guards against saved retries of all nodes that exceed the slack when a fault
// hits them at the same moment.
BOOST_AUTO_TEST_CASE(savedRetriesOfAllNodesStayWithinTheSlack) {
  for (const double Slack : {58.0, 116.0, 430.0})
    for (const int Nodes : {11, 25, 195}) {
      if (2 * Nodes > Slack)
        continue;
      MeshBounds Bounds;
      Bounds.RetrySlack = Slack;
      const RetryLimits Limits =
          retryLimits(Bounds, static_cast<std::size_t>(Nodes));
      int Retries = 0;
      for (int Node = 0; Node < Nodes; ++Node) {
        MeshRetryBudget Budget;
        for (int Count = 0; Count < 1000; ++Count)
          addRetryTokens(Budget, Limits);
        while (takeRetryToken(Budget, RetryKind::Rejected))
          ++Retries;
        while (takeRetryToken(Budget, RetryKind::Rerun))
          ++Retries;
      }
      BOOST_TEST(Retries <= Slack);
    }
}

// Guards against a ratio that is a constant: the retries follow the bound.
BOOST_AUTO_TEST_CASE(retriesFollowTheConfiguredRatio) {
  for (const double Ratio : {0.1, 0.2, 0.4}) {
    MeshBounds Bounds;
    Bounds.RetryRatio = Ratio;
    const RetryLimits Limits = retryLimits(Bounds, 10);
    MeshRetryBudget Budget;
    int Retries = 0;
    for (int Count = 0; Count < 1000; ++Count) {
      addRetryTokens(Budget, Limits);
      Retries += takeRetryToken(Budget, RetryKind::Rejected) ? 1 : 0;
      Retries += takeRetryToken(Budget, RetryKind::Rerun) ? 1 : 0;
    }
    BOOST_TEST(Retries <= Ratio * 1000);
    BOOST_TEST(Retries >= 0.8 * Ratio * 1000);
  }
}

// Guards against more retries than all nodes together may make.
BOOST_AUTO_TEST_CASE(retriesAreBoundedByRequests) {
  const RetryLimits Limits = retryLimits(MeshBounds(), 10);
  MeshRetryBudget Budget;
  int Retries = 0;
  for (int Count = 0; Count < 1000; ++Count) {
    addRetryTokens(Budget, Limits);
    Retries += takeRetryToken(Budget, RetryKind::Rejected) ? 1 : 0;
    Retries += takeRetryToken(Budget, RetryKind::Rerun) ? 1 : 0;
  }
  BOOST_TEST(Retries <= 200);
  BOOST_TEST(Retries >= 50);
}

BOOST_AUTO_TEST_SUITE_END()
