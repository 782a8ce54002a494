#ifndef LYCHEETHREAD_MESH_MESH_H
#define LYCHEETHREAD_MESH_MESH_H

/// Public header of the mesh library: the decision logic of a node whose
/// configuration, member list and rollouts come from the platform's store. All
/// functions are pure: no sockets, clocks or threads.

#include "mesh/types/CalleeOutlook.h"
#include "mesh/types/CheckIn.h"
#include "mesh/types/ColdLimit.h"
#include "mesh/types/ColdSuspicion.h"
#include "mesh/types/Evacuation.h"
#include "mesh/types/Evidence.h"
#include "mesh/types/FairShare.h"
#include "mesh/types/GossipPlan.h"
#include "mesh/types/Hedging.h"
#include "mesh/types/HopQueue.h"
#include "mesh/types/JoinState.h"
#include "mesh/types/LinkBudget.h"
#include "mesh/types/ListedNode.h"
#include "mesh/types/MeshBounds.h"
#include "mesh/types/MeshConfig.h"
#include "mesh/types/NodeReport.h"
#include "mesh/types/Placement.h"
#include "mesh/types/RetryBudget.h"
#include "mesh/types/Rollout.h"
#include "mesh/types/ServiceTime.h"
#include "mesh/types/StopPlan.h"
#include "mesh/types/UploadBacklog.h"

#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace lycheethread::mesh {

/// Returns the route with the longest prefix that matches the path of \p Target
/// at \p Host (the port is ignored), or null.
const MeshRoute *findRoute(const MeshConfig &Config, const std::string &Host,
                           const std::string &Target);

/// The time within which an answer is worth most: the latency objective, or the
/// timeout of a route without one.
Milliseconds objectiveOf(const MeshRoute &Route);

/// Computes the least urgent rank and objective of every service from the
/// routes and organisations.
void updateLeastUrgent(MeshConfig &Config);

/// Returns whether a queue at \p Service serves all other requests before one
/// of \p Route with the rank \p Rank.
bool isServedLast(const MeshConfig &Config, const ServiceName &Service,
                  const MeshRoute &Route, std::int32_t Rank);

/// Position of one node in the sequence by which it spreads the requests of a
/// route over the parts.
struct SplitState {
  /// From 0 to 1; empty before the first request.
  std::optional<double> Position;
};

/// Returns the service for the next request, or null for a route without parts.
/// The weights are met closely over a few requests of one node, and also over
/// the first requests of many nodes.
const ServiceName *chooseService(const MeshRoute &Route, SplitState &State,
                                 std::mt19937_64 &Random);

/// Initialises the mean service time of an upstream that has not answered yet
/// from the latency objective of a request. Does nothing when the mean is
/// known.
void initServiceTime(ServiceTime &Time, Milliseconds Objective, bool IsCold);

void recordServiceTime(ServiceTime &Time, Milliseconds Took);

/// Returns 0 while no mean is known.
Milliseconds meanServiceTime(const ServiceTime &Time);

/// Returns the expected time until a slot is free for one more request.
Milliseconds expectedWait(std::int32_t Outstanding, std::int32_t Capacity,
                          Milliseconds ServiceTime);

/// Returns the time until the limit in \p Load permits one more request, when
/// \p Sent requests have been sent in the time \p Since the load was reported.
Milliseconds permitWaitSince(const LoadReport &Load, std::int32_t Sent,
                             Milliseconds Since);

/// Returns the candidate with the least expected cost to the caller, or nothing
/// without candidates.
std::optional<ChosenCandidate>
chooseCandidate(const std::vector<Candidate> &Candidates,
                const PlacementRequest &Request, std::mt19937_64 &Random);

/// Orders two waiting requests: by rank, then by the recent use of their
/// organisations, then requests that can still meet their objective before the
/// others, then by age.
bool runsBefore(const HopQueue &Queue, const QueuedJob &First,
                const QueuedJob &Second, SteadyTime Now);

/// Returns the account of \p Organisation, valid while a request waits or runs.
ShareAccount shareAccountOf(HopQueue &Queue,
                            const organisations::OrganisationId &Organisation,
                            SteadyTime Now);

/// Returns 0 for an organisation that has used at most twice as much as the
/// others on average, and one more for each time that its use doubles.
int shareLevel(const FairShares &Shares, ShareAccount Account);

/// Returns the level of \p Organisation; 0 without others and before its first
/// request.
int shareLevel(const FairShares &Shares,
               const organisations::OrganisationId &Organisation);

/// Returns the level by which \p Job is ordered at \p Now.
int shareLevel(const HopQueue &Queue, const QueuedJob &Job, SteadyTime Now);

/// Returns the factor by which requests that arrive later and go first, those
/// of more urgent ranks and of other organisations, stretch the wait of \p Job.
/// Their load counts as at most \p MaxLoad.
double overtakingFactor(const HopQueue &Queue, const QueuedJob &Job,
                        double MaxLoad, SteadyTime Now);

/// Returns the time after which the organisation of \p Job is not put back any
/// more if it gets no slots until then; 0 while the others leave slots to it.
Milliseconds shareDelay(const HopQueue &Queue, const QueuedJob &Job,
                        SteadyTime Now);

/// Records that \p Job takes a slot.
void startSlot(HopQueue &Queue, const QueuedJob &Job, SteadyTime Now);

/// Frees a slot and charges the time for which it was held.
void endSlot(HopQueue &Queue, const SlotUse &Use, SteadyTime Now);

/// Returns the time after which the rank of \p Job has had no slot for its
/// longest wait, so that \p Job gets one before more urgent requests; empty if
/// it would not be the next one of its rank.
std::optional<Milliseconds> turnDelay(const HopQueue &Queue,
                                      const QueuedJob &Job, SteadyTime Now);

/// Returns the position of the waiting request that runs next: that of a rank
/// without a slot for its longest wait, or else the one at \p First.
std::size_t nextInTurn(const HopQueue &Queue, std::size_t First,
                       SteadyTime Now);

/// Returns the longest time that a request with the objective \p Objective may
/// wait for a slot.
Milliseconds longestWait(Milliseconds Objective);

/// Decides whether an arriving request runs, waits or is refused. It waits only
/// if an answer within its objective can be expected.
QueueDecision admitJob(const HopQueue &Queue, const QueuedJob &Job,
                       Milliseconds MeanService, SteadyTime Now);

/// Returns by how much \p Wait, the time until all requests at the chosen
/// upstream have a slot, is too long to send \p Request there; 0 if it should
/// be sent.
Milliseconds excessWaitAtEntry(const EntryRequest &Request, Milliseconds Wait);

/// Removes the waiting requests that can no longer be answered in time and
/// returns their ids.
std::vector<JobId> removeOverdue(HopQueue &Queue, SteadyTime Now);

/// Records the arrival of \p Job, for which slots may be kept.
void recordArrival(HopQueue &Queue, const QueuedJob &Job, SteadyTime Now);

/// Returns the number of slots that may run requests like \p Job: one fewer
/// than there are while more urgent requests arrive that could not wait until
/// one of these has finished.
std::int32_t slotsFor(const HopQueue &Queue, const QueuedJob &Job,
                      SteadyTime Now);

/// Returns the mean service time of an upstream with \p Slots slots that runs
/// or queues \p Jobs requests which are expected to take \p Expected in total.
/// Slots without a request count with the usual time \p Usual.
Milliseconds meanExpectedService(std::int32_t Slots, std::int32_t Jobs,
                                 Milliseconds Expected, Milliseconds Usual);

/// Returns how many requests the upstream may run at the same time; \p Config
/// is null while none is in force.
std::int32_t slotsOf(const MeshConfig *Config, const Upstream &Item);

/// Returns the time until the limits of the upstream permit one more request
/// after \p Ahead others.
Milliseconds permitDelay(const HopQueue &Queue, std::int64_t Ahead,
                         SteadyTime Now);

/// Returns the requests a second that the upstream takes now; empty without a
/// limit.
std::optional<double> limitOf(const HopQueue &Queue, SteadyTime Now);

/// Counts a request as started that was admitted with QueueDecision::Run.
void startNow(HopQueue &Queue, SteadyTime Now);
void startNow(HopQueue &Queue, const QueuedJob &Job, SteadyTime Now);

/// Moves the next waiting request to a free slot, if both exist and the limit
/// of the upstream permits it.
std::optional<JobId> startNext(HopQueue &Queue, SteadyTime Now);

/// Returns false when the request is not in the queue.
bool removeWaiting(HopQueue &Queue, JobId Id);

/// Returns how many long bodies may be received at the same time without
/// delaying short requests on the link.
std::int32_t maxConcurrentUploads(const UploadBacklog &Backlog);

/// Returns the time until all pending bodies have been received.
Milliseconds uploadBacklogTime(const UploadBacklog &Backlog);

/// Returns the time until a body of \p Bytes could be received and served
/// within \p ObjectiveLeft; 0 when it can start now.
Milliseconds uploadDelay(const UploadBacklog &Backlog, std::int64_t Bytes,
                         Milliseconds Service, Milliseconds ObjectiveLeft);

/// Returns by how much the wait for a permit is too long for an upload whose
/// body has not arrived yet; 0 if it may be received. \p Queued uploads wait to
/// be received before it.
Milliseconds uploadPermitExcess(const HopQueue &Queue,
                                const UploadBacklog &Backlog,
                                std::size_t Queued, Milliseconds Objective,
                                SteadyTime Now);

/// Returns the time until a long body may be sent; 0 when it may be sent now.
Milliseconds sendDelay(LinkBudget &Budget, SteadyTime Now);

void consumeTokens(LinkBudget &Budget, std::int64_t Bytes, SteadyTime Now);

/// Adapts the rate to a body of \p Bytes that took \p Took to send over the
/// link.
void recordTransfer(LinkBudget &Budget, std::int64_t Bytes, Milliseconds Took,
                    SteadyTime Now);

/// Returns the traffic share and, if decided, the end of a rollout. All nodes
/// derive the same result from the same view; a later view can only raise the
/// share along the fixed steps.
RolloutDecision decideRollout(const RolloutView &View);

RouteEvidence sumOf(const EvidenceByRoute &Own);

/// Returns the datagrams with the evidence \p Own on the order at \p Order for
/// this round, and records in \p State what they hold. There is at least one.
std::vector<EvidenceReport> composeEvidence(Offset Order,
                                            const EvidenceByRoute &Own,
                                            const EvidencePlan &Plan,
                                            EvidenceCursor &State);

/// Returns false if \p Report belongs to an earlier incarnation or order.
bool mergeEvidence(std::map<NodeId, KnownEvidence> &Known,
                   const EvidenceReport &Report, SteadyTime Now);

/// Returns what \p Now counts beyond \p Before.
RouteEvidence evidenceSince(const EvidenceByRoute &Before, RouteEvidence Now);

/// Returns the age from which on a judgement no longer counts.
Milliseconds judgementTimeout(std::size_t Nodes);

/// Returns how many of \p Nodes nodes judge a rollout whose newest known
/// judgement is \p SinceJudged old.
std::size_t judgeCount(Milliseconds SinceJudged, std::size_t Nodes);

/// Counts a ready upstream. \p EvidenceAge is the time since its evidence came,
/// \p HeardAge the time since its node was last heard of.
void countUpstream(EvidenceCoverage &Version, Milliseconds EvidenceAge,
                   Milliseconds HeardAge);

/// Whether the evidence comes from enough upstreams of both versions to judge
/// by it.
bool coversVersions(const EvidenceCoverage &Old, const EvidenceCoverage &New);

/// Whether any node has judged the rollout recently.
bool isJudged(const RolloutView &View);

/// Takes what \p Read tells beyond \p Known. The ages of both count from now.
void mergeJudgement(std::optional<Judgement> &Known, const Judgement &Read);

/// Returns which versions may get requests. A rollout that was recorded as
/// completed stays so, whatever a node finds later: the old version has ended.
VersionChoice versionChoice(RolloutState State, bool IsNewVersionBad);

/// Whether the upstream has a limit, since it is cold, not known to be warm, or
/// being checked.
bool isLimited(const ColdLimit &Limit, SteadyTime Now);

/// The same without the time of a health check, which usually finds that the
/// upstream is warm.
bool isColdLimited(const ColdLimit &Limit, SteadyTime Now);

/// Takes the rate of the service from the configuration.
void setColdRate(ColdLimit &Limit, std::optional<double> PerSecond,
                 const MeshBounds &Bounds, SteadyTime Now);

/// Takes an accepted check-in, which says how long the upstream stays cold.
void recordColdCheckIn(ColdLimit &Limit, Milliseconds ColdRemaining,
                       bool IsNewProcess, SteadyTime Now);

/// Limits an upstream that may have been restarted, until a check-in tells.
void recordConnectionLoss(ColdLimit &Limit, ConnectionLoss Kind,
                          SteadyTime Now);

/// Limits an upstream whose zone was evacuated until now: it may have turned
/// cold. A health check or a check-in that was sent later tells.
void recordZoneReturn(ColdLimit &Limit, SteadyTime Now);

/// Limits an upstream to which a health check is sent until
/// recordHealthAnswer() is called.
void startHealthCheck(ColdLimit &Limit, SteadyTime Now);

/// Takes the outcome of the outstanding health check.
void recordHealthAnswer(ColdLimit &Limit, const HealthAnswer &Answer,
                        SteadyTime Now);

/// Records that an upstream that is not known to be cold has answered a request
/// after \p Took.
void recordWatchedAnswer(ColdSuspicion &Known, const RouteName &Route,
                         Milliseconds Took);

/// Whether the recent answers are slower than their routes' usual times by
/// about ColdFactor, and a health check may be sent.
bool needsHealthCheck(const ColdSuspicion &Known, SteadyTime Now);

/// Whether the last health check is long enough ago for another one.
bool mayCheckHealth(const ColdSuspicion &Known, SteadyTime Now);

/// Records that a health check is sent.
void recordHealthCheck(ColdSuspicion &Known, SteadyTime Now);

/// Takes what a check-in or health check says: the answers since the last one
/// are counted as usual ones, or dropped if the upstream is cold.
void recordKnownState(ColdSuspicion &Known, bool IsCold);

/// Returns the time until one more request may be started after \p Ahead
/// others; 0 without a limit.
Milliseconds coldDelay(const ColdLimit &Limit, std::int64_t Ahead,
                       SteadyTime Now);

/// Takes the permit of a request that is started.
void takeColdPermit(ColdLimit &Limit, SteadyTime Now);

/// Returns 0 if a started request may be sent; else the time until it might.
/// The upstream may have turned cold while the request was being connected.
Milliseconds coldSendDelay(const ColdLimit &Limit, SteadyTime Now);

/// Records that a request is sent to the upstream, cold or not.
void recordColdSend(ColdLimit &Limit, SteadyTime Now);

/// Takes the zones that the operator's records state as evacuated; returns
/// those whose state has changed.
EvacuationChange updateEvacuation(Evacuation &Known,
                                  const std::set<AvailabilityZone> &Stated,
                                  SteadyTime Now);

/// Whether no requests may be sent to upstreams in \p Zone.
bool isEvacuated(const Evacuation &Known, const AvailabilityZone &Zone);

/// Returns the share of the requests that \p Zone would get otherwise: 0 while
/// it is evacuated; afterwards it rises to 1 within some seconds.
double requestShare(const Evacuation &Known, const AvailabilityZone &Zone,
                    SteadyTime Now);

/// Stores \p Report if it is newer than the known one; otherwise returns false.
/// An upstream process that has left does not become ready again.
bool mergeReport(NodeTable &Known, const NodeReport &Report, SteadyTime Now);

/// Records that the process \p Process beside the node says in its answers that
/// it leaves, as a report of the node would. Returns false if that is known.
bool recordLeaving(NodeTable &Known, const NodeId &Id, Upstream Process);

NodeKey nodeKey(const NodeId &Id, Incarnation Number);

/// Stores a load that is newer than the known one. Returns false if the full
/// report of the node is unknown or out of date.
bool mergeBeat(NodeTable &Known, const LoadBeat &Beat, SteadyTime Now);

LoadBeat beatOf(const NodeReport &Report);

/// Returns the report of a known node as it can be forwarded at \p Now.
NodeReport forwardedReport(const KnownNode &Node, SteadyTime Now);

/// Shortens the lists of \p Report to the limit. Versions found bad and the
/// newest crash go first, then running rollouts, other crashes and ended
/// rollouts. Of several, those from the position \p Turn on go first; a random
/// one lets each have its turn. Returns how many items were left out.
std::size_t fitReport(NodeReport &Report, const ReportLimit &Limit,
                      std::size_t Turn);

/// Chooses the reports and loads of other nodes that fit in one datagram, and
/// counts them as forwarded.
GossipContent composeGossip(NodeTable &Known, const GossipPlan &Plan,
                            SteadyTime Now);

/// Whether the process will get no more requests.
bool isLeaving(const Upstream &Item);

/// Whether both describe the same start of an upstream.
bool isSameProcess(const Upstream &First, const Upstream &Second);

/// Whether a state has changed that this node has not forwarded yet. It goes to
/// nodes of the own zone at once, without waiting for the next round.
bool hasUrgentState(const NodeTable &Known);

/// Returns the gossip endpoints to which a node at \p At sends its report in
/// this round. Rounds are \p Interval apart.
GossipTargets choosePeers(const NodeTable &Known, const Location &At,
                          Milliseconds Interval, SteadyTime Now,
                          std::mt19937_64 &Random);

/// Returns the listed nodes to contact now, and records the attempts. A node at
/// \p Zone contacts those of its zone and a few of each other one.
std::vector<Endpoint> chooseSeeds(SeedNodes &Seeds, const NodeTable &Known,
                                  const AvailabilityZone &Zone, SteadyTime Now,
                                  std::mt19937_64 &Random);

/// Returns how long a node may be silent before it counts as gone.
Milliseconds aliveTimeout(std::size_t Nodes);

/// Whether a new report or load of the node has arrived recently, also by way
/// of other nodes.
bool isAlive(const NodeTable &Known, const KnownNode &Node, SteadyTime Now);

void expireNodes(NodeTable &Known, SteadyTime Now);

/// Whether the node has heard of enough of the nodes on the list.
bool knowsListedNodes(const JoinState &State, const NodeTable &Known);

/// Whether a node may serve that has started \p Waited ago: it must not refuse
/// requests for want of upstreams that the list would have shown.
bool hasJoined(const JoinState &State, const NodeTable &Known,
               Milliseconds Waited);

/// Returns when a node that has found \p Listed nodes on the list within
/// \p ResponseTime reads the records from the store, unless a peer sends them
/// before.
FirstReadDelay firstReadDelay(std::size_t Listed, Milliseconds ResponseTime);

/// Returns the position of this node, from 0, in a rendezvous hash order of the
/// living nodes. The order depends on \p Subject only.
std::size_t rendezvousRank(const NodeTable &Known, const std::string &Subject,
                           SteadyTime Now);

/// Returns the first \p Count nodes of that order; may include this node.
std::vector<NodeId> rendezvousFirst(const NodeTable &Known,
                                    const std::string &Subject,
                                    std::size_t Count, SteadyTime Now);

/// Returns the first \p Count nodes of the order of all known nodes that are
/// not stopping, also silent ones; may include this node.
std::vector<NodeId> rendezvousOrder(const NodeTable &Known,
                                    const std::string &Subject,
                                    std::size_t Count);

/// Whether a node of rank \p Rank reads the store itself. \p ConfirmedAge is
/// the age of the newest confirmation by any node.
bool shouldReadStore(std::size_t Rank, Milliseconds ConfirmedAge,
                     const MeshBounds &Bounds);

/// Returns how long one read of the store waits for a new record. Its end
/// confirms that nothing was added.
Milliseconds storeReadWait(const MeshBounds &Bounds);

/// Returns the longest backoff between two calls to a failing store.
/// \p ReadsAlways is set for a node that reads the store all the time,
/// \p Serves for a node that holds the operator's records.
Milliseconds maxStoreBackoff(bool ReadsAlways, bool Serves, std::size_t Nodes);

/// Returns how long to wait before fetching records that so far only nodes at
/// distance \p Nearest hold.
Milliseconds fetchDelay(const NodeTable &Known, const Location &At,
                        Proximity Nearest, SteadyTime Now);

Proximity proximityOf(const Location &From, const NodeId &Self,
                      const NodeReport &Of);

/// Returns false when the check-in is older than the known one, or when its
/// upstream process has left.
bool applyCheckIn(Registration &Known, const CheckIn &Item, SteadyTime Now);

/// Returns false when a different upstream or none is registered; the departure
/// is recorded in either case. \p UnixMs is the wall clock time, which tells
/// later processes with the same id apart.
bool applyLeave(Registration &Known, const UpstreamId &Id, std::int64_t UnixMs,
                SteadyTime Now);

/// Records what another node remembers of this node's earlier incarnation: the
/// process \p Past is leaving or has left. Returns true if the registered
/// upstream has changed.
bool restoreLeave(Registration &Known, const Upstream &Past, SteadyTime Now);

/// Records that the registered process says in its answers that it leaves.
/// Returns true if the registered upstream has changed.
bool applyStatedLeaving(Registration &Known, SteadyTime Now);

/// Returns the departures that the store does not hold yet.
std::vector<Departure> unrecordedDepartures(const Registration &Known);

/// Whether the leaving of \p Id is known and the store does not hold it yet.
bool isUnrecorded(const Registration &Known, const UpstreamId &Id);

/// Records that the store holds the departure.
void markRecorded(Registration &Known, const Departure &Item);

/// Records that the store has lost the departures of \p Id.
void markLost(Registration &Known, const UpstreamId &Id);

/// Takes a departure that an earlier incarnation of this node has recorded.
/// Returns true if the registered upstream has changed.
bool restoreDeparture(Registration &Known, const Departure &Item,
                      SteadyTime Now);

/// Whether check-ins of one process show that it runs, although the node does
/// not know yet which processes have left.
bool confirmsProcess(UnverifiedCheckIns &Known, const CheckIn &Item,
                     Milliseconds Interval, SteadyTime Now);

/// Whether the upstream has missed several check-ins.
bool isSilent(const Registration &Known, Milliseconds Interval, SteadyTime Now);

/// Returns the phases of a stop that ends within the grace time.
StopPlan planStop(const MeshBounds &Bounds);

/// Whether a request that is sent now, \p SinceStop after the stop was
/// requested, is expected to be answered before the node ends.
bool canFinish(const StopPlan &Plan, Milliseconds SinceStop, Milliseconds Wait,
               Milliseconds ServiceTime);

/// Returns this node's part of the retries that \p Nodes nodes may make.
RetryLimits retryLimits(const MeshBounds &Bounds, std::size_t Nodes);

/// Adds the retry tokens that one more request of a service earns.
void addRetryTokens(MeshRetryBudget &Budget, const RetryLimits &Limits);

/// Takes one retry token; returns false when none is left.
bool takeRetryToken(MeshRetryBudget &Budget, RetryKind Kind);

/// Returns how long after it was sent a request is to be sent to a second
/// upstream if it has no answer then, or nothing if it is not to be.
std::optional<Milliseconds>
hedgeDelay(const HedgeRequest &Request,
           const std::optional<UsualLatency> &Usual);

/// Records the end of a call of the upstream.
void recordCall(CalleeOutlook &Known, const NestedCall &Call, SteadyTime Now);

/// Records the end of a run. Returns the route and the called service if
/// requests of the route are rejected from now on.
std::optional<CalleeChange> recordRun(CalleeOutlook &Known, const EndedRun &Run,
                                      SteadyTime Now);

/// Decides about a request before it runs. Returns nothing if it is admitted,
/// or the time after which the called service is expected to serve more.
std::optional<Milliseconds>
calleeDelay(CalleeOutlook &Known, const CalleeRequest &Request, SteadyTime Now);

/// Returns the routes whose requests are no longer rejected since the last
/// call, and drops what is out of date.
std::vector<CalleeChange> endedLimits(CalleeOutlook &Known, SteadyTime Now);

/// Adds what one more request of the node earns. \p MaxShare is the largest
/// share of the requests that may be hedged, 0 for none.
void addHedgeTokens(HedgeShare &Share, double MaxShare);

/// Whether the upstreams of a service have no capacity for extra work. Those in
/// other regions do not count, since no hedged request is sent there.
bool isShortOfCapacity(const std::vector<Candidate> &Candidates,
                       std::optional<Milliseconds> SinceRefusal);

/// Returns the candidate that gets a hedged request now, and takes the tokens
/// for it; returns nothing if none may be sent. \p Candidates holds all
/// upstreams of the service, including the first.
std::optional<std::size_t> mayHedge(const std::vector<Candidate> &Candidates,
                                    const HedgeMoment &Moment,
                                    HedgeShare &Share, MeshRetryBudget &Budget,
                                    std::mt19937_64 &Random);

} // namespace lycheethread::mesh

#endif // LYCHEETHREAD_MESH_MESH_H
