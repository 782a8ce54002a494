#ifndef LYCHEETHREAD_REQUESTS_REQUESTS_H
#define LYCHEETHREAD_REQUESTS_REQUESTS_H

/// Public header of the requests library: routing, admission control, retries
/// and idempotency claims, as functions without I/O.

#include "requests/types/Admission.h"
#include "requests/types/Claims.h"
#include "requests/types/CrashSuspects.h"
#include "requests/types/RateLimit.h"
#include "requests/types/Retry.h"
#include "requests/types/RoutingView.h"
#include "requests/types/Selection.h"

#include <optional>
#include <string_view>

namespace lycheethread::requests {

/// Combines the configuration with the member list. Excludes members that are
/// draining, have left or are dead. Includes suspect members only when a group
/// has more suspect than ready members.
RoutingView buildRoutingView(const config::ConfigState &State,
                             const std::vector<Member> &Members,
                             const Location &Self);

/// Finds the service by the Host header, ignoring the port, and the route with
/// the longest path prefix that ends at a segment boundary. Either may be null.
/// The pointers stay valid as long as \p View.
RouteMatch findRoute(const RoutingView &View, std::string_view Host,
                     std::string_view Target);

/// Selects the version and the member for a request; returns nothing when no
/// member is usable. The result depends only on the arguments.
std::optional<Selection> selectUpstream(const GroupView &Group,
                                        const SelectionInput &Input);

/// Counts a failed connection. From the third consecutive failure on, the
/// member is ejected.
void recordConnectFailure(EjectionTable &Table, const NodeId &Target,
                          SteadyTime Now);

/// Counts a request that the member's upstream shed. Ejects the member when
/// its upstream has answered nothing else for some time.
void recordShedRequest(EjectionTable &Table, const NodeId &Target,
                       SteadyTime Now);

/// Ejects a member whose upstream crashed.
void ejectAfterCrash(EjectionTable &Table, const NodeId &Target,
                     SteadyTime Now);

/// Clears the failure counts and the ejection of a member that has answered.
void resetEjection(EjectionTable &Table, const NodeId &Target);

/// Decides whether a new request at the last hop runs, waits or is refused, and
/// updates the slots and the queue accordingly.
AdmitDecision admit(AdmissionState &State, const ServiceLimits &Limits,
                    const AdmissionRequest &Item, SteadyTime Now);

/// Frees the slot of a finished request that held it for \p ServiceTime.
/// Returns the waiting requests to start or to drop now.
ReleaseActions release(AdmissionState &State, const ServiceLimits &Limits,
                       const AdmissionRequest &Done,
                       std::chrono::microseconds ServiceTime, SteadyTime Now);

/// Returns the waiting requests to start or to drop now. With a limit, requests
/// may start although none has finished.
ReleaseActions startWaiting(AdmissionState &State, const ServiceLimits &Limits,
                            SteadyTime Now);

/// Removes a waiting request from the queue; returns false when it is not
/// queued.
bool removeQueued(AdmissionState &State, std::int64_t Ticket);

/// Parses a number of requests a second; returns nothing if it is not one.
std::optional<double> parseRate(const std::string &Text);

/// Takes what an upstream states in an answer to a request that was sent at
/// \p SentAt: its limit in requests a second, or that it has none.
void recordStatedLimit(RateLimit &Limit, std::optional<double> PerSecond,
                       SteadyTime SentAt, SteadyTime Now);

/// Takes a limit that another node knows of, unless the upstream has stated one
/// since this node started.
void restoreLimit(RateLimit &Limit, double PerSecond, SteadyTime Now);

/// Returns the time until a request with \p Ahead requests before it may be
/// sent; 0 without a limit.
Milliseconds permitDelay(const RateLimit &Limit, std::int64_t Ahead,
                         SteadyTime Now);

/// Takes the permit for one request; returns false if there is none now.
bool takePermit(RateLimit &Limit, SteadyTime Now);

/// Adapts the share of an entry to a limit of \p PerSecond that \p Nodes
/// entries share. A new share starts with \p FirstTokens, 0 to 1, which should
/// differ from entry to entry so that they do not all send at once.
void setShareBounds(LimitShare &Share, double PerSecond, std::size_t Nodes,
                    double FirstTokens, SteadyTime Now);

/// Whether the last hop can be expected to admit a request of this entry now.
bool isWithinShare(const LimitShare &Share, SteadyTime Now);

void recordSent(LimitShare &Share, SteadyTime Now);

void recordAdmitted(LimitShare &Share, double PerSecond);

void recordRefused(LimitShare &Share, double PerSecond, std::size_t Nodes,
                   SteadyTime Now);

/// Returns whether the upstream has executed the request, or Unknown when the
/// progress of the attempt proves neither.
Executed deduceExecuted(const AttemptProgress &Progress);

/// Adds to the budget the share of a retry that an original request earns.
void recordOriginal(RetryBudget &Budget, const ServiceLimits &Limits);

/// Returns whether to retry at another upstream, and if so takes the retry
/// from the budget.
bool decideRetry(RetryBudget &Budget, const FailedAttempt &Failed);

/// Applies one record of a claims stream to the table. Records must be applied
/// in offset order.
void foldClaim(ClaimTable &Table, Offset At, const ClaimEntry &Entry);

/// Returns what the writer of \p Claim may do. The table must include the
/// stream up to and including the offset of the claim.
ClaimDecision resolveClaim(const ClaimTable &Table, const ClaimEntry &Claim);

/// Records that a request with this fingerprint was in progress at the crash
/// \p Crash. Repeated reports of the same crash count once.
void recordCrashSuspect(SuspectTable &Table,
                        const Fingerprint &RequestFingerprint,
                        const CrashId &Crash, SuspectWeight Weight,
                        SteadyTime Now);

/// Records that the upstream has completely answered a request with this
/// fingerprint.
void recordAnswered(AnsweredTable &Table, const Fingerprint &RequestFingerprint,
                    SteadyTime Now);

/// Returns the weight of a crash for a fingerprint that was in progress.
SuspectWeight crashWeight(const AnsweredTable &Table,
                          const Fingerprint &RequestFingerprint,
                          SteadyTime Now);

/// Returns whether the crashes of the fingerprint within QuarantineDuration
/// have a total weight of QuarantineWeight or more.
bool isQuarantined(const SuspectTable &Table,
                   const Fingerprint &RequestFingerprint, SteadyTime Now);

} // namespace lycheethread::requests

#endif // LYCHEETHREAD_REQUESTS_REQUESTS_H
