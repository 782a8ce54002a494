#ifndef LYCHEETHREAD_SIDECAR_TYPES_OPERATORRECORDS_H
#define LYCHEETHREAD_SIDECAR_TYPES_OPERATORRECORDS_H

#include "model/Model.h"

#include <map>
#include <string>

namespace lycheethread::sidecar {

/// The newest record of one key.
struct OperatorRecord {
  std::string Value;
  Offset At;
};

/// The records written by the operator, by key.
struct OperatorRecords {
  /// First offset that is not known yet.
  Offset Position;
  std::map<std::string, OperatorRecord> Items;
};

/// Merges the newer records of \p From. Returns true if a record or the
/// position has changed.
bool mergeRecords(OperatorRecords &To, const OperatorRecords &From);

} // namespace lycheethread::sidecar

#endif // LYCHEETHREAD_SIDECAR_TYPES_OPERATORRECORDS_H
