#include "requests/Requests.h"

namespace lycheethread::requests {

namespace {

void evictOldestClaims(ClaimTable &Table) {
  while (Table.ByOffset.size() > MaxHeldClaims) {
    Table.ClaimByKey.erase(Table.ByOffset.begin()->second);
    Table.ByOffset.erase(Table.ByOffset.begin());
  }
}

void evictOldestBodies(ClaimTable &Table) {
  while (Table.OffsetsWithBody.size() > MaxRecordedBodies) {
    const auto Key = Table.ByOffset.find(Table.OffsetsWithBody.front());
    Table.OffsetsWithBody.pop_front();
    if (Key == Table.ByOffset.end())
      continue;
    HeldClaim &Claim = Table.ClaimByKey[Key->second];
    if (Claim.Answer)
      Claim.Answer->Body.reset();
  }
}

void applyFirstClaim(ClaimTable &Table, Offset At, const ClaimEntry &Entry) {
  const HeldClaim Claim{Entry.Token, Entry.RequestFingerprint, std::nullopt,
                        At};
  if (!Table.ClaimByKey.emplace(Entry.Key, Claim).second)
    return;
  Table.ByOffset.emplace(At, Entry.Key);
  evictOldestClaims(Table);
}

void applyOutcome(ClaimTable &Table, HeldClaim &Claim,
                  const ClaimEntry &Entry) {
  if (Claim.Answer)
    return;
  Claim.Answer = Entry.Answer;
  if (Entry.Answer.Body) {
    Table.OffsetsWithBody.push_back(Claim.At);
    evictOldestBodies(Table);
  }
}

} // namespace

void foldClaim(ClaimTable &Table, Offset At, const ClaimEntry &Entry) {
  if (Entry.Kind == ClaimKind::Claim) {
    applyFirstClaim(Table, At, Entry);
    return;
  }
  const auto It = Table.ClaimByKey.find(Entry.Key);
  if (It == Table.ClaimByKey.end() || It->second.Token != Entry.Token)
    return;
  if (Entry.Kind == ClaimKind::Outcome) {
    applyOutcome(Table, It->second, Entry);
    return;
  }
  // A release after an outcome is an error of the writer and must not free the
  // key, since the request has been executed.
  if (It->second.Answer)
    return;
  Table.ByOffset.erase(It->second.At);
  Table.ClaimByKey.erase(It);
}

ClaimDecision resolveClaim(const ClaimTable &Table, const ClaimEntry &Claim) {
  const auto It = Table.ClaimByKey.find(Claim.Key);
  if (It == Table.ClaimByKey.end())
    return {};
  const HeldClaim &Holder = It->second;
  if (Holder.Token == Claim.Token)
    return {ClaimAction::Execute, Executed::No, {}};
  if (Holder.RequestFingerprint != Claim.RequestFingerprint)
    return {ClaimAction::KeyReused, Executed::No, {}};
  if (!Holder.Answer)
    return {};
  if (!Holder.Answer->Body)
    return {ClaimAction::Unknown, Executed::Yes, {}};
  return {ClaimAction::Replay, Executed::Yes, *Holder.Answer};
}

} // namespace lycheethread::requests
