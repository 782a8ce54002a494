#include "requests/Requests.h"

namespace lycheethread::requests {

namespace {

void forgetOldest(ClaimTable &Table) {
  while (Table.ByOffset.size() > MaxHeldClaims) {
    Table.Held.erase(Table.ByOffset.begin()->second);
    Table.ByOffset.erase(Table.ByOffset.begin());
  }
}

void dropOldBodies(ClaimTable &Table) {
  while (Table.OffsetsWithBody.size() > MaxRecordedBodies) {
    const auto Key = Table.ByOffset.find(Table.OffsetsWithBody.front());
    Table.OffsetsWithBody.pop_front();
    if (Key == Table.ByOffset.end())
      continue;
    HeldClaim &Claim = Table.Held[Key->second];
    if (Claim.Answer)
      Claim.Answer->Body.reset();
  }
}

void foldFirstClaim(ClaimTable &Table, Offset At, const ClaimEntry &Entry) {
  const HeldClaim Claim{Entry.Token, Entry.RequestFingerprint, std::nullopt,
                        At};
  if (!Table.Held.emplace(Entry.Key, Claim).second)
    return;
  Table.ByOffset.emplace(At, Entry.Key);
  forgetOldest(Table);
}

void foldOutcome(ClaimTable &Table, HeldClaim &Claim, const ClaimEntry &Entry) {
  if (Claim.Answer)
    return;
  Claim.Answer = Entry.Answer;
  if (Entry.Answer.Body) {
    Table.OffsetsWithBody.push_back(Claim.At);
    dropOldBodies(Table);
  }
}

} // namespace

void foldClaim(ClaimTable &Table, Offset At, const ClaimEntry &Entry) {
  if (Entry.Kind == ClaimKind::Claim) {
    foldFirstClaim(Table, At, Entry);
    return;
  }
  const auto It = Table.Held.find(Entry.Key);
  if (It == Table.Held.end() || It->second.Token != Entry.Token)
    return;
  if (Entry.Kind == ClaimKind::Outcome) {
    foldOutcome(Table, It->second, Entry);
    return;
  }
  // A release after an outcome is a mistake of the writer and must not open
  // the key again.
  if (It->second.Answer)
    return;
  Table.ByOffset.erase(It->second.At);
  Table.Held.erase(It);
}

ClaimDecision resolveClaim(const ClaimTable &Table, const ClaimEntry &Claim) {
  const auto It = Table.Held.find(Claim.Key);
  if (It == Table.Held.end())
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
