#include "distribution/Distribution.h"
#include "membership/internal/Internal.h"

#include <algorithm>
#include <map>
#include <utility>

namespace lycheethread::membership {

namespace {

using distribution::randomBelow;

bool isProbed(const MemberTable &Table, const MemberEntry &Item) {
  return !hasEnded(Item.Last) &&
         Item.Last.MemberInfo.At.RegionName == Table.Self.At.RegionName;
}

std::vector<const MemberEntry *>
pickRandom(MemberTable &Table, std::vector<const MemberEntry *> From,
           std::size_t Count) {
  std::vector<const MemberEntry *> Chosen;
  while (Chosen.size() < Count && !From.empty()) {
    const std::size_t At = randomBelow(Table.Seed, From.size());
    Chosen.push_back(From[At]);
    From[At] = From.back();
    From.pop_back();
  }
  return Chosen;
}

template <typename Predicate>
std::vector<const MemberEntry *> select(const MemberTable &Table,
                                        Predicate Wanted) {
  std::vector<const MemberEntry *> Found;
  for (const auto &Item : Table.Others)
    if (Wanted(Item.second))
      Found.push_back(&Item.second);
  return Found;
}

void startRound(MemberTable &Table) {
  Table.ProbeRound.clear();
  for (const auto &Item : Table.Others)
    if (isProbed(Table, Item.second))
      Table.ProbeRound.push_back(Item.first);
  for (std::size_t Left = Table.ProbeRound.size(); Left > 1; --Left)
    std::swap(Table.ProbeRound[Left - 1],
              Table.ProbeRound[randomBelow(Table.Seed, Left)]);
  Table.NextProbeIndex = 0;
}

const MemberEntry *nextTarget(MemberTable &Table) {
  for (int Rounds = 0; Rounds < 2; ++Rounds) {
    while (Table.NextProbeIndex < Table.ProbeRound.size()) {
      const auto It =
          Table.Others.find(Table.ProbeRound[Table.NextProbeIndex++]);
      if (It != Table.Others.end() && isProbed(Table, It->second))
        return &It->second;
    }
    startRound(Table);
  }
  return nullptr;
}

void probe(MemberTable &Table, const MemberEntry &Target, SteadyTime Now,
           Actions &Out) {
  const bool CrossRegion =
      Target.Last.MemberInfo.At.RegionName != Table.Self.At.RegionName;
  Table.LastNumber = Table.LastNumber.next();
  Table.Probes[Table.LastNumber] = {Target.Last.MemberInfo.Id, Now, false,
                                    CrossRegion};
  send(Out, Target.Last.MemberInfo,
       composeMessage(Table, MessageKind::Ping, Table.LastNumber, &Target,
                      CrossRegion, Now));
}

void updateBridge(MemberTable &Table) {
  if (Table.BridgeVersion == Table.Version)
    return;
  Table.BridgeVersion = Table.Version;
  std::vector<NodeId> Ids{Table.Self.Id};
  for (const auto &Item : Table.Others)
    if (isProbed(Table, Item.second) && !Item.second.Last.Suspected)
      Ids.push_back(Item.first);
  const auto Order = distribution::rendezvousOrder(
      "bridge/" + Table.Self.At.RegionName.str(), std::move(Ids));
  const auto It = std::find(Order.begin(), Order.end(), Table.Self.Id);
  Table.IsBridge =
      It - Order.begin() < static_cast<std::ptrdiff_t>(BridgesPerRegion);
}

void probeOtherRegions(MemberTable &Table, SteadyTime Now, Actions &Out) {
  for (const auto &Item : Table.Regions) {
    if (Item.first == Table.Self.At.RegionName)
      continue;
    const auto There = select(Table, [&](const MemberEntry &Each) {
      return Each.Last.MemberInfo.At.RegionName == Item.first &&
             !hasEnded(Each.Last);
    });
    for (const MemberEntry *Target : pickRandom(Table, There, 1))
      probe(Table, *Target, Now, Out);
  }
}

// Pings a dead member. After a partition heals, both sides may consider each
// other dead, and neither would send the first message otherwise.
void reconnect(MemberTable &Table, SteadyTime Now, Actions &Out) {
  if (Now < Table.NextReconnectAt)
    return;
  Table.NextReconnectAt = after(Now, ReconnectInterval);
  const auto Dead = select(Table, [](const MemberEntry &Each) {
    return Each.Last.MemberInfo.State == MemberState::Dead;
  });
  for (const MemberEntry *Target : pickRandom(Table, Dead, 1)) {
    Table.LastNumber = Table.LastNumber.next();
    send(Out, Target->Last.MemberInfo,
         composeMessage(Table, MessageKind::Ping, Table.LastNumber, Target,
                        Target->Last.MemberInfo.At.RegionName !=
                            Table.Self.At.RegionName,
                        Now));
  }
}

void removeEndedMembers(MemberTable &Table, SteadyTime Now) {
  for (auto It = Table.Others.begin(); It != Table.Others.end();) {
    const MemberEntry &Each = It->second;
    if (hasEnded(Each.Last) &&
        elapsed(Each.ChangedAt, Now) >= EndedMemberRetention) {
      if (Table.Tombstones.size() < MaxTombstones)
        Table.Tombstones[It->first] = {Each.Last.MemberInfo.IncarnationNumber,
                                       Now};
      It = Table.Others.erase(It);
    } else {
      ++It;
    }
  }
  for (auto It = Table.Tombstones.begin(); It != Table.Tombstones.end();)
    It = elapsed(It->second.At, Now) >= TombstoneRetention
             ? Table.Tombstones.erase(It)
             : std::next(It);
}

void startProbes(MemberTable &Table, SteadyTime Now, Actions &Out) {
  if (Now < Table.NextProbeAt)
    return;
  Table.NextProbeAt = after(Table.NextProbeAt, ProbeInterval);
  // Probes missed during a pause of the process are skipped.
  if (Table.NextProbeAt < Now)
    Table.NextProbeAt = after(Now, ProbeInterval);
  if (const MemberEntry *Target = nextTarget(Table))
    probe(Table, *Target, Now, Out);
  if (Table.IsBridge)
    probeOtherRegions(Table, Now, Out);
  reconnect(Table, Now, Out);
  removeEndedMembers(Table, Now);
}

void probeIndirectly(MemberTable &Table, Sequence Number,
                     const MemberEntry &Target, SteadyTime Now, Actions &Out) {
  const auto Usable = [&](const MemberEntry &Each) {
    return isProbed(Table, Each) && !Each.Last.Suspected &&
           Each.Last.MemberInfo.Id != Target.Last.MemberInfo.Id;
  };
  auto Helpers =
      pickRandom(Table,
                 select(Table,
                        [&](const MemberEntry &Each) {
                          return Usable(Each) && Each.Last.MemberInfo.At.Zone !=
                                                     Table.Self.At.Zone;
                        }),
                 IndirectProbes);
  if (Helpers.empty())
    Helpers = pickRandom(Table, select(Table, Usable), IndirectProbes);
  for (const MemberEntry *Helper : Helpers) {
    Message Request = composeMessage(Table, MessageKind::IndirectPing, Number,
                                     Helper, false, Now);
    Request.Target = Target.Last.MemberInfo.Control;
    send(Out, Helper->Last.MemberInfo, std::move(Request));
  }
}

void suspect(MemberTable &Table, MemberEntry &Target, SteadyTime Now,
             Actions &Out) {
  if (Target.Last.Suspected || hasEnded(Target.Last))
    return;
  Update Changed = Target.Last;
  Changed.Suspected = true;
  replaceEntry(Table, Target, Changed, Now);
  Out.Events.push_back({EventKind::Suspected, Changed.MemberInfo.Id});
  // Pinging the suspect directly gives it the whole suspicion timeout to
  // refute.
  Table.LastNumber = Table.LastNumber.next();
  send(Out, Changed.MemberInfo,
       composeMessage(Table, MessageKind::Ping, Table.LastNumber, &Target,
                      false, Now));
}

void checkProbes(MemberTable &Table, SteadyTime Now, Actions &Out) {
  std::vector<Sequence> Finished;
  for (auto &Item : Table.Probes) {
    Probe &Each = Item.second;
    const Milliseconds Age = elapsed(Each.SentAt, Now);
    const auto Target = Table.Others.find(Each.Target);
    if (Target == Table.Others.end()) {
      Finished.push_back(Item.first);
      continue;
    }
    if (Age >= ProbeTimeout) {
      if (!Each.CrossRegion)
        suspect(Table, Target->second, Now, Out);
      Finished.push_back(Item.first);
    } else if (Age >= PingTimeout && !Each.Indirect && !Each.CrossRegion) {
      Each.Indirect = true;
      probeIndirectly(Table, Item.first, Target->second, Now, Out);
    }
  }
  for (const Sequence Number : Finished)
    Table.Probes.erase(Number);
  for (auto It = Table.Relays.begin(); It != Table.Relays.end();)
    It = elapsed(It->second.SentAt, Now) >= ProbeTimeout
             ? Table.Relays.erase(It)
             : std::next(It);
}

/// Counts of suspected and recently dead members by zone and by service, which
/// show whether failures have a common cause.
struct FailureCounts {
  struct Part {
    std::size_t Size = 0;
    std::size_t Failing = 0;
  };
  std::map<AvailabilityZone, Part> Zones;
  std::map<ServiceName, std::size_t> ServiceSizes;
  std::map<std::pair<ServiceName, AvailabilityZone>, std::size_t> Services;

  void add(const Member &MemberInfo, bool Failing) {
    Part &Zone = Zones[MemberInfo.At.Zone];
    ++Zone.Size;
    Zone.Failing += Failing ? 1 : 0;
    ++ServiceSizes[MemberInfo.Service];
    if (Failing)
      ++Services[{MemberInfo.Service, MemberInfo.At.Zone}];
  }
};

FailureCounts countFailures(const MemberTable &Table, SteadyTime Now) {
  constexpr Milliseconds RecentFailureWindow{30000};
  FailureCounts Counts;
  Counts.add(Table.Self, false);
  for (const auto &Item : Table.Others) {
    const Update &Last = Item.second.Last;
    if (Last.MemberInfo.At.RegionName != Table.Self.At.RegionName ||
        Last.MemberInfo.State == MemberState::Left)
      continue;
    const bool Dead = Last.MemberInfo.State == MemberState::Dead;
    if (Dead && elapsed(Item.second.ChangedAt, Now) >= RecentFailureWindow)
      continue;
    Counts.add(Last.MemberInfo, Dead || Last.Suspected);
  }
  return Counts;
}

// The failure of most members of an availability zone cannot be told from a
// partition of the zone, and the same holds for most members of a service in
// one zone. These members stay suspect and are still probed, so that a single
// reply restores them.
bool mayDeclareDead(const MemberEntry &Suspect, FailureCounts &Counts,
                    SteadyTime Now) {
  if (elapsed(Suspect.ChangedAt, Now) >= MaxZoneSuspicion)
    return true;
  const Member &MemberInfo = Suspect.Last.MemberInfo;
  const FailureCounts::Part &Zone = Counts.Zones[MemberInfo.At.Zone];
  if (Zone.Failing >= 2 && 2 * Zone.Failing > Zone.Size)
    return false;
  if (MemberInfo.Service.empty())
    return true;
  const std::size_t Failing =
      Counts.Services[{MemberInfo.Service, MemberInfo.At.Zone}];
  return Failing < 2 || 2 * Failing <= Counts.ServiceSizes[MemberInfo.Service];
}

void checkSuspicions(MemberTable &Table, SteadyTime Now, Actions &Out) {
  std::vector<MemberEntry *> Due;
  // Members of another region are declared dead by nodes of that region.
  for (auto &Item : Table.Others)
    if (Item.second.Last.Suspected && isProbed(Table, Item.second) &&
        elapsed(Item.second.ChangedAt, Now) >= SuspicionTimeout)
      Due.push_back(&Item.second);
  if (Due.empty())
    return;
  FailureCounts Counts = countFailures(Table, Now);
  for (MemberEntry *Each : Due) {
    if (!mayDeclareDead(*Each, Counts, Now))
      continue;
    Update Changed = Each->Last;
    Changed.MemberInfo.State = MemberState::Dead;
    replaceEntry(Table, *Each, Changed, Now);
    Out.Events.push_back({EventKind::Died, Changed.MemberInfo.Id});
  }
}

// Sends the queued updates at once. composeMessage adds the updates that were
// sent least often first, which are those that were queued last.
void push(MemberTable &Table, SteadyTime Now, Actions &Out) {
  if (elapsed(Table.PushBudgetSetAt, Now) >= Milliseconds(1000)) {
    Table.PushBudgetSetAt = Now;
    Table.PushBudget = PushesPerSecond;
  }
  if (Table.PushQueue.empty())
    return;
  const bool HasBudget = Table.PushBudget > 0;
  Table.PushBudget -= static_cast<int>(
      std::min(Table.PushQueue.size(), static_cast<std::size_t>(MaxUpdates)));
  Table.PushQueue.clear();
  if (!HasBudget && Table.Self.State != MemberState::Left)
    return;
  const auto Near = select(Table, [&](const MemberEntry &Each) {
    return isProbed(Table, Each) && !Each.Last.Suspected;
  });
  for (const MemberEntry *To : pickRandom(Table, Near, PushCopies))
    send(Out, To->Last.MemberInfo,
         composeMessage(Table, MessageKind::Push, Sequence(), To, false, Now));
  if (!Table.IsBridge)
    return;
  const auto Far = select(Table, [&](const MemberEntry &Each) {
    return Each.Last.MemberInfo.At.RegionName != Table.Self.At.RegionName &&
           !hasEnded(Each.Last);
  });
  for (const MemberEntry *To : pickRandom(Table, Far, 1)) {
    Message PushMessage =
        composeMessage(Table, MessageKind::Push, Sequence(), To, true, Now);
    if (!PushMessage.Updates.empty())
      send(Out, To->Last.MemberInfo, std::move(PushMessage));
  }
}

} // namespace

Actions tick(MemberTable &Table, SteadyTime Now) {
  Actions Out;
  updateBridge(Table);
  checkProbes(Table, Now, Out);
  startProbes(Table, Now, Out);
  checkSuspicions(Table, Now, Out);
  push(Table, Now, Out);
  return Out;
}

} // namespace lycheethread::membership
