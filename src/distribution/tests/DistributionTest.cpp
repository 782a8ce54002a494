#define BOOST_TEST_MODULE Distribution
#include "distribution/Distribution.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <string>

using namespace lycheethread;
using namespace lycheethread::distribution;

namespace {

constexpr SteadyTime Start(1000000);

Member makeMember(int Number, const std::string &Zone,
                  const std::string &In = "west") {
  Member Made;
  Made.Id = NodeId("node-" + std::to_string(Number));
  Made.State = MemberState::Ready;
  Made.At = {Region(In), AvailabilityZone(Zone)};
  return Made;
}

DistributionState makeState() {
  DistributionState State;
  State.Self = NodeId("node-0");
  State.At = {Region("west"), AvailabilityZone("zone-a")};
  State.LastHeartbeat = Start;
  State.LastFreshHeartbeat = Start;
  State.Seed = 3;
  return State;
}

const NodeId Peer("node-1");

} // namespace

// Guards against a region without a reader, and against a region whose nodes
// all read the log at the same time.
BOOST_AUTO_TEST_CASE(NextRankReadsOnlyAfterHeartbeatTimeout) {
  DistributionState State = makeState();
  BOOST_TEST(shouldReadLog(State, 0, Start));
  BOOST_TEST(!shouldReadLog(State, 1, after(Start, Milliseconds(2999))));
  BOOST_TEST(shouldReadLog(State, 1, after(Start, Milliseconds(3000))));
  BOOST_TEST(!shouldReadLog(State, 4, after(Start, Milliseconds(4000))));
  BOOST_TEST(shouldReadLog(State, 4, after(Start, Milliseconds(4500))));
}

// Guards against a log outage that makes the whole region poll the log.
BOOST_AUTO_TEST_CASE(FewNodesTryTheLogDuringAnOutage) {
  DistributionState State = makeState();
  const SteadyTime Later = after(Start, Milliseconds(60000));
  State.LastHeartbeat = Later;
  BOOST_TEST(shouldReadLog(State, 2, Later));
  BOOST_TEST(!shouldReadLog(State, 3, Later));
}

// Guards against heartbeats that circulate forever.
BOOST_AUTO_TEST_CASE(EachHeartbeatIsForwardedOnce) {
  DistributionState State = makeState();
  const FeedHeartbeat Heartbeat{Region("west"), Peer,      Incarnation(1),
                                Sequence(5),    Offset(9), true};
  const HeartbeatResult First = onFeedHeartbeat(State, Heartbeat, Peer, Start);
  BOOST_TEST(First.IsNew);
  BOOST_TEST(First.PullFirst);
  BOOST_TEST(!onFeedHeartbeat(State, Heartbeat, Peer, Start).IsNew);
}

// Guards against members that learn of a change a second late because they
// received no copy of the first heartbeat.
BOOST_AUTO_TEST_CASE(IncreasedPositionIsAnnouncedAtOnceAndRepeated) {
  DistributionState State = makeState();
  State.SentAt = Start;
  BOOST_TEST(!nextHeartbeat(State, true, Start).has_value());
  advancePosition(State, Offset(1));
  BOOST_TEST(!nextHeartbeat(State, false, Start).has_value());
  SteadyTime Now = Start;
  BOOST_TEST(nextHeartbeat(State, true, Now).has_value());
  for (int Count = 0; Count < HeartbeatRepeats; ++Count) {
    BOOST_TEST(!nextHeartbeat(State, true, Now).has_value());
    Now = after(Now, HeartbeatRepeatInterval);
    BOOST_TEST(nextHeartbeat(State, true, Now).has_value());
  }
  BOOST_TEST(!nextHeartbeat(State, true, after(Now, HeartbeatRepeatInterval))
                  .has_value());
}

// Guards against a return to an older configuration.
BOOST_AUTO_TEST_CASE(PositionNeverGoesBack) {
  DistributionState State = makeState();
  BOOST_TEST(advancePosition(State, Offset(10)));
  BOOST_TEST(!advancePosition(State, Offset(9)));
  BOOST_TEST(State.Position == Offset(10));
}

// Guards against a node that serves a lower position than a source reported.
BOOST_AUTO_TEST_CASE(StartingNodeWaitsForTheHighestKnownPosition) {
  DistributionState State = makeState();
  BOOST_TEST(!readiness(State, Start).MayServe);
  BOOST_TEST(readiness(State, Start).WaitingFor.find("log") !=
             std::string::npos);
  onStartupAnswer(State, Peer, false, Offset(0), Start);
  BOOST_TEST(!readiness(State, Start).MayServe);
  onStartupAnswer(State, NodeId("node-2"), true, Offset(4), Start);
  onStartupAnswer(State, NodeId("node-3"), true, Offset(7), Start);
  advancePosition(State, Offset(4));
  const SteadyTime Later = after(Start, HeartbeatListenTime);
  BOOST_TEST(!readiness(State, Later).MayServe);
  advancePosition(State, Offset(7));
  BOOST_TEST(!readiness(State, Start).MayServe);
  BOOST_TEST(readiness(State, Later).MayServe);
  State.Start.MissingCheckpoint = "a checkpoint";
  BOOST_TEST(!readiness(State, Later).MayServe);
}

// Guards against committed records that no other node stores.
BOOST_AUTO_TEST_CASE(CommitNeedsReplicasInOtherZones) {
  DistributionState State = makeState();
  recordStoredPosition(State, Offset(3), Start);
  const std::vector<Member> Members{
      makeMember(0, "zone-a"), makeMember(1, "zone-a"),
      makeMember(2, "zone-b"), makeMember(3, "zone-b"),
      makeMember(4, "zone-c"), makeMember(5, "zone-d", "east")};
  const auto Chosen = chooseReplicas(State, Members, {}, {});
  BOOST_TEST_REQUIRE(Chosen.size() == 2U);
  BOOST_TEST((Chosen[0].At.Zone != Chosen[1].At.Zone));
  for (const Member &Each : Chosen) {
    BOOST_TEST((Each.At.Zone != State.At.Zone));
    BOOST_TEST((Each.At.RegionName == State.At.RegionName));
  }
  BOOST_TEST(!mayCommit(State, Members, {Chosen[0].Id}));
  BOOST_TEST(mayCommit(State, Members, {Chosen[0].Id, Chosen[1].Id}));
  BOOST_TEST(mayCommit(State, {Members[0], Members[1]}, {Peer}));
  BOOST_TEST(mayCommit(State, {Members[0]}, {}));
  // A partition from the other region must not delay commits in this one.
  BOOST_TEST(mayCommit(State, {Members[0], Members[1], Members[5]}, {Peer}));
  BOOST_TEST(!mayCommit(State, {Members[0], Members[5]}, {}));
}

// Guards against pulls across regions while the local zone has the records.
BOOST_AUTO_TEST_CASE(PullsWidenFromTheReportingNodeToOtherRegions) {
  DistributionState State = makeState();
  std::vector<Member> Members{makeMember(0, "zone-a"), makeMember(1, "zone-a"),
                              makeMember(2, "zone-b"),
                              makeMember(3, "zone-d", "east")};
  BOOST_TEST(!choosePullSource(State, Members, Start).has_value());
  recordCommittedPosition(State, Offset(2), NodeId("node-2"), Start);
  BOOST_TEST(choosePullSource(State, Members, Start)->Id == NodeId("node-2"));
  onPullResult(State, false, Start);
  BOOST_TEST(!choosePullSource(State, Members, Start).has_value());
  const SteadyTime Later = after(Start, MaxBackoff);
  BOOST_TEST(choosePullSource(State, Members, Later)->Id == NodeId("node-1"));
  State.PullFailures = 3;
  Members[3].ConfigPosition = Offset(2);
  BOOST_TEST(choosePullSource(State, Members, Later)->Id == NodeId("node-3"));
}

// Guards against synchronized retries and against unbounded snapshots.
BOOST_AUTO_TEST_CASE(BackoffAndSnapshotsAreBounded) {
  std::uint64_t Seed = 1;
  for (int Attempt = 0; Attempt < 100; ++Attempt) {
    const Milliseconds Delay = backoffDelay(Attempt, Seed);
    BOOST_TEST((Delay >= MinBackoff && Delay <= MaxBackoff));
  }
  SnapshotSlots Slots;
  for (int Count = 0; Count < MaxConcurrentSnapshots; ++Count)
    BOOST_TEST(admitSnapshot(Slots, Seed).Admitted);
  const SnapshotAdmission Busy = admitSnapshot(Slots, Seed);
  BOOST_TEST(!Busy.Admitted);
  BOOST_TEST(Busy.RetryAfter.count() > 0);
}

// Guards against nodes that write no checkpoint when the first writer fails,
// and against all nodes writing one.
BOOST_AUTO_TEST_CASE(CheckpointWritersTakeTurns) {
  DistributionState State = makeState();
  State.Serving = true;
  const std::vector<Member> Members{makeMember(0, "zone-a"),
                                    makeMember(1, "zone-b")};
  const auto Order = rendezvousOrder("checkpoint", {Members[0].Id, Peer});
  const CheckpointProgress Full{Offset(0), CheckpointRecords, Start};
  State.Self = Order[0];
  BOOST_TEST(shouldWriteCheckpoint(State, Members, Full, Start));
  State.Self = Order[1];
  BOOST_TEST(!shouldWriteCheckpoint(State, Members, Full, Start));
  const CheckpointProgress Overdue{Offset(0), CheckpointRecords * 2, Start};
  BOOST_TEST(shouldWriteCheckpoint(State, Members, Overdue, Start));
}
