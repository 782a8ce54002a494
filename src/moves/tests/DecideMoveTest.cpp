#include "moves/tests/MoveFixture.h"

#include <boost/test/unit_test.hpp>

using namespace lycheethread;
using namespace lycheethread::moves;
using namespace lycheethread::moves::test;

namespace {

Verdict clean() {
  Verdict Result;
  Result.Answered = true;
  return Result;
}

/// Owner "a" with epoch 1. Its lease was written at second 1, at 1000 ms of the
/// steady clock.
struct OwnedMove {
  MoveLog Log;
  OwnerState Owner;

  explicit OwnedMove(std::int64_t Deadline) : Log(runningLog(Deadline)) {
    Log.lease("a", 1, 1);
    Owner.Self = NodeId("a");
    Owner.FirstCandidate = true;
    Owner.Claim = LeaseClaim{Epoch(1), SteadyTime(1'000)};
    Owner.SteadyNow = SteadyTime(1'500);
  }
  MoveDecision decide(const Verdict &TestResult, std::int64_t Seconds) const {
    return decideMove(Log.Table.Running.at(FirstMove), TestResult, Log.Table,
                      Owner, at(Seconds));
  }
};

} // namespace

BOOST_AUTO_TEST_SUITE(DecideMoveSuite)

// Guards against action by a node that resumed after a pause under a lease that
// has expired meanwhile. The wall clock may show any time then, but the steady
// clock (CLOCK_BOOTTIME) has also counted the pause.
BOOST_AUTO_TEST_CASE(AResumedOwnerRenewsBeforeItActs) {
  OwnedMove Fixture(100);
  BOOST_TEST((Fixture.decide(clean(), 2).Action == MoveAction::Step));
  Fixture.Owner.SteadyNow = SteadyTime(30'000);
  BOOST_TEST((Fixture.decide(clean(), 2).Action == MoveAction::Renew));
  Fixture.Owner.FirstCandidate = false;
  BOOST_TEST((Fixture.decide(clean(), 2).Action == MoveAction::None));
}

// Guards against a restarted node that acts under a lease from before its
// restart.
BOOST_AUTO_TEST_CASE(ARestartedOwnerTakesANewEpoch) {
  OwnedMove Fixture(100);
  Fixture.Owner.Claim.reset();
  const MoveDecision Next = Fixture.decide(clean(), 2);
  BOOST_TEST((Next.Action == MoveAction::Renew));
  BOOST_TEST(Next.Generation == Epoch(2));
}

// Guards against a candidate that claims a lease which its holder still renews.
BOOST_AUTO_TEST_CASE(ACandidateWaitsUntilTheLeaseExpires) {
  OwnedMove Fixture(100);
  Fixture.Owner.Self = NodeId("b");
  BOOST_TEST((Fixture.decide(clean(), 5).Action == MoveAction::None));
  BOOST_TEST((Fixture.decide(clean(), 13).Action == MoveAction::Renew));
}

// Guards against a claim that counts as a held lease before it is read back,
// and against a retry after a lost response that changes the start of the
// lease.
BOOST_AUTO_TEST_CASE(AClaimCountsAfterItIsReadBack) {
  MoveLog Log = runningLog();
  OwnClaims Claims;
  BOOST_TEST(beginClaim(Claims, Epoch(1), SteadyTime(100)));
  BOOST_TEST(!beginClaim(Claims, Epoch(1), SteadyTime(600)));
  BOOST_TEST(beginClaim(Claims, Epoch(1), SteadyTime(2'200)));
  confirmClaim(Claims, Log.Table, Desk, NodeId("a"));
  BOOST_TEST(!Claims.Confirmed.has_value());
  Log.lease("a", 1, 1);
  confirmClaim(Claims, Log.Table, Desk, NodeId("a"));
  BOOST_REQUIRE(Claims.Confirmed.has_value());
  BOOST_TEST(Claims.Confirmed->WrittenAt == SteadyTime(100));
  Log.lease("b", 20, 2);
  confirmClaim(Claims, Log.Table, Desk, NodeId("a"));
  BOOST_TEST(!Claims.Confirmed.has_value());
}

// Guards against a premature step when there is hardly any traffic, and against
// moves of a service with little traffic that never finish.
BOOST_AUTO_TEST_CASE(WithFewSamplesStepsWaitForTheirLatestStart) {
  OwnedMove Fixture(100);
  Fixture.Log.step("a", 2, 1, 10);
  BOOST_TEST((Fixture.decide(clean(), 20).Action == MoveAction::Hold));
  BOOST_TEST((Fixture.decide(clean(), 65).Action == MoveAction::Step));
  Verdict Doubt = clean();
  Doubt.Doubtful = true;
  BOOST_TEST((Fixture.decide(Doubt, 65).Action == MoveAction::Hold));
  Verdict Passed = clean();
  Passed.Sufficient = true;
  BOOST_TEST((Fixture.decide(Passed, 13).Action == MoveAction::Step));
}

// Guards against `finished` for a version that never answered a request.
BOOST_AUTO_TEST_CASE(FinishNeedsAnAnswer) {
  OwnedMove Fixture(100);
  for (const int Share : {10, 250, 1000})
    Fixture.Log.step("a", 2, 1, Share);
  BOOST_TEST((Fixture.decide(Verdict(), 98).Action == MoveAction::Hold));
  BOOST_TEST((Fixture.decide(clean(), 98).Action == MoveAction::Finish));
  Verdict Passed = clean();
  Passed.Sufficient = true;
  BOOST_TEST((Fixture.decide(Passed, 13).Action == MoveAction::Hold));
  BOOST_TEST((Fixture.decide(Passed, 23).Action == MoveAction::Finish));
}

// Guards against a move that does not end after a log outage across the
// deadline: the owner has lost its lease, and the first candidate must end the
// move without one.
BOOST_AUTO_TEST_CASE(AfterTheDeadlineTheFirstCandidateUndoes) {
  OwnedMove Fixture(100);
  Fixture.Owner.Claim.reset();
  BOOST_TEST((Fixture.decide(clean(), 101).Action == MoveAction::Undo));
  Fixture.Owner.FirstCandidate = false;
  BOOST_TEST((Fixture.decide(clean(), 101).Action == MoveAction::None));
}

// Guards against a move on hold that keeps its share although its remaining
// steps cannot end before the deadline.
BOOST_AUTO_TEST_CASE(AMoveThatNoLongerFitsIsUndone) {
  OwnedMove Fixture(100);
  Fixture.Log.step("a", 2, 1, 10);
  BOOST_TEST((Fixture.decide(clean(), 71).Action == MoveAction::Undo));
}

// Guards against evidence that is ignored because a step is still in progress.
BOOST_AUTO_TEST_CASE(ABadVersionIsUndoneAtOnce) {
  OwnedMove Fixture(100);
  Verdict Bad = clean();
  Bad.IsNewVersionBad = true;
  Bad.BothWorse = true;
  BOOST_TEST((Fixture.decide(Bad, 2).Action == MoveAction::Undo));
}

BOOST_AUTO_TEST_SUITE_END()
