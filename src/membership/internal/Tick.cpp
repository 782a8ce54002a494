#include "distribution/Distribution.h"
#include "membership/internal/Internal.h"

#include <algorithm>
#include <map>
#include <utility>

namespace lycheethread::membership {

namespace {

using distribution::randomBelow;

bool isProbed(const MemberTable &Table, const Entry &Item) {
  return !hasEnded(Item.Last) &&
         Item.Last.MemberInfo.At.RegionName == Table.Self.At.RegionName;
}

std::vector<const Entry *> pickRandom(MemberTable &Table,
                                      std::vector<const Entry *> From,
                                      std::size_t Count) {
  std::vector<const Entry *> Chosen;
  while (Chosen.size() < Count && !From.empty()) {
    const std::size_t At = randomBelow(Table.Seed, From.size());
    Chosen.push_back(From[At]);
    From[At] = From.back();
    From.pop_back();
  }
  return Chosen;
}

template <typename Predicate>
std::vector<const Entry *> select(const MemberTable &Table, Predicate Wanted) {
  std::vector<const Entry *> Found;
  for (const auto &Item : Table.Others)
    if (Wanted(Item.second))
      Found.push_back(&Item.second);
  return Found;
}

void startRound(MemberTable &Table) {
  Table.Round.clear();
  for (const auto &Item : Table.Others)
    if (isProbed(Table, Item.second))
      Table.Round.push_back(Item.first);
  for (std::size_t Left = Table.Round.size(); Left > 1; --Left)
    std::swap(Table.Round[Left - 1],
              Table.Round[randomBelow(Table.Seed, Left)]);
  Table.NextProbeIndex = 0;
}

const Entry *nextTarget(MemberTable &Table) {
  for (int Rounds = 0; Rounds < 2; ++Rounds) {
    while (Table.NextProbeIndex < Table.Round.size()) {
      const auto It = Table.Others.find(Table.Round[Table.NextProbeIndex++]);
      if (It != Table.Others.end() && isProbed(Table, It->second))
        return &It->second;
    }
    startRound(Table);
  }
  return nullptr;
}

void probe(MemberTable &Table, const Entry &Target, SteadyTime Now,
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
    const auto There = select(Table, [&](const Entry &Each) {
      return Each.Last.MemberInfo.At.RegionName == Item.first &&
             !hasEnded(Each.Last);
    });
    for (const Entry *Target : pickRandom(Table, There, 1))
      probe(Table, *Target, Now, Out);
  }
}

// Both sides of a healed partition may hold each other for dead, and then
// neither would send the first message.
void reconnect(MemberTable &Table, SteadyTime Now, Actions &Out) {
  if (Now < Table.NextReconnectAt)
    return;
  Table.NextReconnectAt = after(Now, ReconnectInterval);
  const auto Dead = select(Table, [](const Entry &Each) {
    return Each.Last.MemberInfo.State == MemberState::Dead;
  });
  for (const Entry *Target : pickRandom(Table, Dead, 1)) {
    Table.LastNumber = Table.LastNumber.next();
    send(Out, Target->Last.MemberInfo,
         composeMessage(Table, MessageKind::Ping, Table.LastNumber, Target,
                        Target->Last.MemberInfo.At.RegionName !=
                            Table.Self.At.RegionName,
                        Now));
  }
}

void forgetEnded(MemberTable &Table, SteadyTime Now) {
  for (auto It = Table.Others.begin(); It != Table.Others.end();) {
    const Entry &Each = It->second;
    if (hasEnded(Each.Last) &&
        elapsed(Each.ChangedAt, Now) >= EndedMemberRetention) {
      if (Table.Ended.size() < MaxTombstones)
        Table.Ended[It->first] = {Each.Last.MemberInfo.IncarnationNumber, Now};
      It = Table.Others.erase(It);
    } else {
      ++It;
    }
  }
  for (auto It = Table.Ended.begin(); It != Table.Ended.end();)
    It = elapsed(It->second.At, Now) >= TombstoneRetention
             ? Table.Ended.erase(It)
             : std::next(It);
}

void startProbes(MemberTable &Table, SteadyTime Now, Actions &Out) {
  if (Now < Table.NextProbeAt)
    return;
  Table.NextProbeAt = after(Table.NextProbeAt, ProbeInterval);
  // After a pause of the process the missed probes are not made up for.
  if (Table.NextProbeAt < Now)
    Table.NextProbeAt = after(Now, ProbeInterval);
  if (const Entry *Target = nextTarget(Table))
    probe(Table, *Target, Now, Out);
  if (Table.IsBridge)
    probeOtherRegions(Table, Now, Out);
  reconnect(Table, Now, Out);
  forgetEnded(Table, Now);
}

void probeIndirectly(MemberTable &Table, Sequence Number, const Entry &Target,
                     SteadyTime Now, Actions &Out) {
  const auto Usable = [&](const Entry &Each) {
    return isProbed(Table, Each) && !Each.Last.Suspected &&
           Each.Last.MemberInfo.Id != Target.Last.MemberInfo.Id;
  };
  auto Helpers =
      pickRandom(Table,
                 select(Table,
                        [&](const Entry &Each) {
                          return Usable(Each) && Each.Last.MemberInfo.At.Zone !=
                                                     Table.Self.At.Zone;
                        }),
                 IndirectProbes);
  if (Helpers.empty())
    Helpers = pickRandom(Table, select(Table, Usable), IndirectProbes);
  for (const Entry *Helper : Helpers) {
    Message Request = composeMessage(Table, MessageKind::IndirectPing, Number,
                                     Helper, false, Now);
    Request.Target = Target.Last.MemberInfo.Control;
    send(Out, Helper->Last.MemberInfo, std::move(Request));
  }
}

void suspect(MemberTable &Table, Entry &Target, SteadyTime Now, Actions &Out) {
  if (Target.Last.Suspected || hasEnded(Target.Last))
    return;
  Update News = Target.Last;
  News.Suspected = true;
  replaceEntry(Table, Target, News, Now);
  Out.Events.push_back({EventKind::Suspected, News.MemberInfo.Id});
  // A direct word to the suspect gives it the whole suspicion time to object.
  Table.LastNumber = Table.LastNumber.next();
  send(Out, News.MemberInfo,
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

/// Failures that belong together: suspects, and members that died lately.
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
  constexpr Milliseconds Lately{30000};
  FailureCounts Counts;
  Counts.add(Table.Self, false);
  for (const auto &Item : Table.Others) {
    const Update &Last = Item.second.Last;
    if (Last.MemberInfo.At.RegionName != Table.Self.At.RegionName ||
        Last.MemberInfo.State == MemberState::Left)
      continue;
    const bool Dead = Last.MemberInfo.State == MemberState::Dead;
    if (Dead && elapsed(Item.second.ChangedAt, Now) >= Lately)
      continue;
    Counts.add(Last.MemberInfo, Dead || Last.Suspected);
  }
  return Counts;
}

// Most of an availability zone failing together looks the same as the zone
// being cut off, and so does most of a service's members failing in one zone.
// These stay suspect and are probed on, so that they return with one answer.
bool mayDeclareDead(const Entry &Suspect, FailureCounts &Counts,
                    SteadyTime Now) {
  if (elapsed(Suspect.ChangedAt, Now) >= LongestHold)
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
  std::vector<Entry *> Due;
  // The members of another region are judged there.
  for (auto &Item : Table.Others)
    if (Item.second.Last.Suspected && isProbed(Table, Item.second) &&
        elapsed(Item.second.ChangedAt, Now) >= SuspicionTimeout)
      Due.push_back(&Item.second);
  if (Due.empty())
    return;
  FailureCounts Counts = countFailures(Table, Now);
  for (Entry *Each : Due) {
    if (!mayDeclareDead(*Each, Counts, Now))
      continue;
    Update News = Each->Last;
    News.MemberInfo.State = MemberState::Dead;
    replaceEntry(Table, *Each, News, Now);
    Out.Events.push_back({EventKind::Died, News.MemberInfo.Id});
  }
}

// Sends queued news at once; composeMessage adds the least sent news first,
// which is what was queued last.
void push(MemberTable &Table, SteadyTime Now, Actions &Out) {
  if (elapsed(Table.PushBudgetSetAt, Now) >= Milliseconds(1000)) {
    Table.PushBudgetSetAt = Now;
    Table.PushBudget = PushesPerSecond;
  }
  if (Table.PushQueue.empty())
    return;
  const bool Affordable = Table.PushBudget > 0;
  Table.PushBudget -= static_cast<int>(
      std::min(Table.PushQueue.size(), static_cast<std::size_t>(MaxUpdates)));
  Table.PushQueue.clear();
  if (!Affordable && Table.Self.State != MemberState::Left)
    return;
  const auto Near = select(Table, [&](const Entry &Each) {
    return isProbed(Table, Each) && !Each.Last.Suspected;
  });
  for (const Entry *To : pickRandom(Table, Near, PushCopies))
    send(Out, To->Last.MemberInfo,
         composeMessage(Table, MessageKind::Push, Sequence(), To, false, Now));
  if (!Table.IsBridge)
    return;
  const auto Far = select(Table, [&](const Entry &Each) {
    return Each.Last.MemberInfo.At.RegionName != Table.Self.At.RegionName &&
           !hasEnded(Each.Last);
  });
  for (const Entry *To : pickRandom(Table, Far, 1)) {
    Message News =
        composeMessage(Table, MessageKind::Push, Sequence(), To, true, Now);
    if (!News.Updates.empty())
      send(Out, To->Last.MemberInfo, std::move(News));
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
