#include "moves/Moves.h"

#include <algorithm>

namespace lycheethread::moves {

namespace {

/// Clock difference between two instances that is tolerated before the expired
/// lease of another holder is claimed.
constexpr Milliseconds ClockSkewMargin{1'000};

const Lease *findLease(const MoveTable &Table, const Move &Item) {
  const auto Found = Table.Leases.find(leaseSubject(Item.Service));
  return Found == Table.Leases.end() ? nullptr : &Found->second;
}

/// Returns whether this node wrote the current lease since it started.
bool isOwnLease(const Lease *Current, const OwnerState &Owner) {
  return Current != nullptr && Owner.Claim && Current->Holder == Owner.Self &&
         Current->Generation == Owner.Claim->Generation;
}

bool mayClaim(const Lease *Current, const OwnerState &Owner, WallTime Now) {
  return Current == nullptr || Current->Holder == Owner.Self ||
         after(Current->ExpiresAt, ClockSkewMargin) < Now;
}

MoveDecision decision(MoveAction Action, const Lease *Current,
                      std::string Reason, const Verdict &TestResult) {
  MoveDecision Result;
  Result.Action = Action;
  Result.Generation = Current == nullptr ? Epoch() : Current->Generation;
  Result.Reason = std::move(Reason);
  Result.Evidence = TestResult.Evidence;
  return Result;
}

MoveDecision renew(const Lease *Current, const std::string &Reason) {
  MoveDecision Result = decision(MoveAction::Renew, Current, Reason, Verdict());
  Result.Generation = Result.Generation.next();
  return Result;
}

/// Returns the reason that blocks a step even with sufficient evidence; empty
/// when there is none.
std::string findObstacle(const Verdict &TestResult, bool Last) {
  if (TestResult.BothWorse)
    return "both versions are worse than before";
  if (TestResult.Doubtful)
    return "the tests suggest that the new version is worse";
  if (TestResult.GetsNoRequests)
    return "the new version gets no requests";
  if (Last && !TestResult.Answered)
    return "the new version has not answered any request";
  return "";
}

/// Returns half of the slack in the plan. Steps on schedule are taken this
/// early, so that a hold during a fault of both versions does not make the move
/// late at once.
Milliseconds reserveOf(const Move &Item) {
  const auto Spare = elapsed(Item.StartedAt, latestStart(Item.Plan, 0));
  return std::max(Spare / 2, Milliseconds(0));
}

/// A step is taken early when the evidence is sufficient. With too few requests
/// for that, it is taken on schedule, which is its latest start less a reserve,
/// unless findObstacle() blocks it: no test may have passed half of its upper
/// threshold (with a clean baseline, one failure does not reach it but two do),
/// every route of the new version must get the requests that its share implies,
/// the old version must not be worse too, and before the move finishes the new
/// version must have answered at least one request.
bool isDue(const Move &Item, const Verdict &TestResult, WallTime Now) {
  const auto Next = static_cast<std::size_t>(Item.StepsTaken);
  if (Next == 0)
    return true;
  const bool Last = Next == Item.Plan.Steps.size();
  const Milliseconds Wanted = Item.Plan.StepDuration * (Last ? 2 : 1);
  if (elapsed(Item.SteppedAt, Now) < Wanted)
    return false;
  if (TestResult.Sufficient)
    return true;
  const WallTime Latest = after(latestStart(Item.Plan, Next), -reserveOf(Item));
  // For the last step, latestStart() already includes the extra step duration.
  return Now >= (Last ? after(Latest, Item.Plan.StepDuration) : Latest);
}

/// Returns whether the remaining steps can no longer end before the deadline.
bool isTooLate(const Move &Item, WallTime Now) {
  const auto Next = static_cast<std::size_t>(Item.StepsTaken);
  const auto Left = static_cast<std::int64_t>(Item.Plan.Steps.size() - Next);
  if (Left == 0)
    return false;
  return after(Now, Item.Plan.StepDuration * (Left + 1)) > Item.Plan.FinishBy;
}

MoveDecision advance(const Move &Item, const Verdict &TestResult,
                     const Lease *Current, WallTime Now) {
  const auto Next = static_cast<std::size_t>(Item.StepsTaken);
  const bool Last = Next == Item.Plan.Steps.size();
  const std::string Obstacle = findObstacle(TestResult, Last);
  if (!Obstacle.empty())
    return decision(MoveAction::Hold, Current, Obstacle, TestResult);
  if (!isDue(Item, TestResult, Now))
    return decision(MoveAction::Hold, Current, "the step is in progress",
                    TestResult);
  if (Last)
    return decision(MoveAction::Finish, Current, "all steps passed",
                    TestResult);
  MoveDecision Result =
      decision(MoveAction::Step, Current, "the step passed", TestResult);
  Result.Share = Item.Plan.Steps[Next];
  return Result;
}

} // namespace

MoveDecision decideMove(const Move &Item, const Verdict &TestResult,
                        const MoveTable &Table, const OwnerState &Owner,
                        WallTime Now) {
  if (Item.Status != MoveStatus::Running)
    return MoveDecision();
  const Lease *Current = findLease(Table, Item);
  if (pastDeadline(Item, Now)) {
    if (!Owner.FirstCandidate)
      return MoveDecision();
    return decision(MoveAction::Undo, Current, "not finished by the deadline",
                    TestResult);
  }
  if (!isOwnLease(Current, Owner) ||
      !leaseAllowsAppend(*Owner.Claim, Owner.SteadyNow)) {
    if (Owner.FirstCandidate && mayClaim(Current, Owner, Now))
      return renew(Current, "this node holds no lease");
    return MoveDecision();
  }
  if (TestResult.IsNewVersionBad)
    return decision(MoveAction::Undo, Current,
                    "the new version is worse than the old one", TestResult);
  if (Owner.FirstCandidate &&
      elapsed(Owner.Claim->WrittenAt, Owner.SteadyNow) >= LeaseRenewal)
    return renew(Current, "renewal");
  if (isTooLate(Item, Now))
    return decision(MoveAction::Undo, Current,
                    "the remaining steps do not fit before the deadline",
                    TestResult);
  return advance(Item, TestResult, Current, Now);
}

} // namespace lycheethread::moves
