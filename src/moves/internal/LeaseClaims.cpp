#include "moves/Moves.h"

namespace lycheethread::moves {

namespace {

/// An append that starts just before the lease ends must not arrive after it.
constexpr Milliseconds LeaseMargin{2'000};
/// Usual time until a record is read back; a repeat before that is waste.
constexpr Milliseconds ReadBackTime{2'000};

bool isRecordOf(const std::optional<LeaseClaim> &Claim, const Lease &Folded,
                const NodeId &Self) {
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
  if (isRecordOf(Claims.Pending, Folded, Self)) {
    Claims.Confirmed = Claims.Pending;
    Claims.Pending.reset();
  }
  if (Claims.Confirmed && !isRecordOf(Claims.Confirmed, Folded, Self))
    Claims.Confirmed.reset();
  if (Claims.Pending && Claims.Pending->Generation <= Folded.Generation)
    Claims.Pending.reset();
}

bool beginClaim(OwnClaims &Claims, Epoch Generation, SteadyTime Now) {
  const bool Repeat =
      Claims.Pending && Claims.Pending->Generation == Generation;
  if (Repeat && elapsed(Claims.LastAttemptAt, Now) < ReadBackTime)
    return false;
  // A repeat keeps the first time: the first append may be the one that counts.
  if (!Repeat)
    Claims.Pending = LeaseClaim{Generation, Now};
  Claims.LastAttemptAt = Now;
  return true;
}

} // namespace lycheethread::moves
