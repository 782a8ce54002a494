#include "moves/Moves.h"
#include "moves/internal/MoveLookup.h"

#include <algorithm>

namespace lycheethread::moves {

namespace {

std::string truncated(const std::string &Text) {
  return Text.substr(0, MaxMoveTextBytes);
}

/// Returns whether the ended move at \p Index can be dropped. The last ended
/// move of a group is kept, because it selects the version that serves the
/// group.
bool isSuperseded(const MoveTable &Table, std::size_t Index) {
  const Move &Item = Table.Ended[Index];
  return findLastEnded(Table, Item.Service, Item.Plan.Group) != &Item;
}

void dropOldest(MoveTable &Table) {
  if (Table.Ended.size() <= MaxEndedMoves)
    return;
  for (std::size_t I = 0; I < Table.Ended.size(); ++I) {
    if (!isSuperseded(Table, I))
      continue;
    Table.Ended.erase(Table.Ended.begin() + static_cast<std::ptrdiff_t>(I));
    return;
  }
}

void endMove(MoveTable &Table, const MoveId &Id, MoveStatus Status,
             WallTime LogTime, const std::string &Reason,
             const std::string &Evidence) {
  const auto Found = Table.Running.find(Id);
  Move Ended = std::move(Found->second);
  Table.Running.erase(Found);
  Ended.Status = Status;
  if (Status == MoveStatus::Undone)
    Ended.Share = Permille(0);
  Ended.EndedAt = LogTime;
  Ended.Reason = truncated(Reason);
  Ended.Evidence = truncated(Evidence);
  Table.Ended.push_back(std::move(Ended));
  dropOldest(Table);
}

void startMove(MoveTable &Table, const ServiceName &Service,
               const MovePlan &Plan, Revision Accepted, WallTime LogTime) {
  Move Started;
  Started.Id = MoveId(Service.str() + "/" + Plan.Group.str() + "/" +
                      std::to_string(Accepted.value()));
  Started.Service = Service;
  Started.Plan = Plan;
  Started.StartedAt = LogTime;
  Started.SteppedAt = LogTime;
  Table.Running.emplace(Started.Id, Started);
}

void endChangedMoves(MoveTable &Table, const ServiceDocument &Document,
                     Revision Accepted, WallTime LogTime) {
  std::vector<MoveId> Changed;
  for (const auto &[Id, Item] : Table.Running) {
    if (Item.Service != Document.Service)
      continue;
    const auto Plan = Document.Moves.find(Item.Plan.Group);
    if (Plan == Document.Moves.end() || !samePlan(Plan->second, Item.Plan))
      Changed.push_back(Id);
  }
  for (const MoveId &Id : Changed)
    endMove(Table, Id, MoveStatus::Undone, LogTime,
            "revision " + std::to_string(Accepted.value()) +
                " changes or removes the plan",
            "");
}

/// Removes the ended moves of groups that no longer exist, which bounds the
/// table by the number of existing groups.
void dropRemovedGroups(MoveTable &Table, const ServiceDocument &Document) {
  const auto Gone = [&](const Move &Item) {
    return Item.Service == Document.Service &&
           Document.Groups.count(Item.Plan.Group) == 0;
  };
  Table.Ended.erase(
      std::remove_if(Table.Ended.begin(), Table.Ended.end(), Gone),
      Table.Ended.end());
}

bool foldLease(MoveTable &Table, const LeaseRecord &Claim,
               const RecordHeader &Header, WallTime LogTime) {
  if (Claim.Holder != Header.Writer || Claim.Length <= Milliseconds(0) ||
      Claim.Length > MaxLeaseDuration)
    return false;
  const auto Found = Table.Leases.find(Claim.Subject);
  const bool Known = Found != Table.Leases.end();
  if (!Known && Table.Leases.size() >= MaxLeases)
    return false;
  const Lease Last = Known ? Found->second : Lease{};
  if (Claim.Generation != Last.Generation.next())
    return false;
  if (Known && Claim.Holder != Last.Holder && Last.ExpiresAt >= LogTime)
    return false;
  // The lease counts from the writer's clock. After a record from a clock that
  // is ahead, log time does not advance, and a lease that counts from log time
  // would not expire.
  Table.Leases[Claim.Subject] = {Claim.Holder, Claim.Generation,
                                 after(Header.WrittenAt, Claim.Length)};
  return true;
}

bool holdsLease(const MoveTable &Table, const Move &Item,
                const RecordHeader &Header, Epoch Generation) {
  const auto Found = Table.Leases.find(leaseSubject(Item.Service));
  return Found != Table.Leases.end() && Found->second.Holder == Header.Writer &&
         Found->second.Generation == Generation;
}

/// Raising the share and finishing also require that the lease has not expired.
bool holdsUnexpiredLease(const MoveTable &Table, const Move &Item,
                         const RecordHeader &Header, Epoch Generation,
                         WallTime LogTime) {
  return holdsLease(Table, Item, Header, Generation) &&
         Table.Leases.at(leaseSubject(Item.Service)).ExpiresAt >= LogTime;
}

bool foldStep(MoveTable &Table, const MoveStepRecord &Step,
              const RecordHeader &Header, WallTime LogTime) {
  const auto Found = Table.Running.find(Step.Move);
  if (Found == Table.Running.end())
    return false;
  Move &Item = Found->second;
  if (!holdsUnexpiredLease(Table, Item, Header, Step.Generation, LogTime))
    return false;
  const auto Next = static_cast<std::size_t>(Item.StepsTaken);
  if (Next >= Item.Plan.Steps.size() || Item.Plan.Steps[Next] != Step.Share)
    return false;
  Item.Share = Step.Share;
  ++Item.StepsTaken;
  Item.SteppedAt = LogTime;
  Item.Evidence = truncated(Step.Evidence);
  return true;
}

bool mayEnd(const MoveTable &Table, const Move &Item, const MoveEndRecord &End,
            const RecordHeader &Header, WallTime LogTime) {
  if (End.Outcome == MoveOutcome::Undone)
    return pastDeadline(Item, LogTime) ||
           holdsLease(Table, Item, Header, End.Generation);
  return static_cast<std::size_t>(Item.StepsTaken) == Item.Plan.Steps.size() &&
         !pastDeadline(Item, LogTime) &&
         holdsUnexpiredLease(Table, Item, Header, End.Generation, LogTime);
}

bool foldEnd(MoveTable &Table, const MoveEndRecord &End,
             const RecordHeader &Header, WallTime LogTime) {
  const auto Found = Table.Running.find(End.Move);
  if (Found == Table.Running.end() ||
      !mayEnd(Table, Found->second, End, Header, LogTime))
    return false;
  const MoveStatus Status = End.Outcome == MoveOutcome::Finished
                                ? MoveStatus::Finished
                                : MoveStatus::Undone;
  endMove(Table, MoveId(End.Move), Status, LogTime, End.Reason, End.Evidence);
  return true;
}

bool hasRepeatableRoute(const ServiceDocument &Document,
                        const GroupName &Group) {
  return std::any_of(Document.Routes.begin(), Document.Routes.end(),
                     [&](const auto &Entry) {
                       return Entry.second.Group == Group &&
                              Entry.second.Class == RequestClass::Repeatable;
                     });
}

/// Limits the share of the new version, so that the old version keeps enough
/// traffic for a comparison.
Permille limitCandidateShare(Permille Share) {
  return std::min(Share, Permille(1000 - MinStableShare.value()));
}

Permille nonRetryableShare(const Move &Item, const ServiceDocument &Document) {
  const bool Last = Item.Share == Permille(1000);
  if (Last || !hasRepeatableRoute(Document, Item.Plan.Group))
    return limitCandidateShare(Item.Share);
  if (Item.StepsTaken < 2)
    return Permille(0);
  return Item.Plan.Steps[static_cast<std::size_t>(Item.StepsTaken) - 2];
}

} // namespace

LeaseSubject leaseSubject(const ServiceName &Service) {
  return LeaseSubject("moves/" + Service.str());
}

bool pastDeadline(const Move &Item, WallTime Now) {
  return Now > Item.Plan.FinishBy;
}

void applyDocument(MoveTable &Table, const ServiceDocument &Document,
                   Revision Accepted, WallTime LogTime) {
  expireMoves(Table, LogTime);
  endChangedMoves(Table, Document, Accepted, LogTime);
  dropRemovedGroups(Table, Document);
  for (const auto &[Group, Plan] : Document.Moves)
    if (!isKnownPlan(Table, Document.Service, Plan) && LogTime < Plan.FinishBy)
      startMove(Table, Document.Service, Plan, Accepted, LogTime);
}

bool foldMoveRecord(MoveTable &Table, const Record &Item, WallTime LogTime) {
  bool Changed = false;
  if (const auto *Claim = std::get_if<LeaseRecord>(&Item.Body))
    Changed = foldLease(Table, *Claim, Item.Header, LogTime);
  // An end record is applied before expired moves end, so that its reason is
  // kept.
  if (const auto *End = std::get_if<MoveEndRecord>(&Item.Body))
    Changed = foldEnd(Table, *End, Item.Header, LogTime);
  expireMoves(Table, LogTime);
  if (const auto *Step = std::get_if<MoveStepRecord>(&Item.Body))
    Changed = foldStep(Table, *Step, Item.Header, LogTime);
  return Changed;
}

void expireMoves(MoveTable &Table, WallTime LogTime) {
  std::vector<MoveId> Late;
  for (const auto &[Id, Item] : Table.Running)
    if (pastDeadline(Item, LogTime))
      Late.push_back(Id);
  for (const MoveId &Id : Late)
    endMove(Table, Id, MoveStatus::Undone, LogTime,
            "not finished by the deadline",
            std::string(Table.Running.at(Id).Evidence));
}

TrafficSplit trafficSplitOf(const MoveTable &Table,
                            const ServiceDocument &Document,
                            const GroupName &Group) {
  TrafficSplit Result;
  const Move *Running = findRunning(Table, Document.Service, Group);
  if (Running != nullptr) {
    Result.Stable = Running->Plan.From;
    Result.InProgress = Running->Id;
    Result.Candidate = Running->Plan.To;
    Result.CandidateShare = limitCandidateShare(Running->Share);
    Result.NonRetryableShare = nonRetryableShare(*Running, Document);
    return Result;
  }
  const auto Found = Document.Groups.find(Group);
  if (Found == Document.Groups.end() || Found->second.Versions.empty())
    return Result;
  const std::vector<VersionName> &Listed = Found->second.Versions;
  Result.Stable = Listed.front();
  const Move *Ended = findLastEnded(Table, Document.Service, Group);
  if (Ended == nullptr)
    return Result;
  // After an undone move, the version that it started from keeps serving, even
  // when the document lists the rejected version first.
  const VersionName &Left =
      Ended->Status == MoveStatus::Finished ? Ended->Plan.To : Ended->Plan.From;
  if (std::find(Listed.begin(), Listed.end(), Left) != Listed.end())
    Result.Stable = Left;
  return Result;
}

Permille candidateShare(RequestClass Class, const TrafficSplit &Split) {
  return Class == RequestClass::Repeatable ? Split.CandidateShare
                                           : Split.NonRetryableShare;
}

} // namespace lycheethread::moves
