#ifndef LYCHEETHREAD_MOVES_MOVES_H
#define LYCHEETHREAD_MOVES_MOVES_H

/// Public header of the moves library: leases, steps and the end of version
/// moves, as pure functions.

#include "moves/types/CanaryAnalysis.h"
#include "moves/types/Move.h"
#include "moves/types/MoveDecision.h"
#include "moves/types/StoppedMoveSet.h"

#include <optional>

namespace lycheethread::moves {

/// Length of the lease of a move's owner, and when the owner renews it.
inline constexpr Milliseconds LeaseDuration{10'000};
inline constexpr Milliseconds LeaseRenewal{4'000};

/// Least share of the old version while a move runs. With all the traffic on
/// the new version, a fault of both versions cannot be told from a worse one.
inline constexpr Permille MinStableShare{50};

/// Checks whether the steps of \p Plan fit before its deadline when it is
/// accepted at \p LogTime. Places are filled in by the caller.
Findings checkPlan(const MovePlan &Plan, WallTime LogTime);

/// Checks the plans of \p Document that \p Table does not know yet: they must
/// fit and start from the version that serves now. A plan that is kept from an
/// earlier revision passes, also after its deadline.
Findings checkMoves(const MoveTable &Table, const ServiceDocument &Document,
                    WallTime LogTime);

/// Latest start of step \p Index (from 0) from which the rest of the plan still
/// ends before the deadline.
WallTime latestStart(const MovePlan &Plan, std::size_t Index);

/// Starts, keeps or drops the moves of a document that was just accepted as
/// \p Accepted: a changed plan ends the running move as undone.
void applyDocument(MoveTable &Table, const ServiceDocument &Document,
                   Revision Accepted, WallTime LogTime);

/// Folds a lease, step or end record; other bodies are ignored. Returns false
/// when the record had no effect.
bool foldMoveRecord(MoveTable &Table, const Record &Item, WallTime LogTime);

/// Ends moves whose deadline lies before \p LogTime as undone.
void expireMoves(MoveTable &Table, WallTime LogTime);

/// Division of the group's traffic: the running move, in which the old version
/// keeps at least MinStableShare, else the version that the
/// last ended move left in charge if the group still lists it, else the first
/// listed version.
TrafficSplit trafficSplitOf(const MoveTable &Table,
                            const ServiceDocument &Document,
                            const GroupName &Group);

/// Share of the new version for requests of \p Class.
Permille candidateShare(RequestClass Class, const TrafficSplit &Share);

/// Lease subject of the owner of a service's moves.
LeaseSubject leaseSubject(const ServiceName &Service);

/// Starts the evidence on \p Item. The false alarm rate is shared by the tests
/// of all routes of the group: two streams against two alternatives each.
CanaryAnalysis makeCanaryAnalysis(const Move &Item,
                                  const ServiceDocument &Document);

/// Starts the evidence of an entry node, which tests failures only: its
/// latencies contain the distance to the upstream.
CanaryAnalysis makeEntryAnalysis(const Move &Item,
                                 const ServiceDocument &Document);

/// Adds the outcomes of the move's group; others are ignored.
void addOutcomes(CanaryAnalysis &State, const OutcomeReport &Report,
                 SteadyTime Now);

/// Tests the windows that are complete at \p Now. Evidence that a step is good
/// starts anew with each step of \p Item.
Verdict evaluateCanary(CanaryAnalysis &State, const Move &Item,
                       const TrafficSplit &Share, SteadyTime Now);

/// Next action of this node for \p Item. An action under a lease is only
/// returned while the folded lease is this node's own.
MoveDecision decideMove(const Move &Item, const Verdict &Tested,
                        const MoveTable &Table, const OwnerState &Owner,
                        WallTime Now);

/// Whether an append under the lease may still start, by a clock that also
/// runs while the process is suspended. To be asked before each append.
bool leaseAllowsAppend(const LeaseClaim &Claim, SteadyTime Now);

/// Takes the pending claim as confirmed when the folded lease is that record,
/// and drops claims that another holder has fenced.
void confirmClaim(OwnClaims &Claims, const MoveTable &Table,
                  const ServiceName &Service, const NodeId &Self);

/// Notes that a lease record of \p Generation is about to be appended at
/// \p Now. False when the same record was appended a moment ago and may still
/// be read back.
bool beginClaim(OwnClaims &Claims, Epoch Generation, SteadyTime Now);

/// Whether the node's own clock says that \p Item may get no more traffic.
bool pastDeadline(const Move &Item, WallTime Now);

/// Adds outcomes that the entry node saw; true when a route of the new version
/// failed MaxConsecutiveFailures times in a row.
bool addEntryOutcomes(LocalStop &State, const Move &Item,
                      const std::vector<RouteOutcomes> &Seen);

inline constexpr std::int64_t MaxConsecutiveFailures = 5;

} // namespace lycheethread::moves

#endif // LYCHEETHREAD_MOVES_MOVES_H
