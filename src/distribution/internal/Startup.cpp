#include "distribution/Distribution.h"

#include <algorithm>

namespace lycheethread::distribution {

void onLogContact(DistributionState &State, Offset Head) {
  State.LogFresh = true;
  if (!State.Start.LogHead)
    State.Start.LogHead = Head;
}

void onLogFailure(DistributionState &State) { State.LogFresh = false; }

void onStartupAnswer(DistributionState &State, const NodeId &Source,
                     bool Serving, Offset Highest, SteadyTime Now) {
  recordKnownPosition(State, Highest, Source);
  if (!Serving) {
    State.Start.Starting.insert(Source);
    return;
  }
  State.Start.Starting.erase(Source);
  if (State.Start.Answered.empty())
    State.Start.FirstAnswerAt = Now;
  State.Start.Answered.insert(Source);
}

void onStartupFailure(DistributionState &State) { ++State.Start.SeedsTried; }

Readiness readiness(const DistributionState &State, SteadyTime Now) {
  const StartupState &Start = State.Start;
  if (!Start.MissingCheckpoint.empty())
    return {false, Start.MissingCheckpoint};
  const Offset Wanted =
      std::max(State.HighestKnown, Start.LogHead.value_or(Offset(0)));
  if (!Start.LogHead && Start.Answered.empty()) {
    std::string Text = "the log, which does not answer, or a serving peer (" +
                       std::to_string(Start.SeedsTried) + " seeds tried";
    if (!Start.Starting.empty())
      Text += ", " + std::to_string(Start.Starting.size()) +
              " peers are starting themselves";
    return {false, Text + ")"};
  }
  if (State.Position < Wanted)
    return {false, "records up to position " + std::to_string(Wanted.value()) +
                       ", the highest known; this node is at " +
                       std::to_string(State.Position.value())};
  // The head of the log bounds every position in use. Without it, a heartbeat
  // may report a higher position than the peers that replied.
  if (!Start.LogHead && !Start.HeardHeartbeat &&
      elapsed(Start.FirstAnswerAt, Now) < HeartbeatListenTime)
    return {false, "a feed heartbeat, because the log does not answer"};
  return {true, {}};
}

std::vector<Member> chooseSnapshotSources(DistributionState &State,
                                          const std::vector<Member> &Members) {
  std::vector<const Member *> Candidates;
  for (const Member &Item : Members)
    if (Item.Id != State.Self && (Item.State == MemberState::Ready ||
                                  Item.State == MemberState::Draining))
      Candidates.push_back(&Item);
  std::vector<Member> Chosen;
  std::set<AvailabilityZone> Zones;
  while (Chosen.size() < SnapshotSources && !Candidates.empty()) {
    const std::size_t Start = randomBelow(State.Seed, Candidates.size());
    std::size_t Best = Start;
    const auto Cost = [&](const Member &Item) {
      return (Zones.count(Item.At.Zone) != 0 ? 2 : 0) +
             (Item.At.RegionName != State.At.RegionName ? 1 : 0);
    };
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

SnapshotAdmission admitSnapshot(SnapshotSlots &Slots, std::uint64_t &Seed) {
  if (Slots.Serving >= MaxConcurrentSnapshots) {
    const auto Jitter = static_cast<std::int64_t>(
        randomBelow(Seed, static_cast<std::size_t>(BusyRetryDelay.count())));
    return {false, BusyRetryDelay + Milliseconds(Jitter)};
  }
  ++Slots.Serving;
  return {true, Milliseconds(0)};
}

} // namespace lycheethread::distribution
