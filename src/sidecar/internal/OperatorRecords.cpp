#include "sidecar/types/OperatorRecords.h"
#include "sidecar/types/StorePosition.h"

#include <algorithm>

namespace lycheethread::sidecar {

namespace {

bool isNewer(const std::string &Key, const OperatorRecord &Known,
             const OperatorRecord &Candidate,
             const ReplacesAcrossEras &Replaces) {
  if (eraOf(Candidate.At) == eraOf(Known.At))
    return Candidate.At > Known.At;
  return Candidate.At > Known.At ? Replaces(Key, Known, Candidate)
                                 : !Replaces(Key, Candidate, Known);
}

} // namespace

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

std::int32_t countKept(const OperatorRecords &Records) {
  return static_cast<std::int32_t>(std::count_if(
      Records.Items.begin(), Records.Items.end(), [&](const auto &Item) {
        return eraOf(Item.second.At) < eraOf(Records.Position);
      }));
}

} // namespace lycheethread::sidecar
