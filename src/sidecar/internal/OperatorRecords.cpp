#include "sidecar/types/OperatorRecords.h"
#include "sidecar/types/StorePosition.h"

#include <algorithm>

namespace lycheethread::sidecar {

namespace {

bool isNewer(const std::string &Key, const OperatorRecord &Known,
             const OperatorRecord &Candidate,
             const ReplacesAcrossEras &Replaces) {
  // An offset holds one record, so a removal at the same one was found later.
  if (Candidate.At == Known.At)
    return isRemoval(Candidate) && !isRemoval(Known);
  if (eraOf(Candidate.At) == eraOf(Known.At))
    return Candidate.At > Known.At;
  return Candidate.At > Known.At ? Replaces(Key, Known, Candidate)
                                 : !Replaces(Key, Candidate, Known);
}

} // namespace

bool isRemoval(const OperatorRecord &Record) { return Record.Value.empty(); }

bool mergeRecords(OperatorRecords &To, const OperatorRecords &From,
                  const ReplacesAcrossEras &Replaces) {
  bool Changed = false;
  for (const auto &[Key, Record] : From.Items) {
    const auto Found = To.Items.find(Key);
    if (Found != To.Items.end() &&
        !isNewer(Key, Found->second, Record, Replaces))
      continue;
    To.Items[Key] = Record;
    Changed = true;
  }
  if (To.Position < From.Position) {
    To.Position = From.Position;
    Changed = true;
  }
  if (Changed)
    ++To.Revision;
  return Changed;
}

// The removal gets the last position that was read: nodes that are behind ask
// for the records from their own position on, and a later record of the same
// key has a higher one.
void addRemovals(OperatorRecords &Whole, const OperatorRecords &Known,
                 const std::string &Lasting) {
  if (Whole.Position < Known.Position)
    return;
  const Offset Last(Whole.Position.value() - 1);
  for (const auto &[Key, Record] : Known.Items)
    if (Key != Lasting && !isRemoval(Record) && Record.At <= Last &&
        eraOf(Record.At) == eraOf(Whole.Position))
      Whole.Items.try_emplace(Key, OperatorRecord{"", Last});
}

std::int32_t countKept(const OperatorRecords &Records) {
  return static_cast<std::int32_t>(std::count_if(
      Records.Items.begin(), Records.Items.end(), [&](const auto &Item) {
        return eraOf(Item.second.At) < eraOf(Records.Position);
      }));
}

} // namespace lycheethread::sidecar
