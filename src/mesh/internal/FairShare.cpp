#include "mesh/Mesh.h"

#include <algorithm>
#include <cmath>

namespace lycheethread::mesh {

namespace {

/// Use counts 1/e after this time.
constexpr double DecayMs = 2000;
/// Weights are made relative to the current time at this interval.
constexpr Milliseconds RenewInterval{1000};
/// An account with less use than this does not count as active.
constexpr double MinActiveMs = 1;
/// An organisation goes behind the others when it has used this many times as
/// much as they have on average. Uses within this factor differ by chance,
/// since an organisation has a few requests within the decay time only; then
/// age decides, so that waiting requests are seldom overtaken.
constexpr double LevelFactor = 2;
/// An organisation is not put back for this many requests.
constexpr double FreeRequests = 2;
/// While others use less than this part of the slots, an organisation need not
/// wait until its use has decayed.
constexpr double MinLoadForDelay = 0.9;
/// Ranks that are served in turn hold at most one of this many slots, and one
/// where there are fewer.
constexpr std::int32_t SlotsPerTurn = 6;

double weightAt(const FairShares &Shares, SteadyTime Now) {
  return std::exp(static_cast<double>(elapsed(Shares.Since, Now).count()) /
                  DecayMs);
}

OrganisationUse &useOf(FairShares &Shares, ShareAccount Account) {
  return Shares.Accounts[static_cast<std::size_t>(Account.value())];
}

double usedBy(const FairShares &Shares, ShareAccount Account) {
  return Shares.Accounts[static_cast<std::size_t>(Account.value())].SlotMs;
}

/// Returns the use of an organisation relative to what it may use before it is
/// put back.
double usedOfShare(const FairShares &Shares, ShareAccount Account) {
  const double Used = usedBy(Shares, Account);
  if (Used <= 0 || Shares.Starts <= 0)
    return 0;
  const double OfOthers =
      (Shares.SlotMs - Used) / std::max(1, Shares.Active - 1);
  return Used / std::max(LevelFactor * OfOthers,
                         FreeRequests * Shares.SlotMs / Shares.Starts);
}

/// Returns the part of the slots that other organisations have used.
double loadOfOthers(const HopQueue &Queue, ShareAccount Account,
                    SteadyTime Now) {
  const FairShares &Shares = Queue.Shares;
  return (Shares.SlotMs - usedBy(Shares, Account)) / weightAt(Shares, Now) /
         (std::max(1, Queue.Slots) * DecayMs);
}

/// Returns the part of the slots that requests more urgent than \p Rank have
/// used.
double loadOfUrgent(const HopQueue &Queue, std::int32_t Rank, SteadyTime Now) {
  double Used = 0;
  for (const RecentRank &Item : Queue.RecentRanks)
    if (Item.Rank < Rank)
      Used += Item.SlotMs;
  return Used / weightAt(Queue.Shares, Now) /
         (std::max(1, Queue.Slots) * DecayMs);
}

/// Drops the accounts that have used nothing lately. No job may refer to any.
void dropIdle(FairShares &Shares) {
  std::vector<OrganisationUse> Kept{Shares.Accounts.front()};
  Shares.Positions.clear();
  for (std::size_t Index = 1; Index < Shares.Accounts.size(); ++Index) {
    OrganisationUse &Item = Shares.Accounts[Index];
    if (Item.SlotMs < MinActiveMs)
      continue;
    Shares.Positions.emplace(
        Item.Organisation,
        ShareAccount(static_cast<std::int64_t>(Kept.size())));
    Kept.push_back(std::move(Item));
  }
  Shares.Accounts = std::move(Kept);
}

/// Makes weights relative to \p Now, before they become too large.
void renew(HopQueue &Queue, SteadyTime Now) {
  FairShares &Shares = Queue.Shares;
  if (elapsed(Shares.Since, Now) < RenewInterval)
    return;
  const double Decay = 1 / weightAt(Shares, Now);
  Shares.Since = Now;
  Shares.Starts *= Decay;
  Shares.SlotMs = 0;
  Shares.Active = 0;
  for (OrganisationUse &Item : Shares.Accounts) {
    Item.SlotMs *= Decay;
    Shares.SlotMs += Item.SlotMs;
    if (Item.SlotMs >= MinActiveMs)
      ++Shares.Active;
  }
  for (RecentRank &Item : Queue.RecentRanks)
    Item.SlotMs *= Decay;
}

void addUse(FairShares &Shares, ShareAccount Account, double SlotMs,
            SteadyTime Now) {
  double &Used = useOf(Shares, Account).SlotMs;
  const bool WasActive = Used >= MinActiveMs;
  const double Before = Used;
  Used = std::max(0.0, Used + SlotMs * weightAt(Shares, Now));
  Shares.SlotMs = std::max(0.0, Shares.SlotMs + Used - Before);
  if (!WasActive && Used >= MinActiveMs)
    ++Shares.Active;
}

template <typename Queue> auto findRank(Queue &Of, std::int32_t Rank) {
  return std::find_if(
      Of.RecentRanks.begin(), Of.RecentRanks.end(),
      [Rank](const RecentRank &Item) { return Item.Rank == Rank; });
}

/// Returns when a request of \p Rank gets a slot before more urgent ones; empty
/// while it holds a slot.
std::optional<SteadyTime> turnAt(const HopQueue &Queue, std::int32_t Rank) {
  const auto Item = findRank(Queue, Rank);
  if (Item == Queue.RecentRanks.end() || Item->Running > 0)
    return std::nullopt;
  const SteadyTime Asked = Item->UnservedSince.value_or(Item->LastSlotAt);
  return after(std::max(Asked, Item->LastSlotAt), Item->LongestWait);
}

/// Returns how many slots requests less urgent than \p Rank hold.
std::int32_t lessUrgentRunning(const HopQueue &Queue, std::int32_t Rank) {
  std::int32_t Running = 0;
  for (const RecentRank &Item : Queue.RecentRanks)
    if (Item.Rank > Rank)
      Running += Item.Running;
  return Running;
}

/// Returns whether a request may get a slot in turn before one of \p Rank.
bool hasTurns(const HopQueue &Queue, std::int32_t Rank) {
  return Rank > NestedCallRank && lessUrgentRunning(Queue, Rank) <
                                      std::max(1, Queue.Slots / SlotsPerTurn);
}

} // namespace

ShareAccount shareAccountOf(HopQueue &Queue,
                            const organisations::OrganisationId &Organisation,
                            SteadyTime Now) {
  if (Organisation.empty())
    return ShareAccount();
  FairShares &Shares = Queue.Shares;
  const auto Found = Shares.Positions.find(Organisation);
  if (Found != Shares.Positions.end())
    return Found->second;
  // Positions stay valid while a job may refer to one.
  if (Queue.Running == 0 && Queue.Waiting.empty()) {
    renew(Queue, Now);
    dropIdle(Shares);
  }
  const ShareAccount Account(static_cast<std::int64_t>(Shares.Accounts.size()));
  Shares.Accounts.push_back({Organisation, 0});
  Shares.Positions.emplace(Organisation, Account);
  return Account;
}

int shareLevel(const FairShares &Shares, ShareAccount Account) {
  const double Excess = usedOfShare(Shares, Account);
  return Excess <= 1 ? 0 : 1 + std::ilogb(Excess);
}

int shareLevel(const FairShares &Shares,
               const organisations::OrganisationId &Organisation) {
  if (Shares.Active < 2)
    return 0;
  if (Organisation.empty())
    return shareLevel(Shares, ShareAccount());
  const auto Found = Shares.Positions.find(Organisation);
  return Found == Shares.Positions.end() ? 0
                                         : shareLevel(Shares, Found->second);
}

// Once a request has waited as long as its admission allowed for, no
// organisation goes before it any more, so that hardly any request is admitted
// and refused later.
int shareLevel(const HopQueue &Queue, const QueuedJob &Job, SteadyTime Now) {
  return elapsed(Job.Arrived, Now) > longestWait(Job.Objective)
             ? 0
             : shareLevel(Queue.Shares, Job.Account);
}

// The wait of a low priority is stretched by the load that goes before it.
double overtakingFactor(const HopQueue &Queue, const QueuedJob &Job,
                        double MaxLoad, SteadyTime Now) {
  if (!Queue.SharesSlots)
    return 1;
  double Load = loadOfUrgent(Queue, Job.Rank, Now);
  if (shareLevel(Queue.Shares, Job.Account) > 0)
    Load = std::max(Load, loadOfOthers(Queue, Job.Account, Now));
  return 1 / (1 - std::min(MaxLoad, Load));
}

Milliseconds shareDelay(const HopQueue &Queue, const QueuedJob &Job,
                        SteadyTime Now) {
  const double Excess = usedOfShare(Queue.Shares, Job.Account);
  if (Excess <= 1 || loadOfOthers(Queue, Job.Account, Now) < MinLoadForDelay)
    return Milliseconds(0);
  return Milliseconds(static_cast<std::int64_t>(DecayMs * std::log(Excess)));
}

void startSlot(HopQueue &Queue, const QueuedJob &Job, SteadyTime Now) {
  renew(Queue, Now);
  const double Charge = static_cast<double>(Job.ServiceTime.count());
  const auto Rank = findRank(Queue, Job.Rank);
  if (Rank != Queue.RecentRanks.end()) {
    Rank->SlotMs += Charge * weightAt(Queue.Shares, Now);
    ++Rank->Running;
    Rank->LastSlotAt = Now;
    Rank->UnservedSince.reset();
  }
  // Nested calls belong to requests that have been charged elsewhere.
  if (Job.Rank <= NestedCallRank)
    return;
  addUse(Queue.Shares, Job.Account, Charge, Now);
  Queue.Shares.Starts += weightAt(Queue.Shares, Now);
}

void endSlot(HopQueue &Queue, const SlotUse &Use, SteadyTime Now) {
  --Queue.Running;
  renew(Queue, Now);
  const double Correction =
      static_cast<double>((elapsed(Use.StartedAt, Now) - Use.Expected).count());
  const auto Rank = findRank(Queue, Use.Rank);
  if (Rank != Queue.RecentRanks.end()) {
    Rank->SlotMs =
        std::max(0.0, Rank->SlotMs + Correction * weightAt(Queue.Shares, Now));
    Rank->Running = std::max(0, Rank->Running - 1);
    Rank->LastSlotAt = Now;
  }
  if (Use.Rank > NestedCallRank)
    addUse(Queue.Shares, Use.Account, Correction, Now);
}

std::optional<Milliseconds> turnDelay(const HopQueue &Queue,
                                      const QueuedJob &Job, SteadyTime Now) {
  if (!Queue.SharesSlots)
    return std::nullopt;
  std::int32_t Urgent = Job.Rank;
  for (const QueuedJob &Other : Queue.Waiting) {
    Urgent = std::min(Urgent, Other.Rank);
    if (Other.Rank == Job.Rank && runsBefore(Queue, Other, Job, Now))
      return std::nullopt;
  }
  if (Urgent == Job.Rank || !hasTurns(Queue, Urgent))
    return std::nullopt;
  const auto Turn = turnAt(Queue, Job.Rank);
  if (!Turn)
    return std::nullopt;
  return std::max(Milliseconds(0), elapsed(Now, *Turn));
}

std::size_t nextInTurn(const HopQueue &Queue, std::size_t First,
                       SteadyTime Now) {
  if (!Queue.SharesSlots)
    return First;
  const std::int32_t Rank = Queue.Waiting[First].Rank;
  if (Queue.RecentRanks.size() < 2 || !hasTurns(Queue, Rank))
    return First;
  std::size_t Best = First;
  SteadyTime BestTurn = Now;
  for (std::size_t Index = 0; Index < Queue.Waiting.size(); ++Index) {
    const QueuedJob &Job = Queue.Waiting[Index];
    if (Job.Rank <= Rank)
      continue;
    const bool IsSameRank = Job.Rank == Queue.Waiting[Best].Rank;
    if (IsSameRank && !runsBefore(Queue, Job, Queue.Waiting[Best], Now))
      continue;
    const auto Turn = turnAt(Queue, Job.Rank);
    if (Turn && (IsSameRank || *Turn < BestTurn)) {
      Best = Index;
      BestTurn = *Turn;
    }
  }
  return Best;
}

} // namespace lycheethread::mesh
