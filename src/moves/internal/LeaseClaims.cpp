#include "moves/Moves.h"

namespace lycheethread::moves {

namespace {

/// Appends stop this long before the lease expires, so that a slow append does
/// not arrive after it.
constexpr Milliseconds LeaseMargin{2'000};
/// Usual time until an appended record is read back. An earlier retry would be
/// redundant.
constexpr Milliseconds ReadBackTime{2'000};

bool isLeaseFromClaim(const std::optional<LeaseClaim> &Claim,
                      const Lease &Folded, const NodeId &Self) {
  return Claim && Folded.Holder == Self &&
         Folded.Generation == Claim->Generation;
}

} // namespace

bool leaseAllowsAppend(const LeaseClaim &Claim, SteadyTime Now) {
  return elapsed(Claim.WrittenAt, Now) < LeaseDuration - LeaseMargin;
}

void confirmClaim(OwnClaims &Claims, const MoveTable &Table,
                  const ServiceName &Service, const NodeId &Self) {
  const auto Found = Table.Leases.find(leaseSubject(Service));
  if (Found == Table.Leases.end())
    return;
  const Lease &Folded = Found->second;
  if (isLeaseFromClaim(Claims.Pending, Folded, Self)) {
    Claims.Confirmed = Claims.Pending;
    Claims.Pending.reset();
  }
  if (Claims.Confirmed && !isLeaseFromClaim(Claims.Confirmed, Folded, Self))
    Claims.Confirmed.reset();
  if (Claims.Pending && Claims.Pending->Generation <= Folded.Generation)
    Claims.Pending.reset();
}

bool beginClaim(OwnClaims &Claims, Epoch Generation, SteadyTime Now) {
  const bool IsRetry =
      Claims.Pending && Claims.Pending->Generation == Generation;
  if (IsRetry && elapsed(Claims.LastAttemptAt, Now) < ReadBackTime)
    return false;
  // A retry keeps the time of the first append, which may have taken effect.
  if (!IsRetry)
    Claims.Pending = LeaseClaim{Generation, Now};
  Claims.LastAttemptAt = Now;
  return true;
}

} // namespace lycheethread::moves
