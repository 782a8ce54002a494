#include "sidecar/types/OperatorRecords.h"

namespace lycheethread::sidecar {

bool mergeRecords(OperatorRecords &To, const OperatorRecords &From) {
  bool Changed = false;
  for (const auto &[Key, Record] : From.Items) {
    const auto Found = To.Items.find(Key);
    if (Found != To.Items.end() && Record.At <= Found->second.At)
      continue;
    To.Items[Key] = Record;
    Changed = true;
  }
  if (To.Position < From.Position) {
    To.Position = From.Position;
    Changed = true;
  }
  return Changed;
}

} // namespace lycheethread::sidecar
