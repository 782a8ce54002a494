#ifndef LYCHEETHREAD_MOVES_MOVES_H
#define LYCHEETHREAD_MOVES_MOVES_H

/// Public header of the moves library: pure functions that decide the leases,
/// steps and outcome of version moves.

#include "moves/types/CanaryAnalysis.h"
#include "moves/types/Move.h"
#include "moves/types/MoveDecision.h"
#include "moves/types/StoppedMoveSet.h"

#include <optional>

namespace lycheethread::moves {

/// Duration of the lease that the owner of a move holds, and the age at which
/// the owner renews it.
inline constexpr Milliseconds LeaseDuration{10'000};
inline constexpr Milliseconds LeaseRenewal{4'000};

/// Minimum share of the old version while a move runs. Without traffic on the
/// old version, a fault that affects both versions cannot be distinguished from
/// a worse new version.
inline constexpr Permille MinStableShare{50};

/// Checks whether the steps of \p Plan fit before its deadline when it is
/// accepted at \p LogTime. The caller adds file and line to the findings.
Findings checkPlan(const MovePlan &Plan, WallTime LogTime);

/// Checks the plans of \p Document that \p Table does not contain yet: they
/// must fit before their deadline and start from the version that currently
/// serves the group. A plan kept unchanged from an earlier revision passes,
/// even after its deadline.
Findings checkMoves(const MoveTable &Table, const ServiceDocument &Document,
                    WallTime LogTime);

/// Returns the latest start of step \p Index (counted from 0) at which the rest
/// of the plan still ends before the deadline.
WallTime latestStart(const MovePlan &Plan, std::size_t Index);

/// Applies the move plans of \p Document, which was just accepted as revision
/// \p Accepted. New plans start a move; a changed or removed plan ends the
/// running move as undone.
void applyDocument(MoveTable &Table, const ServiceDocument &Document,
                   Revision Accepted, WallTime LogTime);

/// Applies a lease, step or end record to \p Table and ignores other records.
/// Returns false when the record had no effect.
bool foldMoveRecord(MoveTable &Table, const Record &Item, WallTime LogTime);

/// Ends the moves whose deadline is before \p LogTime as undone.
void expireMoves(MoveTable &Table, WallTime LogTime);

/// Returns how the traffic of \p Group is split. During a move the old version
/// keeps at least MinStableShare. Without a move, all traffic goes to the
/// version selected by the last ended move if the group still lists it, else to
/// the first listed version.
TrafficSplit trafficSplitOf(const MoveTable &Table,
                            const ServiceDocument &Document,
                            const GroupName &Group);

/// Returns the share of the new version for requests of \p Class.
Permille candidateShare(RequestClass Class, const TrafficSplit &Split);

/// Returns the subject of the lease that the owner of a service's moves holds.
LeaseSubject leaseSubject(const ServiceName &Service);

/// Starts the analysis of \p Item. The false alarm rate is divided among the
/// tests of all routes of the group. Each route has four: failures and latency,
/// each against two alternatives.
CanaryAnalysis makeCanaryAnalysis(const Move &Item,
                                  const ServiceDocument &Document);

/// Starts the analysis at an entry node. It tests failures only, because the
/// latencies at an entry node include the network distance to the upstream.
CanaryAnalysis makeEntryAnalysis(const Move &Item,
                                 const ServiceDocument &Document);

/// Adds the outcomes that belong to the move's group and ignores the others.
void addOutcomes(CanaryAnalysis &State, const OutcomeReport &Report,
                 SteadyTime Now);

/// Tests the windows that are complete at \p Now. Evidence in favour of a step
/// is reset at each step of \p Item.
Verdict evaluateCanary(CanaryAnalysis &State, const Move &Item,
                       const TrafficSplit &Split, SteadyTime Now);

/// Returns the next action of this node for \p Item. An action that needs the
/// lease is returned only while this node holds the lease in \p Table.
MoveDecision decideMove(const Move &Item, const Verdict &TestResult,
                        const MoveTable &Table, const OwnerState &Owner,
                        WallTime Now);

/// Returns whether an append under the lease may still start. Must be checked
/// before each append, with a clock that also runs while the process is
/// suspended.
bool leaseAllowsAppend(const LeaseClaim &Claim, SteadyTime Now);

/// Confirms the pending claim when the lease in \p Table comes from its record,
/// and drops claims that a newer lease has fenced off.
void confirmClaim(OwnClaims &Claims, const MoveTable &Table,
                  const ServiceName &Service, const NodeId &Self);

/// Records that a lease record with \p Generation is about to be appended at
/// \p Now. Returns false when the same record was appended so recently that it
/// may still be read back.
bool beginClaim(OwnClaims &Claims, Epoch Generation, SteadyTime Now);

/// Returns whether \p Now is after the deadline of \p Item, after which the new
/// version must get no more traffic.
bool pastDeadline(const Move &Item, WallTime Now);

/// Adds the outcomes observed at the entry node. Returns true when a route of
/// the new version failed MaxConsecutiveFailures consecutive times.
bool addEntryOutcomes(LocalStop &State, const Move &Item,
                      const std::vector<RouteOutcomes> &Seen);

inline constexpr std::int64_t MaxConsecutiveFailures = 5;

} // namespace lycheethread::moves

#endif // LYCHEETHREAD_MOVES_MOVES_H
