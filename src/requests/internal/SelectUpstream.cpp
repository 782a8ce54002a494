#include "requests/Requests.h"
#include "requests/internal/Hash.h"

#include <algorithm>

namespace lycheethread::requests {

namespace {

constexpr std::int32_t FailuresForEjection = 3;
/// Tells an overloaded upstream, which still answers some requests within this
/// time, from a draining one, which answers none.
constexpr Milliseconds MinShedPeriod{1000};
constexpr std::int32_t ShedsForEjection = 3;
constexpr Milliseconds MinEjectionTime{1000};
constexpr Milliseconds MaxEjectionTime{30000};
/// Number of doublings from MinEjectionTime to MaxEjectionTime.
constexpr std::int32_t MaxDoublings = 5;

using Candidates = std::vector<const Candidate *>;

bool isEjected(const SelectionInput &Input, const NodeId &Id) {
  const auto It = Input.Ejections.Members.find(Id);
  return It != Input.Ejections.Members.end() && Input.Now < It->second.Until;
}

/// Returns whether ejections are honoured: only while at most half of the
/// group is ejected.
bool ejectionsApply(const GroupView &Group, const SelectionInput &Input) {
  if (Input.Ejections.Members.empty())
    return false;
  std::size_t Total = 0;
  std::size_t Ejected = 0;
  for (const auto &[Version, List] : Group.ByVersion)
    for (const Candidate &Item : List) {
      ++Total;
      Ejected += isEjected(Input, Item.Target.Id) ? 1 : 0;
    }
  return Ejected * 2 <= Total;
}

Candidates usableCandidates(const GroupView &Group, const VersionName &Version,
                            const SelectionInput &Input, bool WithEjected) {
  Candidates Found;
  const auto It = Group.ByVersion.find(Version);
  if (It == Group.ByVersion.end())
    return Found;
  for (const Candidate &Item : It->second)
    if (Input.Excluded.count(Item.Target.Id) == 0 &&
        (WithEjected || !isEjected(Input, Item.Target.Id)))
      Found.push_back(&Item);
  return Found;
}

void keepNearest(Candidates &List) {
  Distance Nearest = Distance::OtherRegion;
  for (const Candidate *Item : List)
    Nearest = std::min(Nearest, Item->TargetDistance);
  List.erase(std::remove_if(List.begin(), List.end(),
                            [Nearest](const Candidate *Item) {
                              return Item->TargetDistance != Nearest;
                            }),
             List.end());
}

std::int32_t requestsInProgress(const SelectionInput &Input,
                                const Candidate &Item) {
  const auto It = Input.Load.InProgress.find(Item.Target.Id);
  return It == Input.Load.InProgress.end() ? 0 : It->second;
}

/// Selects the less loaded of two random candidates (power of two choices).
const Candidate *lessLoadedOfTwo(const Candidates &List,
                                 const SelectionInput &Input) {
  if (List.size() == 1)
    return List.front();
  const std::uint64_t Random = stableHash(Input.Id.str(), Input.Seed);
  const std::size_t First = Random % List.size();
  const std::size_t Step = 1 + (Random >> 32U) % (List.size() - 1);
  const Candidate *A = List[First];
  const Candidate *B = List[(First + Step) % List.size()];
  return requestsInProgress(Input, *B) < requestsInProgress(Input, *A) ? B : A;
}

bool selectsCandidateVersion(const moves::TrafficSplit &Share,
                             const SelectionInput &Input) {
  if (Share.InProgress.empty() ||
      Input.StoppedMoves.Stopped.count(Share.InProgress) != 0)
    return false;
  // Seeds the hash with the move id, so that different moves select different
  // request ids.
  const std::uint64_t Hash =
      stableHash(Input.Id.str(), stableHash(Share.InProgress.str()));
  const Permille Wanted = moves::candidateShare(Input.Class, Share);
  return static_cast<std::int64_t>(Hash % 1000) < Wanted.value();
}

std::optional<Selection> pick(Candidates List, const VersionName &Version,
                              const SelectionInput &Input) {
  if (List.empty())
    return std::nullopt;
  keepNearest(List);
  return Selection{lessLoadedOfTwo(List, Input)->Target, Version};
}

void eject(Ejection &Item, SteadyTime Now) {
  const std::int32_t Doublings = std::min(Item.EjectionCount, MaxDoublings);
  const Milliseconds Length =
      std::min(MinEjectionTime * (1 << Doublings), MaxEjectionTime);
  ++Item.EjectionCount;
  Item.ConsecutiveFailures = 0;
  Item.Until = after(Now, Length);
}

} // namespace

std::optional<Selection> selectUpstream(const GroupView &Group,
                                        const SelectionInput &Input) {
  const bool WithEjected = !ejectionsApply(Group, Input);
  const moves::TrafficSplit &Share = Group.Share;
  if (selectsCandidateVersion(Share, Input)) {
    Candidates List =
        usableCandidates(Group, Share.Candidate, Input, WithEjected);
    if (auto Found = pick(std::move(List), Share.Candidate, Input))
      return Found;
  }
  // A request falls back from the candidate version to the stable one, never
  // the other way round, because the share is an upper limit.
  Candidates List = usableCandidates(Group, Share.Stable, Input, WithEjected);
  if (List.empty())
    List = usableCandidates(Group, Share.Stable, Input, true);
  return pick(std::move(List), Share.Stable, Input);
}

void recordConnectFailure(EjectionTable &Table, const NodeId &Target,
                          SteadyTime Now) {
  Ejection &Item = Table.Members[Target];
  if (++Item.ConsecutiveFailures >= FailuresForEjection)
    eject(Item, Now);
}

void recordShedRequest(EjectionTable &Table, const NodeId &Target,
                       SteadyTime Now) {
  Ejection &Item = Table.Members[Target];
  if (++Item.ConsecutiveSheds == 1)
    Item.FirstShed = Now;
  // Requests that were in progress when the member was ejected must not eject
  // it again.
  if (Item.ConsecutiveSheds >= ShedsForEjection && Item.Until <= Now &&
      elapsed(Item.FirstShed, Now) >= MinShedPeriod)
    eject(Item, Now);
}

void ejectAfterCrash(EjectionTable &Table, const NodeId &Target,
                     SteadyTime Now) {
  Ejection &Item = Table.Members[Target];
  // Several requests that failed in the same crash must not double the ejection
  // time.
  if (Item.Until <= Now)
    eject(Item, Now);
}

void resetEjection(EjectionTable &Table, const NodeId &Target) {
  Table.Members.erase(Target);
}

} // namespace lycheethread::requests
