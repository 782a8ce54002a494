#include "distribution/Distribution.h"

#include <algorithm>

namespace lycheethread::distribution {

namespace {

bool isLive(const Member &Item) {
  return Item.State == MemberState::Starting ||
         Item.State == MemberState::Ready ||
         Item.State == MemberState::Draining;
}

int localityTier(const Location &Self, const Location &Other) {
  if (Self.RegionName != Other.RegionName)
    return 2;
  return Self.Zone == Other.Zone ? 0 : 1;
}

constexpr int MaxBackoffDoublings = 7;

} // namespace

Milliseconds backoffDelay(int Attempt, std::uint64_t &Seed) {
  const int Doublings = std::clamp(Attempt, 0, MaxBackoffDoublings);
  const Milliseconds Ceiling =
      std::min(MaxBackoff, MinBackoff * (std::int64_t{1} << Doublings));
  const auto Width =
      static_cast<std::size_t>((Ceiling - MinBackoff).count() + 1);
  return MinBackoff +
         Milliseconds(static_cast<std::int64_t>(randomBelow(Seed, Width)));
}

void recordCommittedPosition(DistributionState &State, Offset Position,
                             const NodeId &Source, SteadyTime Now) {
  recordKnownPosition(State, Position, Source);
  if (Position <= State.CommittedElsewhere)
    return;
  State.CommittedElsewhere = Position;
  State.PreferredPullSource = Source;
  // The records are now known to exist, so an earlier backoff no longer
  // applies.
  State.PullFailures = 0;
  State.NextPullAt = Now;
}

void recordKnownPosition(DistributionState &State, Offset Position,
                         const NodeId &Source) {
  if (Position <= State.HighestKnown)
    return;
  State.HighestKnown = Position;
  State.PreferredPullSource = Source;
}

std::optional<Member> choosePullSource(DistributionState &State,
                                       const std::vector<Member> &Members,
                                       SteadyTime Now) {
  // Stored records need not be pulled; they only wait for their commit.
  const Offset Available = std::max(State.Position, State.Stored);
  if (State.HighestKnown <= Available || Now < State.NextPullAt)
    return std::nullopt;
  if (State.PullFailures == 0)
    for (const Member &Item : Members)
      if (Item.Id == State.PreferredPullSource && Item.Id != State.Self &&
          isLive(Item))
        return Item;
  // Each failure widens the search by one tier: zone, region, any region.
  // Members whose known position is above that of this node are preferred.
  const int Widest = std::max(0, State.PullFailures - 1);
  std::vector<const Member *> Ahead;
  std::vector<const Member *> Others;
  int Best = 3;
  for (const Member &Item : Members)
    if (Item.Id != State.Self && isLive(Item))
      Best = std::min(Best, localityTier(State.At, Item.At));
  for (const Member &Item : Members) {
    if (Item.Id == State.Self || !isLive(Item) ||
        localityTier(State.At, Item.At) > std::max(Best, Widest))
      continue;
    if (Item.ConfigPosition > State.Position)
      Ahead.push_back(&Item);
    else
      Others.push_back(&Item);
  }
  const auto &Pool = Ahead.empty() ? Others : Ahead;
  if (Pool.empty())
    return std::nullopt;
  return *Pool[randomBelow(State.Seed, Pool.size())];
}

void onPullResult(DistributionState &State, bool Succeeded, SteadyTime Now) {
  if (Succeeded) {
    State.PullFailures = 0;
    State.NextPullAt = Now;
    return;
  }
  State.NextPullAt = after(Now, backoffDelay(State.PullFailures, State.Seed));
  ++State.PullFailures;
}

namespace {

// Replicas are placed in the region of this node: replication to the other
// region would use the link between them, and a partition would delay changes
// until it is detected. A node that is alone in its region uses members of the
// other one.
std::vector<const Member *>
replicaCandidates(const DistributionState &State,
                  const std::vector<Member> &Members) {
  std::vector<const Member *> SameRegion;
  std::vector<const Member *> OtherRegions;
  for (const Member &Item : Members)
    if (Item.Id != State.Self && isLive(Item))
      (Item.At.RegionName == State.At.RegionName ? SameRegion : OtherRegions)
          .push_back(&Item);
  return SameRegion.empty() ? OtherRegions : SameRegion;
}

} // namespace

std::vector<Member> chooseReplicas(DistributionState &State,
                                   const std::vector<Member> &Members,
                                   const std::set<NodeId> &Replicas,
                                   const std::set<NodeId> &Failed) {
  if (Replicas.size() >= RequiredReplicas)
    return {};
  std::set<AvailabilityZone> Zones;
  for (const Member &Item : Members)
    if (Replicas.count(Item.Id) != 0)
      Zones.insert(Item.At.Zone);
  std::vector<const Member *> Candidates;
  for (const Member *Item : replicaCandidates(State, Members))
    if (Replicas.count(Item->Id) == 0 && Failed.count(Item->Id) == 0)
      Candidates.push_back(Item);
  std::vector<Member> Chosen;
  while (Replicas.size() + Chosen.size() < RequiredReplicas &&
         !Candidates.empty()) {
    // A lower cost is better. Availability zones without a replica come first,
    // then zones other than that of this node.
    const std::size_t Start = randomBelow(State.Seed, Candidates.size());
    const auto Cost = [&](const Member &Item) {
      return (Zones.count(Item.At.Zone) != 0 ? 2 : 0) +
             (Item.At.Zone == State.At.Zone ? 1 : 0);
    };
    std::size_t Best = Start;
    for (std::size_t Step = 1; Step < Candidates.size(); ++Step) {
      const std::size_t At = (Start + Step) % Candidates.size();
      if (Cost(*Candidates[At]) < Cost(*Candidates[Best]))
        Best = At;
    }
    Zones.insert(Candidates[Best]->At.Zone);
    Chosen.push_back(*Candidates[Best]);
    Candidates[Best] = Candidates.back();
    Candidates.pop_back();
  }
  return Chosen;
}

bool mayCommit(const DistributionState &State,
               const std::vector<Member> &Members,
               const std::set<NodeId> &Replicas) {
  if (Replicas.size() >= RequiredReplicas ||
      State.CommittedElsewhere >= State.Stored)
    return true;
  const auto Known = replicaCandidates(State, Members);
  std::size_t Acknowledged = 0;
  for (const Member *Item : Known)
    Acknowledged += Replicas.count(Item->Id);
  return Acknowledged >= std::min(Known.size(), RequiredReplicas);
}

bool shouldCommit(const DistributionState &State, bool Reading,
                  SteadyTime Now) {
  if (State.Stored <= State.Position)
    return false;
  return Reading || State.CommittedElsewhere > State.Position ||
         elapsed(State.StoredSince, Now) >= OrphanedRecordDelay;
}

void recordStoredPosition(DistributionState &State, Offset Position,
                          SteadyTime Now) {
  if (Position <= State.Stored)
    return;
  State.Stored = Position;
  State.StoredSince = Now;
}

bool advancePosition(DistributionState &State, Offset Position) {
  if (Position < State.Position)
    return false;
  State.Position = Position;
  State.Stored = std::max(State.Stored, Position);
  State.HighestKnown = std::max(State.HighestKnown, Position);
  return true;
}

} // namespace lycheethread::distribution
