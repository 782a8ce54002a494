#include "distribution/Distribution.h"

#include <algorithm>

namespace lycheethread::distribution {

namespace {

bool isLive(const Member &Item) {
  return Item.State == MemberState::Starting ||
         Item.State == MemberState::Ready ||
         Item.State == MemberState::Draining;
}

// A node that leaves keeps its rank until it has left, so that the feed has no
// gap while it drains.
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
  const bool Risen = State.Position > State.SentHead;
  const Milliseconds Interval = State.HeartbeatRepeatsLeft > 0
                                    ? HeartbeatRepeatInterval
                                    : HeartbeatInterval;
  if (!Risen && elapsed(State.SentAt, Now) < Interval)
    return std::nullopt;
  State.HeartbeatRepeatsLeft =
      Risen ? Repeats : std::max(0, State.HeartbeatRepeatsLeft - 1);
  State.SentNumber = State.SentNumber.next();
  State.SentAt = Now;
  State.SentHead = State.Position;
  return FeedHeartbeat{State.At.RegionName,     State.Self,
                       State.IncarnationNumber, State.SentNumber,
                       State.Position,          State.LogFresh};
}

HeartbeatResult onFeedHeartbeat(DistributionState &State,
                                const FeedHeartbeat &Beat, const NodeId &Sender,
                                SteadyTime Now) {
  HeartbeatResult Verdict;
  if (Beat.Reader == State.Self || Beat.RegionName != State.At.RegionName)
    return Verdict;
  const auto Known = State.Seen.find(Beat.Reader);
  if (Known != State.Seen.end()) {
    const SeenHeartbeat &Mark = Known->second;
    if (Beat.IncarnationNumber < Mark.IncarnationNumber ||
        (Beat.IncarnationNumber == Mark.IncarnationNumber &&
         Beat.Number <= Mark.Number))
      return Verdict;
  } else if (State.Seen.size() >= MaxSeenReaders) {
    State.Seen.erase(State.Seen.begin());
  }
  State.Seen[Beat.Reader] = {Beat.IncarnationNumber, Beat.Number, Beat.Head};
  State.LastHeartbeat = Now;
  if (Beat.LogFresh)
    State.LastFreshHeartbeat = Now;
  State.Start.HeardHeartbeat = true;
  Verdict.First = true;
  Verdict.PullFirst = Beat.Head > State.Position;
  recordCommittedPosition(State, Beat.Head, Sender, Now);
  return Verdict;
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
                           const CheckpointProgress &Mark, SteadyTime Now) {
  if (!State.Serving || Mark.Records == 0)
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
  return Mark.Records >= CheckpointRecords + Rank * CheckpointRecordsPerRank ||
         elapsed(Mark.At, Now) >=
             CheckpointInterval + Rank * CheckpointIntervalPerRank;
}

} // namespace lycheethread::distribution
