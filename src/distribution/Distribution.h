#ifndef LYCHEETHREAD_DISTRIBUTION_DISTRIBUTION_H
#define LYCHEETHREAD_DISTRIBUTION_DISTRIBUTION_H

/// Public header of the distribution library: who reads the log, who relays,
/// from whom to pull and when a node may serve, as pure functions.

#include "distribution/types/DistributionState.h"

namespace lycheethread::distribution {

/// Next number of the generator whose state is \p Seed.
std::uint64_t nextRandom(std::uint64_t &Seed);
/// Uniform in [0, Bound); 0 when \p Bound is 0.
std::size_t randomBelow(std::uint64_t &Seed, std::size_t Bound);
/// 64-bit hash that is the same on every node.
std::uint64_t stableHash(const std::string &Text);

/// Orders ids by the hash of key and id; every node gets the same order.
std::vector<NodeId> rendezvousOrder(const std::string &Key,
                                    std::vector<NodeId> Ids);

/// Rank of \p Self among the live members of its region that may read the log.
std::size_t readerRank(const NodeId &Self, const Region &In,
                       const std::vector<Member> &Members);
/// \p Rank is this node's readerRank.
bool shouldReadLog(const DistributionState &State, std::size_t Rank,
                   SteadyTime Now);

/// Heartbeat to send now, if one is due or the position has risen.
std::optional<FeedHeartbeat> nextHeartbeat(DistributionState &State,
                                           bool Reading, SteadyTime Now);
HeartbeatResult onFeedHeartbeat(DistributionState &State,
                                const FeedHeartbeat &Beat, const NodeId &Sender,
                                SteadyTime Now);
/// Up to ForwardFanout random live members of the own region.
std::vector<Member> chooseForwardTargets(DistributionState &State,
                                         const std::vector<Member> &Members);

/// Notes that \p Source named \p Position as in force.
void recordCommittedPosition(DistributionState &State, Offset Position,
                             const NodeId &Source, SteadyTime Now);
/// Notes that \p Source knows of records up to \p Position.
void recordKnownPosition(DistributionState &State, Offset Position,
                         const NodeId &Source);
/// Member to pull from now: first the one that named the position, then the
/// own availability zone, the region, any other.
std::optional<Member> choosePullSource(DistributionState &State,
                                       const std::vector<Member> &Members,
                                       SteadyTime Now);
void onPullResult(DistributionState &State, bool Succeeded, SteadyTime Now);

/// Uniform in [MinBackoff, MinBackoff * 2^Attempt], at most
/// MaxBackoff.
Milliseconds backoffDelay(int Attempt, std::uint64_t &Seed);

/// Members that should hold new records next, beside those in \p Holders.
std::vector<Member> chooseReplicas(DistributionState &State,
                                   const std::vector<Member> &Members,
                                   const std::set<NodeId> &Holders,
                                   const std::set<NodeId> &Failed);
/// Whether enough other members hold the records.
bool mayCommit(const DistributionState &State,
               const std::vector<Member> &Members,
               const std::set<NodeId> &Holders);
/// Whether this node should look for holders now: at once as a reader, later
/// when it merely keeps records for another.
bool shouldCommit(const DistributionState &State, bool Reading, SteadyTime Now);

/// Records that offsets below \p Position are held. Lower values are ignored.
void recordStoredPosition(DistributionState &State, Offset Position,
                          SteadyTime Now);
/// Moves the position in force; returns false for a lower one.
bool advancePosition(DistributionState &State, Offset Position);

void onLogContact(DistributionState &State, Offset Head);
void onLogFailure(DistributionState &State);
void onStartupAnswer(DistributionState &State, const NodeId &Source,
                     bool Serving, Offset Highest, SteadyTime Now);
/// Notes that a seed or peer did not answer.
void onStartupFailure(DistributionState &State);
Readiness readiness(const DistributionState &State, SteadyTime Now);
/// Up to SnapshotSources peers, in different availability zones if possible.
std::vector<Member> chooseSnapshotSources(DistributionState &State,
                                          const std::vector<Member> &Members);

/// Takes a slot when one is free; the caller gives it back.
SnapshotAdmission admitSnapshot(SnapshotSlots &Slots, std::uint64_t &Seed);

/// Whether this node should write a checkpoint now.
bool shouldWriteCheckpoint(const DistributionState &State,
                           const std::vector<Member> &Members,
                           const CheckpointProgress &Mark, SteadyTime Now);

} // namespace lycheethread::distribution

#endif // LYCHEETHREAD_DISTRIBUTION_DISTRIBUTION_H
