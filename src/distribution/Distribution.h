#ifndef LYCHEETHREAD_DISTRIBUTION_DISTRIBUTION_H
#define LYCHEETHREAD_DISTRIBUTION_DISTRIBUTION_H

/// Public header of the distribution library: pure functions that choose the
/// reader of the log, the targets of heartbeats, the sources of records and
/// snapshots and the replicas before a commit, and that decide when a node may
/// serve.

#include "distribution/types/DistributionState.h"

namespace lycheethread::distribution {

/// Returns the next random number and advances the generator state \p Seed.
std::uint64_t nextRandom(std::uint64_t &Seed);
/// Returns a random number that is uniform in [0, Bound); 0 if \p Bound is 0.
std::size_t randomBelow(std::uint64_t &Seed, std::size_t Bound);
/// Returns a 64-bit hash that is the same on every node.
std::uint64_t stableHash(const std::string &Text);

/// Orders ids by the hash of key and id (rendezvous hashing). Every node gets
/// the same order.
std::vector<NodeId> rendezvousOrder(const std::string &Key,
                                    std::vector<NodeId> Ids);

/// Returns the rank of \p Self among the live members of its region. Rank 0
/// reads the log for the region; the next ranks take over when it fails.
std::size_t readerRank(const NodeId &Self, const Region &In,
                       const std::vector<Member> &Members);
/// Returns whether this node should read the log now. \p Rank is its
/// readerRank.
bool shouldReadLog(const DistributionState &State, std::size_t Rank,
                   SteadyTime Now);

/// Returns the heartbeat to send now, if one is due or the position has
/// increased.
std::optional<FeedHeartbeat> nextHeartbeat(DistributionState &State,
                                           bool Reading, SteadyTime Now);
/// Records a received heartbeat. \p Sender is the node that forwarded it.
HeartbeatResult onFeedHeartbeat(DistributionState &State,
                                const FeedHeartbeat &Heartbeat,
                                const NodeId &Sender, SteadyTime Now);
/// Returns up to ForwardFanout random live members of this node's region.
std::vector<Member> chooseForwardTargets(DistributionState &State,
                                         const std::vector<Member> &Members);

/// Records that \p Source reported \p Position as committed.
void recordCommittedPosition(DistributionState &State, Offset Position,
                             const NodeId &Source, SteadyTime Now);
/// Records that \p Source knows of records up to \p Position.
void recordKnownPosition(DistributionState &State, Offset Position,
                         const NodeId &Source);
/// Returns the member to pull records from now, if any: first the one that
/// reported the position, then one in this node's availability zone, in its
/// region, in any region.
std::optional<Member> choosePullSource(DistributionState &State,
                                       const std::vector<Member> &Members,
                                       SteadyTime Now);
/// Resets the backoff after a successful pull and increases it after a failed
/// one.
void onPullResult(DistributionState &State, bool Succeeded, SteadyTime Now);

/// Returns a random delay, uniform in [MinBackoff, MinBackoff * 2^Attempt]
/// and at most MaxBackoff.
Milliseconds backoffDelay(int Attempt, std::uint64_t &Seed);

/// Returns the members to which new records should be replicated next, in
/// addition to those in \p Replicas.
std::vector<Member> chooseReplicas(DistributionState &State,
                                   const std::vector<Member> &Members,
                                   const std::set<NodeId> &Replicas,
                                   const std::set<NodeId> &Failed);
/// Returns whether enough other members store the records to commit them.
bool mayCommit(const DistributionState &State,
               const std::vector<Member> &Members,
               const std::set<NodeId> &Replicas);
/// Returns whether this node should commit its uncommitted records now: at once
/// if it reads the log or another node has committed a higher position, after
/// OrphanedRecordDelay if it only stores replicas for the reader.
bool shouldCommit(const DistributionState &State, bool Reading, SteadyTime Now);

/// Records that the offsets below \p Position are stored on this node. Lower
/// values are ignored.
void recordStoredPosition(DistributionState &State, Offset Position,
                          SteadyTime Now);
/// Advances the committed position. Returns false for a lower one.
bool advancePosition(DistributionState &State, Offset Position);

/// Records a successful request to the log, whose head is \p Head.
void onLogContact(DistributionState &State, Offset Head);
/// Records a failed request to the log.
void onLogFailure(DistributionState &State);
/// Records the reply of a seed or peer to a starting node.
void onStartupAnswer(DistributionState &State, const NodeId &Source,
                     bool Serving, Offset Highest, SteadyTime Now);
/// Records that a seed or peer did not reply.
void onStartupFailure(DistributionState &State);
/// Returns whether the node may serve and, if not, what it waits for.
Readiness readiness(const DistributionState &State, SteadyTime Now);
/// Returns up to SnapshotSources peers, in different availability zones if
/// possible.
std::vector<Member> chooseSnapshotSources(DistributionState &State,
                                          const std::vector<Member> &Members);

/// Takes a snapshot slot if one is free. The caller must release it.
SnapshotAdmission admitSnapshot(SnapshotSlots &Slots, std::uint64_t &Seed);

/// Returns whether this node should write a checkpoint now.
bool shouldWriteCheckpoint(const DistributionState &State,
                           const std::vector<Member> &Members,
                           const CheckpointProgress &Progress, SteadyTime Now);

} // namespace lycheethread::distribution

#endif // LYCHEETHREAD_DISTRIBUTION_DISTRIBUTION_H
