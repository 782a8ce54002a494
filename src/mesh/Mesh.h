#ifndef LYCHEETHREAD_MESH_MESH_H
#define LYCHEETHREAD_MESH_MESH_H

/// Public header of the mesh library: the decisions of a node whose
/// configuration, members and rollouts come from the platform's store. All of
/// it is pure: no socket, clock or thread.

#include "mesh/types/CheckIn.h"
#include "mesh/types/HopQueue.h"
#include "mesh/types/LinkBudget.h"
#include "mesh/types/MeshConfig.h"
#include "mesh/types/NodeReport.h"
#include "mesh/types/Placement.h"
#include "mesh/types/RetryBudget.h"
#include "mesh/types/Rollout.h"
#include "mesh/types/ServiceTime.h"
#include "mesh/types/UploadBacklog.h"

#include <optional>
#include <random>
#include <string>
#include <vector>

namespace lycheethread::mesh {

/// The route with the longest prefix of \p Target's path at \p Host (a port is
/// ignored), or null.
const MeshRoute *findRoute(const MeshConfig &Config, const std::string &Host,
                           const std::string &Target);

/// Fills in LeastUrgentRank of all services from the routes.
void updateLowestRanks(MeshConfig &Config);

/// The largest rank among the routes to \p Service; 0 without routes.
std::int32_t leastUrgentRank(const MeshConfig &Config,
                             const ServiceName &Service);

/// Where one node stands in dividing the requests of a route.
struct SplitState {
  std::vector<std::int64_t> Credit;
};

/// The service for the next request, so that each part's share is met closely
/// also over few requests. Null for a route without parts.
const ServiceName *chooseService(const MeshRoute &Route, SplitState &State);

/// Sets the time of an upstream that has answered nothing yet from the
/// objective of a request; does nothing when the time is known.
void initServiceTime(ServiceTime &Time, Milliseconds Objective, bool IsCold);

void recordServiceTime(ServiceTime &Time, Milliseconds Took);

/// 0 while nothing is known.
Milliseconds meanServiceTime(const ServiceTime &Time);

/// Time until a slot is free for one more request.
Milliseconds expectedWait(std::int32_t Held, std::int32_t Capacity,
                          Milliseconds ServiceTime);

/// The candidate with the least expected cost to the caller, or none without
/// candidates.
std::optional<Placed> place(const std::vector<Candidate> &Candidates,
                            const PlacementRequest &Request,
                            std::mt19937_64 &Random);

/// Order of two waiting requests: rank, then what can still be in time, then
/// arrival.
bool runsBefore(const QueuedJob &First, const QueuedJob &Second,
                SteadyTime Now);

/// Longest wait for a slot of a request with the objective \p Objective.
Milliseconds longestWait(Milliseconds Objective);

/// Whether a request that arrives now runs, waits or is refused. It waits only
/// when it can be expected to be answered within its objective.
AdmissionDecision admitJob(const HopQueue &Queue, const QueuedJob &Job,
                           Milliseconds MeanService, SteadyTime Now);

/// Removes waiting requests that cannot be answered in time any more.
std::vector<JobId> removeOverdue(HopQueue &Queue, SteadyTime Now);

/// Moves the next waiting request to a free slot, if there are both.
std::optional<JobId> startNext(HopQueue &Queue, SteadyTime Now);

/// False when the request does not wait.
bool removeWaiting(HopQueue &Queue, JobId Id);

/// Long bodies that may be received together without holding up short requests
/// on the link.
std::int32_t maxConcurrentUploads(const UploadBacklog &Intake);

/// Time until everything pending has been received.
Milliseconds uploadBacklogTime(const UploadBacklog &Intake);

/// Time until a body of \p Bytes could be received and served within
/// \p ObjectiveLeft; 0 when it can now.
Milliseconds uploadDelay(const UploadBacklog &Intake, std::int64_t Bytes,
                         Milliseconds Service, Milliseconds ObjectiveLeft);

/// Time until a long body may be sent; 0 for now.
Milliseconds sendDelay(LinkBudget &Budget, SteadyTime Now);

void consumeTokens(LinkBudget &Budget, std::int64_t Bytes, SteadyTime Now);

/// Learns from the time \p Took of a body that was sent over the link.
void recordTransfer(LinkBudget &Budget, std::int64_t Bytes, Milliseconds Took,
                    SteadyTime Now);

/// Share and end of a rollout. Every node comes to the same result from the
/// same view; a later view can only raise the share along the fixed steps.
RolloutDecision decideRollout(const RolloutView &View);

/// Takes news that are newer than what is known. False when they are not.
bool mergeReport(Fleet &Known, const NodeReport &News, SteadyTime Now);

/// Gossip endpoints that a node at \p At tells its news in one of the rounds
/// that follow each other at \p Interval.
std::vector<Endpoint> choosePeers(const Fleet &Known, const Location &At,
                                  Milliseconds Interval, SteadyTime Now,
                                  std::mt19937_64 &Random);

/// Whether the node has been heard of lately.
bool isAlive(const KnownNode &Node, SteadyTime Now);

void expireNodes(Fleet &Known, SteadyTime Now);

/// Position of this node, from 0, among the living nodes in an order that
/// depends on \p Subject only.
std::size_t rendezvousRank(const Fleet &Known, const std::string &Subject,
                           SteadyTime Now);

/// Whether a node of rank \p Rank reads the store itself. \p ConfirmedAge is
/// the age of the newest confirmation by any node.
bool shouldReadStore(std::size_t Rank, Milliseconds ConfirmedAge);

/// Longest pause of a node between two calls to a store that fails.
/// \p ReadsAlways is for a node that reads the store all the time, \p Serves
/// for one that holds the operator's records.
Milliseconds maxStoreBackoff(bool ReadsAlways, bool Serves, std::size_t Nodes);

/// How long to wait for records that so far only nodes at distance \p Nearest
/// hold, before they are fetched from there.
Milliseconds fetchDelay(const Fleet &Known, const Location &At,
                        Proximity Nearest, SteadyTime Now);

Proximity proximityOf(const Location &From, const NodeId &Self,
                      const NodeReport &Of);

/// False when the check-in is older than what is known, or its start has left.
bool applyCheckIn(Registration &Known, const CheckIn &Item, SteadyTime Now);

/// False when another upstream is registered, or none; the leaving is kept all
/// the same. \p UnixMs is the time of day, by which later starts of the same id
/// are told apart.
bool applyLeave(Registration &Known, const UpstreamId &Id, std::int64_t UnixMs,
                SteadyTime Now);

/// Whether the upstream has missed several check-ins.
bool isSilent(const Registration &Known, Milliseconds Interval, SteadyTime Now);

/// Adds what one more request of a service allows.
void addRetryTokens(MeshRetryBudget &Budget);

/// Takes one repeat; false when none is left.
bool takeRetryToken(MeshRetryBudget &Budget, RetryKind Kind);

} // namespace lycheethread::mesh

#endif // LYCHEETHREAD_MESH_MESH_H
