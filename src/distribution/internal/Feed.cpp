#include "distribution/Distribution.h"

#include <algorithm>

namespace lycheethread::distribution {

namespace {

bool isLive(const Member &Item) {
  return Item.State == MemberState::Starting ||
         Item.State == MemberState::Ready ||
         Item.State == MemberState::Draining;
}

// A draining node keeps its rank until it has left, so that the log is read
// without a gap.
std::vector<NodeId> liveIds(const Region &In,
                            const std::vector<Member> &Members) {
  std::vector<NodeId> Ids;
  for (const Member &Item : Members)
    if (Item.At.RegionName == In && isLive(Item))
      Ids.push_back(Item.Id);
  return Ids;
}

constexpr std::size_t MaxSeenReaders = 64;

} // namespace

std::size_t readerRank(const NodeId &Self, const Region &In,
                       const std::vector<Member> &Members) {
  const auto Order =
      rendezvousOrder("reader/" + In.str(), liveIds(In, Members));
  const auto It = std::find(Order.begin(), Order.end(), Self);
  return static_cast<std::size_t>(It - Order.begin());
}

bool shouldReadLog(const DistributionState &State, std::size_t Rank,
                   SteadyTime Now) {
  if (Rank == 0)
    return true;
  const Milliseconds Limit =
      HeartbeatTimeout + RankDelay * static_cast<std::int64_t>(Rank);
  if (elapsed(State.LastHeartbeat, Now) >= Limit)
    return true;
  return Rank < MaxOutageReaders &&
         elapsed(State.LastFreshHeartbeat, Now) >= Limit;
}

std::optional<FeedHeartbeat> nextHeartbeat(DistributionState &State,
                                           bool Reading, SteadyTime Now) {
  if (!Reading)
    return std::nullopt;
  const bool Increased = State.Position > State.SentHead;
  const Milliseconds Interval = State.HeartbeatRepeatsLeft > 0
                                    ? HeartbeatRepeatInterval
                                    : HeartbeatInterval;
  if (!Increased && elapsed(State.SentAt, Now) < Interval)
    return std::nullopt;
  State.HeartbeatRepeatsLeft =
      Increased ? HeartbeatRepeats
                : std::max(0, State.HeartbeatRepeatsLeft - 1);
  State.SentNumber = State.SentNumber.next();
  State.SentAt = Now;
  State.SentHead = State.Position;
  return FeedHeartbeat{State.At.RegionName,     State.Self,
                       State.IncarnationNumber, State.SentNumber,
                       State.Position,          State.LogFresh};
}

HeartbeatResult onFeedHeartbeat(DistributionState &State,
                                const FeedHeartbeat &Heartbeat,
                                const NodeId &Sender, SteadyTime Now) {
  HeartbeatResult Result;
  if (Heartbeat.Reader == State.Self ||
      Heartbeat.RegionName != State.At.RegionName)
    return Result;
  const auto Known = State.SeenHeartbeats.find(Heartbeat.Reader);
  if (Known != State.SeenHeartbeats.end()) {
    const SeenHeartbeat &Newest = Known->second;
    if (Heartbeat.IncarnationNumber < Newest.IncarnationNumber ||
        (Heartbeat.IncarnationNumber == Newest.IncarnationNumber &&
         Heartbeat.Number <= Newest.Number))
      return Result;
  } else if (State.SeenHeartbeats.size() >= MaxSeenReaders) {
    State.SeenHeartbeats.erase(State.SeenHeartbeats.begin());
  }
  State.SeenHeartbeats[Heartbeat.Reader] = {Heartbeat.IncarnationNumber,
                                            Heartbeat.Number, Heartbeat.Head};
  State.LastHeartbeat = Now;
  if (Heartbeat.LogFresh)
    State.LastFreshHeartbeat = Now;
  State.Start.HeardHeartbeat = true;
  Result.IsNew = true;
  Result.PullFirst = Heartbeat.Head > State.Position;
  recordCommittedPosition(State, Heartbeat.Head, Sender, Now);
  return Result;
}

std::vector<Member> chooseForwardTargets(DistributionState &State,
                                         const std::vector<Member> &Members) {
  std::vector<const Member *> Candidates;
  for (const Member &Item : Members)
    if (Item.At.RegionName == State.At.RegionName && isLive(Item) &&
        Item.Id != State.Self)
      Candidates.push_back(&Item);
  std::vector<Member> Chosen;
  while (Chosen.size() < ForwardFanout && !Candidates.empty()) {
    const std::size_t At = randomBelow(State.Seed, Candidates.size());
    Chosen.push_back(*Candidates[At]);
    Candidates[At] = Candidates.back();
    Candidates.pop_back();
  }
  return Chosen;
}

bool shouldWriteCheckpoint(const DistributionState &State,
                           const std::vector<Member> &Members,
                           const CheckpointProgress &Progress, SteadyTime Now) {
  if (!State.Serving || Progress.Records == 0)
    return false;
  std::vector<NodeId> Ids;
  for (const Member &Item : Members)
    if (Item.State == MemberState::Ready)
      Ids.push_back(Item.Id);
  const auto Order = rendezvousOrder("checkpoint", std::move(Ids));
  const auto It = std::find(Order.begin(), Order.end(), State.Self);
  if (It == Order.end())
    return false;
  const auto Rank = static_cast<std::int64_t>(It - Order.begin());
  return Progress.Records >=
             CheckpointRecords + Rank * CheckpointRecordsPerRank ||
         elapsed(Progress.At, Now) >=
             CheckpointInterval + Rank * CheckpointIntervalPerRank;
}

} // namespace lycheethread::distribution
