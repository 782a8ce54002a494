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

/// Owner "a" with epoch 1, written at second 1 when the steady clock was 1000.
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
  MoveDecision decide(const Verdict &Tested, std::int64_t Seconds) const {
    return decideMove(Log.Table.Running.at(FirstMove), Tested, Log.Table, Owner,
                      at(Seconds));
  }
};

} // namespace

BOOST_AUTO_TEST_SUITE(DecideMoveSuite)

// Guards against action by a node that resumed after a pause: the wall clock
// may say anything, the boot clock has run on.
BOOST_AUTO_TEST_CASE(AResumedOwnerRenewsBeforeItActs) {
  OwnedMove Run(100);
  BOOST_TEST((Run.decide(clean(), 2).Action == MoveAction::Step));
  Run.Owner.SteadyNow = SteadyTime(30'000);
  BOOST_TEST((Run.decide(clean(), 2).Action == MoveAction::Renew));
  Run.Owner.FirstCandidate = false;
  BOOST_TEST((Run.decide(clean(), 2).Action == MoveAction::None));
}

// Guards against a restarted node that acts under the lease of its last life.
BOOST_AUTO_TEST_CASE(ARestartedOwnerTakesANewEpoch) {
  OwnedMove Run(100);
  Run.Owner.Claim.reset();
  const MoveDecision Next = Run.decide(clean(), 2);
  BOOST_TEST((Next.Action == MoveAction::Renew));
  BOOST_TEST(Next.Generation == Epoch(2));
}

// Guards against a candidate that fights for the lease of a living holder.
BOOST_AUTO_TEST_CASE(ACandidateWaitsUntilTheLeaseExpires) {
  OwnedMove Run(100);
  Run.Owner.Self = NodeId("b");
  BOOST_TEST((Run.decide(clean(), 5).Action == MoveAction::None));
  BOOST_TEST((Run.decide(clean(), 13).Action == MoveAction::Renew));
}

// Guards against a claim that counts as held before it is read back, and
// against a lost answer that shortens or lengthens the lease.
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

// Guards against a step by accident when there is hardly any traffic, and
// against a quiet service whose moves never finish.
BOOST_AUTO_TEST_CASE(WithFewSamplesStepsWaitForTheirLatestStart) {
  OwnedMove Run(100);
  Run.Log.step("a", 2, 1, 10);
  BOOST_TEST((Run.decide(clean(), 20).Action == MoveAction::Hold));
  BOOST_TEST((Run.decide(clean(), 65).Action == MoveAction::Step));
  Verdict Doubt = clean();
  Doubt.Doubtful = true;
  BOOST_TEST((Run.decide(Doubt, 65).Action == MoveAction::Hold));
  Verdict Passed = clean();
  Passed.Sufficient = true;
  BOOST_TEST((Run.decide(Passed, 13).Action == MoveAction::Step));
}

// Guards against `finished` for a version that has never answered.
BOOST_AUTO_TEST_CASE(FinishNeedsAnAnswer) {
  OwnedMove Run(100);
  for (const int Share : {10, 250, 1000})
    Run.Log.step("a", 2, 1, Share);
  BOOST_TEST((Run.decide(Verdict(), 98).Action == MoveAction::Hold));
  BOOST_TEST((Run.decide(clean(), 98).Action == MoveAction::Finish));
  Verdict Passed = clean();
  Passed.Sufficient = true;
  BOOST_TEST((Run.decide(Passed, 13).Action == MoveAction::Hold));
  BOOST_TEST((Run.decide(Passed, 23).Action == MoveAction::Finish));
}

// Guards against a log outage across the deadline: the owner lost its lease,
// and the first candidate has to end the move without one.
BOOST_AUTO_TEST_CASE(AfterTheDeadlineTheFirstCandidateUndoes) {
  OwnedMove Run(100);
  Run.Owner.Claim.reset();
  BOOST_TEST((Run.decide(clean(), 101).Action == MoveAction::Undo));
  Run.Owner.FirstCandidate = false;
  BOOST_TEST((Run.decide(clean(), 101).Action == MoveAction::None));
}

// Guards against a held move that keeps its share although it cannot end.
BOOST_AUTO_TEST_CASE(AMoveThatNoLongerFitsIsUndone) {
  OwnedMove Run(100);
  Run.Log.step("a", 2, 1, 10);
  BOOST_TEST((Run.decide(clean(), 71).Action == MoveAction::Undo));
}

// Guards against evidence that is ignored because a step is not yet over.
BOOST_AUTO_TEST_CASE(ACondemnedVersionIsUndoneAtOnce) {
  OwnedMove Run(100);
  Verdict Bad = clean();
  Bad.FoundBad = true;
  Bad.BothWorse = true;
  BOOST_TEST((Run.decide(Bad, 2).Action == MoveAction::Undo));
}

BOOST_AUTO_TEST_SUITE_END()
