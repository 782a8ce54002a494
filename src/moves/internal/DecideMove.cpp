#include "moves/Moves.h"

#include <algorithm>

namespace lycheethread::moves {

namespace {

/// Distance between the clocks of two instances that is tolerated before the
/// lease of a silent holder is claimed.
constexpr Milliseconds ClockSkewMargin{1'000};

const Lease *findLease(const MoveTable &Table, const Move &Item) {
  const auto Found = Table.Leases.find(leaseSubject(Item.Service));
  return Found == Table.Leases.end() ? nullptr : &Found->second;
}

/// The folded lease is the record that this life of the node wrote.
bool isOwnLease(const Lease *Folded, const OwnerState &Owner) {
  return Folded != nullptr && Owner.Claim && Folded->Holder == Owner.Self &&
         Folded->Generation == Owner.Claim->Generation;
}

bool mayClaim(const Lease *Folded, const OwnerState &Owner, WallTime Now) {
  return Folded == nullptr || Folded->Holder == Owner.Self ||
         after(Folded->ExpiresAt, ClockSkewMargin) < Now;
}

MoveDecision decision(MoveAction Action, const Lease *Folded,
                      std::string Reason, const Verdict &Tested) {
  MoveDecision Result;
  Result.Action = Action;
  Result.Generation = Folded == nullptr ? Epoch() : Folded->Generation;
  Result.Reason = std::move(Reason);
  Result.Evidence = Tested.Evidence;
  return Result;
}

MoveDecision renew(const Lease *Folded, const std::string &Reason) {
  MoveDecision Result = decision(MoveAction::Renew, Folded, Reason, Verdict());
  Result.Generation = Result.Generation.next();
  return Result;
}

/// What forbids a step, whatever the evidence; empty when nothing does.
std::string obstacle(const Verdict &Tested, bool Last) {
  if (Tested.BothWorse)
    return "both versions are worse than before";
  if (Tested.Doubtful)
    return "the tests lean against the new version";
  if (Tested.GetsNoRequests)
    return "the new version gets no requests";
  if (Last && !Tested.Answered)
    return "the new version has not answered any request";
  return "";
}

/// Half of the time that the plan leaves over: a hold during a fault of both
/// versions must not make the move late at once.
Milliseconds reserveOf(const Move &Item) {
  const auto Spare = elapsed(Item.StartedAt, latestStart(Item.Plan, 0));
  return std::max(Spare / 2, Milliseconds(0));
}

/// Steps go on early when the evidence is sufficient. With too few requests
/// for that, a step is taken on schedule, which is its latest start less a
/// reserve, provided that obstacle()
/// finds nothing: no test is more than half of the way to its upper threshold
/// (one failure is not, two are with a clean baseline), no route of the new
/// version goes without the requests that its share promises, the old version
/// is not worse too, and at the end the new version has answered at least one
/// request.
bool isDue(const Move &Item, const Verdict &Tested, WallTime Now) {
  const auto Next = static_cast<std::size_t>(Item.StepsTaken);
  if (Next == 0)
    return true;
  const bool Last = Next == Item.Plan.Steps.size();
  const Milliseconds Wanted = Item.Plan.StepDuration * (Last ? 2 : 1);
  if (elapsed(Item.SteppedAt, Now) < Wanted)
    return false;
  if (Tested.Sufficient)
    return true;
  const WallTime Latest = after(latestStart(Item.Plan, Next), -reserveOf(Item));
  // latestStart of the end contains the last step's extra time.
  return Now >= (Last ? after(Latest, Item.Plan.StepDuration) : Latest);
}

/// Whether the remaining steps can no longer end before the deadline.
bool isTooLate(const Move &Item, WallTime Now) {
  const auto Next = static_cast<std::size_t>(Item.StepsTaken);
  const auto Left = static_cast<std::int64_t>(Item.Plan.Steps.size() - Next);
  if (Left == 0)
    return false;
  return after(Now, Item.Plan.StepDuration * (Left + 1)) > Item.Plan.FinishBy;
}

MoveDecision advance(const Move &Item, const Verdict &Tested,
                     const Lease *Folded, WallTime Now) {
  const auto Next = static_cast<std::size_t>(Item.StepsTaken);
  const bool Last = Next == Item.Plan.Steps.size();
  const std::string Obstacle = obstacle(Tested, Last);
  if (!Obstacle.empty())
    return decision(MoveAction::Hold, Folded, Obstacle, Tested);
  if (!isDue(Item, Tested, Now))
    return decision(MoveAction::Hold, Folded, "the step goes on", Tested);
  if (Last)
    return decision(MoveAction::Finish, Folded, "all steps passed", Tested);
  MoveDecision Result =
      decision(MoveAction::Step, Folded, "the step passed", Tested);
  Result.Share = Item.Plan.Steps[Next];
  return Result;
}

} // namespace

MoveDecision decideMove(const Move &Item, const Verdict &Tested,
                        const MoveTable &Table, const OwnerState &Owner,
                        WallTime Now) {
  if (Item.Status != MoveStatus::Running)
    return MoveDecision();
  const Lease *Folded = findLease(Table, Item);
  if (pastDeadline(Item, Now)) {
    if (!Owner.FirstCandidate)
      return MoveDecision();
    return decision(MoveAction::Undo, Folded, "not finished by the deadline",
                    Tested);
  }
  if (!isOwnLease(Folded, Owner) ||
      !leaseAllowsAppend(*Owner.Claim, Owner.SteadyNow)) {
    if (Owner.FirstCandidate && mayClaim(Folded, Owner, Now))
      return renew(Folded, "no lease of its own");
    return MoveDecision();
  }
  if (Tested.FoundBad)
    return decision(MoveAction::Undo, Folded,
                    "the new version is worse than the old one", Tested);
  if (Owner.FirstCandidate &&
      elapsed(Owner.Claim->WrittenAt, Owner.SteadyNow) >= LeaseRenewal)
    return renew(Folded, "renewal");
  if (isTooLate(Item, Now))
    return decision(MoveAction::Undo, Folded,
                    "the remaining steps do not fit before the deadline",
                    Tested);
  return advance(Item, Tested, Folded, Now);
}

} // namespace lycheethread::moves
