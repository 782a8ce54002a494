#include "distribution/Distribution.h"
#include "membership/internal/Internal.h"

#include <algorithm>
#include <string>

namespace lycheethread::membership {

namespace {

int terminalRank(const Update &Item) {
  if (Item.MemberInfo.State == MemberState::Left)
    return 2;
  return Item.MemberInfo.State == MemberState::Dead ? 1 : 0;
}

bool overrides(const Update &New, const Update &Old) {
  if (New.MemberInfo.IncarnationNumber != Old.MemberInfo.IncarnationNumber)
    return New.MemberInfo.IncarnationNumber > Old.MemberInfo.IncarnationNumber;
  if (terminalRank(New) != terminalRank(Old))
    return terminalRank(New) > terminalRank(Old);
  return terminalRank(New) == 0 && New.Suspected && !Old.Suspected;
}

bool isValid(const Update &Item) {
  const Member &MemberInfo = Item.MemberInfo;
  return !MemberInfo.Id.empty() && MemberInfo.IncarnationNumber.value() >= 0 &&
         MemberInfo.IncarnationNumber.value() < MaxIncarnation &&
         MemberInfo.State != MemberState::Suspect &&
         !MemberInfo.At.RegionName.empty() && MemberInfo.Control.Port != 0;
}

// Handles an update about this node. The node refutes a wrong one by taking a
// higher incarnation than any that others hold.
void mergeSelf(MemberTable &Table, const Update &New) {
  Member &Self = Table.Self;
  const bool Wrong =
      New.Suspected || (hasEnded(New) && New.MemberInfo.State != Self.State);
  if (New.MemberInfo.IncarnationNumber < Self.IncarnationNumber) {
    // Others hold an older incarnation, so the current one is sent again.
    if (Wrong)
      Table.SelfSendsLeft = transmitLimit(Table);
    return;
  }
  if (New.MemberInfo.IncarnationNumber == Self.IncarnationNumber && !Wrong)
    return;
  Table.Regions[Self.At.RegionName].Digest ^= digestOf({Self, false});
  Self.IncarnationNumber = New.MemberInfo.IncarnationNumber.next();
  Table.Regions[Self.At.RegionName].Digest ^= digestOf({Self, false});
  Table.SelfSendsLeft = transmitLimit(Table);
  Table.SelfCrossSendsLeft = CrossRegionSends;
  Table.PushQueue.push_back(Self.Id);
  ++Table.Version;
}

EventKind eventOf(const Update &New, const Update &Old) {
  if (New.MemberInfo.State == MemberState::Left)
    return EventKind::Left;
  if (New.MemberInfo.State == MemberState::Dead)
    return EventKind::Died;
  if (New.Suspected)
    return EventKind::Suspected;
  if (hasEnded(Old))
    return EventKind::Joined;
  return Old.Suspected ? EventKind::Refuted : EventKind::Changed;
}

void addMember(MemberTable &Table, const Update &New, SteadyTime Now,
               Actions &Out) {
  const NodeId &Id = New.MemberInfo.Id;
  const auto Removed = Table.Tombstones.find(Id);
  if (Removed != Table.Tombstones.end() &&
      New.MemberInfo.IncarnationNumber <= Removed->second.IncarnationNumber)
    return;
  if (hasEnded(New)) {
    if (Table.Tombstones.size() < MaxTombstones)
      Table.Tombstones[Id] = {New.MemberInfo.IncarnationNumber, Now};
    return;
  }
  if (Table.Others.size() >= MaxMembers)
    return;
  if (Removed != Table.Tombstones.end())
    Table.Tombstones.erase(Removed);
  MemberEntry Fresh;
  Fresh.Last = New;
  Fresh.ChangedAt = Now;
  Fresh.SendsLeft = transmitLimit(Table);
  Fresh.CrossSendsLeft =
      New.MemberInfo.At.RegionName == Table.Self.At.RegionName
          ? CrossRegionSends
          : 0;
  Table.Others.emplace(Id, std::move(Fresh));
  RegionView &View = Table.Regions[New.MemberInfo.At.RegionName];
  if (View.LastContact == SteadyTime())
    View.LastContact = Now;
  View.Digest ^= digestOf(New);
  Table.PushQueue.push_back(Id);
  ++Table.Version;
  Out.Events.push_back({EventKind::Joined, Id});
}

} // namespace

int transmitLimit(const MemberTable &Table) {
  int Log2 = 1;
  for (std::size_t Size = Table.Others.size() + 1; Size > 2; Size = Size / 2)
    ++Log2;
  return 3 * Log2;
}

std::uint64_t digestOf(const Update &Item) {
  // Suspicions are left out, because they differ between healthy nodes all the
  // time.
  if (hasEnded(Item))
    return 0;
  return distribution::stableHash(
      Item.MemberInfo.Id.str() + '/' +
      std::to_string(Item.MemberInfo.IncarnationNumber.value()));
}

void replaceEntry(MemberTable &Table, MemberEntry &Known, const Update &New,
                  SteadyTime Now) {
  Table.Regions[Known.Last.MemberInfo.At.RegionName].Digest ^=
      digestOf(Known.Last);
  Table.Regions[New.MemberInfo.At.RegionName].Digest ^= digestOf(New);
  const Offset Position = Known.Last.MemberInfo.ConfigPosition;
  Known.Last = New;
  Known.Last.MemberInfo.ConfigPosition =
      std::max(Position, New.MemberInfo.ConfigPosition);
  Known.ChangedAt = Now;
  Known.SendsLeft = transmitLimit(Table);
  Known.CrossSendsLeft =
      New.MemberInfo.At.RegionName == Table.Self.At.RegionName
          ? CrossRegionSends
          : 0;
  ++Table.Version;
}

void mergeUpdate(MemberTable &Table, const Update &New, SteadyTime Now,
                 Actions &Out) {
  if (New.MemberInfo.Id == Table.Self.Id) {
    if (New.MemberInfo.IncarnationNumber.value() >= 0 &&
        New.MemberInfo.IncarnationNumber.value() < MaxIncarnation)
      mergeSelf(Table, New);
    return;
  }
  if (!isValid(New))
    return;
  const auto It = Table.Others.find(New.MemberInfo.Id);
  if (It == Table.Others.end()) {
    addMember(Table, New, Now, Out);
    return;
  }
  MemberEntry &Known = It->second;
  if (!overrides(New, Known.Last))
    return;
  Out.Events.push_back({eventOf(New, Known.Last), New.MemberInfo.Id});
  // A higher incarnation comes from the member itself and is forwarded at once.
  if (New.MemberInfo.IncarnationNumber >
          Known.Last.MemberInfo.IncarnationNumber ||
      New.MemberInfo.State == MemberState::Left)
    Table.PushQueue.push_back(New.MemberInfo.Id);
  replaceEntry(Table, Known, New, Now);
}

MemberTable makeMemberTable(const Member &Self, SteadyTime Now,
                            std::uint64_t Seed) {
  MemberTable Table;
  Table.Self = Self;
  Table.Seed = Seed;
  Table.SelfSendsLeft = transmitLimit(Table);
  Table.SelfCrossSendsLeft = CrossRegionSends;
  Table.PushQueue.push_back(Self.Id);
  Table.Regions[Self.At.RegionName].Digest = digestOf({Self, false});
  // Jitter spreads the first probes of nodes that start together.
  const auto Jitter = static_cast<std::int64_t>(distribution::randomBelow(
      Table.Seed, static_cast<std::size_t>(ProbeInterval.count())));
  Table.NextProbeAt = after(Now, Milliseconds(Jitter));
  Table.NextReconnectAt = after(Now, ReconnectInterval);
  Table.NextSyncAt = after(Now, SyncInterval);
  Table.PushBudgetSetAt = Now;
  return Table;
}

Actions mergeMembers(MemberTable &Table, const std::vector<Update> &Updates,
                     SteadyTime Now) {
  Actions Out;
  // Most of a full member list is known to the others already, so its changes
  // are not pushed and are piggybacked at most once.
  const std::deque<NodeId> Before = Table.PushQueue;
  for (const Update &Item : Updates) {
    const std::uint64_t Version = Table.Version;
    mergeUpdate(Table, Item, Now, Out);
    const auto It = Table.Others.find(Item.MemberInfo.Id);
    if (Version != Table.Version && It != Table.Others.end())
      It->second.SendsLeft = std::min(It->second.SendsLeft, 1);
  }
  const bool PushSelf =
      std::find(Table.PushQueue.begin(), Table.PushQueue.end(),
                Table.Self.Id) != Table.PushQueue.end();
  Table.PushQueue = Before;
  if (PushSelf)
    Table.PushQueue.push_back(Table.Self.Id);
  return Out;
}

MemberState stateToAnnounce(bool Serving,
                            std::optional<MemberState> Requested) {
  const MemberState Wanted = Requested.value_or(MemberState::Ready);
  return Wanted == MemberState::Ready && !Serving ? MemberState::Starting
                                                  : Wanted;
}

Actions announce(MemberTable &Table, MemberState State, SteadyTime Now) {
  if (State != Table.Self.State) {
    RegionView &View = Table.Regions[Table.Self.At.RegionName];
    View.Digest ^= digestOf({Table.Self, false});
    Table.Self.State = State;
    Table.Self.IncarnationNumber = Table.Self.IncarnationNumber.next();
    View.Digest ^= digestOf({Table.Self, false});
    Table.SelfSendsLeft = transmitLimit(Table);
    Table.SelfCrossSendsLeft = CrossRegionSends;
    Table.PushQueue.push_front(Table.Self.Id);
    ++Table.Version;
  }
  return tick(Table, Now);
}

std::vector<Update> allUpdates(const MemberTable &Table) {
  std::vector<Update> Updates;
  Updates.reserve(Table.Others.size() + 1);
  Updates.push_back({Table.Self, false});
  for (const auto &Item : Table.Others)
    Updates.push_back(Item.second.Last);
  return Updates;
}

bool isUnreachable(const MemberTable &Table, const Region &In, SteadyTime Now) {
  if (In == Table.Self.At.RegionName)
    return false;
  const auto It = Table.Regions.find(In);
  return It != Table.Regions.end() &&
         elapsed(It->second.LastContact, Now) >= RegionTimeout;
}

std::vector<Member> visibleMembers(const MemberTable &Table, SteadyTime Now) {
  std::vector<Member> Members;
  Members.reserve(Table.Others.size() + 1);
  if (Table.Self.State != MemberState::Left)
    Members.push_back(Table.Self);
  for (const auto &Item : Table.Others) {
    const Update &Last = Item.second.Last;
    if (hasEnded(Last))
      continue;
    Members.push_back(Last.MemberInfo);
    // Draining takes precedence: suspects may receive requests when most of
    // their group is suspect, draining members never.
    if (Last.MemberInfo.State != MemberState::Draining &&
        (Last.Suspected ||
         isUnreachable(Table, Last.MemberInfo.At.RegionName, Now)))
      Members.back().State = MemberState::Suspect;
  }
  return Members;
}

} // namespace lycheethread::membership
