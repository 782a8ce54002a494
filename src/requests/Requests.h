#ifndef LYCHEETHREAD_REQUESTS_REQUESTS_H
#define LYCHEETHREAD_REQUESTS_REQUESTS_H

/// Public header of the requests library: routing, limits, retries and claims,
/// as pure functions.

#include "requests/types/Admission.h"
#include "requests/types/Claims.h"
#include "requests/types/CrashSuspects.h"
#include "requests/types/Retry.h"
#include "requests/types/RoutingView.h"
#include "requests/types/Selection.h"

#include <optional>
#include <string_view>

namespace lycheethread::requests {

/// Joins configuration and members. Members that are draining, left or dead
/// are left out; suspects stay in when more than half of a group is suspect.
RoutingView buildRoutingView(const config::ConfigState &State,
                             const std::vector<Member> &Members,
                             const Location &Self);

/// Finds the service by the Host header (a port is ignored) and the route by
/// its longest path prefix that ends at a segment. Either may be null; the
/// pointers live as long as \p View.
RouteMatch findRoute(const RoutingView &View, std::string_view Host,
                     std::string_view Target);

/// Picks version and member; empty when no member may be used. The same
/// arguments give the same pick.
std::optional<Selection> selectUpstream(const GroupView &Group,
                                        const SelectionInput &Input);

/// Counts a failed connection; from the third in a row on the member is
/// ejected.
void recordConnectFailure(EjectionTable &Table, const NodeId &Target,
                          SteadyTime Now);

/// Counts a request that the member's upstream shed; one that has only shed
/// for a while is ejected.
void recordShedRequest(EjectionTable &Table, const NodeId &Target,
                       SteadyTime Now);

/// Ejects a member whose upstream crashed.
void ejectAfterCrash(EjectionTable &Table, const NodeId &Target,
                     SteadyTime Now);

/// Clears the count after an answer.
void resetEjection(EjectionTable &Table, const NodeId &Target);

/// Decides about a new request at the last hop and books it when it runs or
/// waits.
AdmitDecision admit(AdmissionState &State, const ServiceLimits &Limits,
                    const AdmissionRequest &Item, SteadyTime Now);

/// Books the end of a running request that held its slot for \p ServiceTime
/// and names the waiting requests that run or are dropped next.
ReleaseActions release(AdmissionState &State, const ServiceLimits &Limits,
                       const AdmissionRequest &Done,
                       std::chrono::microseconds ServiceTime, SteadyTime Now);

/// Takes a waiting request out of the queue; false when it does not wait.
bool removeQueued(AdmissionState &State, std::int64_t Ticket);

/// Whether the request ran, as far as the progress proves.
Executed deduceExecuted(const AttemptProgress &Progress);

/// Credits the budget for an original request.
void recordOriginal(RetryBudget &Budget, const ServiceLimits &Limits);

/// Whether to try one other upstream; takes the retry from the budget.
bool decideRetry(RetryBudget &Budget, const FailedAttempt &Failed);

/// Folds one record of a claims stream; records must come in offset order.
void foldClaim(ClaimTable &Table, Offset At, const ClaimEntry &Entry);

/// What the holder of \p Claim may do, after the stream has been folded past
/// the offset of its claim.
ClaimDecision resolveClaim(const ClaimTable &Table, const ClaimEntry &Claim);

/// Notes that \p Print was in progress at the crash \p Crash; a repeated
/// report of the same crash counts once.
void recordCrashSuspect(SuspectTable &Table,
                        const Fingerprint &RequestFingerprint,
                        const CrashId &Crash, SuspectWeight Weight,
                        SteadyTime Now);

/// Notes that the upstream gave a whole answer to \p Print.
void recordAnswered(AnsweredTable &Table, const Fingerprint &RequestFingerprint,
                    SteadyTime Now);

/// Weight of a crash at which \p Print was in progress.
SuspectWeight crashWeight(const AnsweredTable &Table,
                          const Fingerprint &RequestFingerprint,
                          SteadyTime Now);

/// Whether the crashes of \p Print in the last 10 minutes weigh
/// QuarantineWeight or more.
bool isQuarantined(const SuspectTable &Table,
                   const Fingerprint &RequestFingerprint, SteadyTime Now);

} // namespace lycheethread::requests

#endif // LYCHEETHREAD_REQUESTS_REQUESTS_H
