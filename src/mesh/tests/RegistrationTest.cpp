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
  BOOST_TEST(!applyStatedLeaving(Known));
  applyCheckIn(Known, checkIn("a", 100, 1), SteadyTime(1));
  BOOST_TEST(applyStatedLeaving(Known));
  BOOST_TEST(!applyStatedLeaving(Known));
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
