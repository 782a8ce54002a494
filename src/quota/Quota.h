#ifndef LYCHEETHREAD_QUOTA_QUOTA_H
#define LYCHEETHREAD_QUOTA_QUOTA_H

/// Public header of the quota library: how the nodes share the limit of an
/// organisation. One node, the owner, grants permits that expire; the entries
/// ask for them. All functions are pure.

#include "quota/types/EntryStock.h"
#include "quota/types/Fleet.h"
#include "quota/types/OwnerBucket.h"
#include "quota/types/OwnerCandidate.h"

namespace lycheethread::quota {

/// Returns the times with which \p Nodes nodes stay within the limit, when the
/// requests of any \p Window may exceed it by the part \p Overage.
QuotaTimes quotaTimes(Milliseconds Window, double Overage, std::size_t Nodes);

/// Returns the limit with which the owner fills its bucket. The burst is larger
/// by a part of \p Slack, the number by which any window may exceed the limit:
/// the requests of a small organisation come unevenly.
organisations::Quota ownerLimit(const organisations::Quota &Limit,
                                double Slack);

/// Returns how many permits a node that has become the owner may grant before
/// it can know what the earlier owner has granted.
double earlyPermits(const organisations::Quota &Limit, double Slack);

/// Adds the tokens since the last refill; called several times a second by the
/// owner. A new bucket holds OwnerBucket::Early; one that was not refilled for
/// a second starts empty: this node was suspended.
void refill(OwnerBucket &Bucket, const organisations::Quota &Limit,
            const Fleet &Nodes, SteadyTime Now);

/// Decides how many permits an ask gets. The answer to a repeated ask is the
/// same as to the first one. Returns nothing for an ask that came late.
std::optional<PermitGrant> grant(OwnerBucket &Bucket,
                                 const organisations::Quota &Limit,
                                 const PermitAsk &Ask, SteadyTime Now);

/// Adopts the nodes among which the owners are chosen. Their order must not
/// change while they are the same.
void updateMembers(OwnerMembers &Members,
                   const std::vector<const NodeId *> &Ids);

/// Whether neither chooseOwner() nor mayOwn() looks at later candidates.
bool endsChoice(const OwnerCandidate &Item, const QuotaTimes &Times);

/// Returns the node that an entry asks for permits, of the first candidates in
/// the rendezvous order; empty without one.
NodeId chooseOwner(const std::vector<OwnerCandidate> &InOrder);

/// Whether this node may grant permits.
bool mayOwn(const std::vector<OwnerCandidate> &InOrder,
            const QuotaTimes &Times);

/// Adopts the limit in force; permits of a higher one are dropped.
void setLimit(EntryStock &Stock, const organisations::Quota &Limit);

/// Counts an arriving request.
void recordDemand(EntryStock &Stock, SteadyTime Now);

/// Takes one permit and returns when it expires; nothing if none is left.
std::optional<SteadyTime> takePermit(EntryStock &Stock, SteadyTime Now);

/// Gives a permit back whose request has not run.
void returnPermit(EntryStock &Stock, SteadyTime ExpiresAt, SteadyTime Now);

/// Returns how many permits to ask the owner for now, with \p Waiting requests
/// that found none, \p Returning of them for callers that were refused before;
/// 0 to ask later.
std::int32_t permitsToAsk(const EntryStock &Stock, std::int32_t Waiting,
                          SteadyTime Now, std::int32_t Returning = 0);

/// Records an ask as sent and returns it.
PermitAsk startAsk(EntryStock &Stock, const NodeId &Self, const NodeId &Owner,
                   std::int32_t Wanted, SteadyTime Now,
                   std::int32_t Returning = 0);

/// Whether the pending ask is to be sent again now; records that it was.
bool shouldRepeat(EntryStock &Stock, SteadyTime Now);

/// Gives the pending ask up if it has waited too long; returns true then.
/// \p Phase, from 0 to 1 at random, spreads the permits of the nodes that fall
/// back to their shares over time.
bool giveUpAsk(EntryStock &Stock, double Phase, SteadyTime Now);

/// Adds the granted permits to the stock. Returns false for an answer that
/// belongs to no pending ask.
bool applyGrant(EntryStock &Stock, const PermitGrant &Grant,
                const QuotaTimes &Times, SteadyTime Now);

/// Whether the owner has not answered the last asks.
bool isOwnerSilent(const EntryStock &Stock);

/// Takes a permit of this node's equal share while the owner is silent.
bool takeFallback(EntryStock &Stock, const Fleet &Nodes,
                  const QuotaTimes &Times, SteadyTime Now);

/// Whether a new request without a permit is refused at once, since the owner
/// has said that there are none or does not answer. A returning one waits.
bool shouldRefuse(const EntryStock &Stock, SteadyTime Now);

/// Whether a request is from a caller that was refused before.
bool isReturning(Milliseconds TimeSinceFirstAttempt);

/// Returns the time after which a refused caller may find a permit, and takes a
/// place of those told to come back if the caller, with \p Left until its
/// deadline, waits that long and returns within \p InTime, so that it can still
/// be answered within its objective.
Milliseconds takeReturnDelay(EntryStock &Stock, Milliseconds Left,
                             SteadyTime Now,
                             std::optional<Milliseconds> InTime = std::nullopt);

/// Returns how long a request with the objective \p Objective may wait for the
/// owner.
Milliseconds longestPermitWait(Milliseconds Objective);

/// Returns the longest delay after which a caller that comes back is expected
/// to be answered within its objective, of which \p Left is left.
Milliseconds latestReturnInTime(Milliseconds Left);

/// Whether a request that was refused before goes before new ones: \p Left of
/// the objective \p Objective is left after \p Age.
bool returnsInTime(Milliseconds Age, Milliseconds Objective, Milliseconds Left);

/// How long a request waits for the answer of the owner.
/// A round trip takes 60 ms between regions, and busy nodes read a datagram up
/// to 100 ms late; a refusal costs the caller more than the wait.
inline constexpr Milliseconds PermitWaitLimit{350};

/// Shortest time after which an owner without permits is asked again.
inline constexpr Milliseconds MinRetryDelay{50};

/// Requests wait for permits that are expected within this time; the answer to
/// the next ask still comes within PermitWaitLimit.
inline constexpr Milliseconds MaxHold{120};

/// Callers come back after at most this part of the time that they have left.
inline constexpr int ReturnTimeDivisor = 3;

} // namespace lycheethread::quota

#endif // LYCHEETHREAD_QUOTA_QUOTA_H
