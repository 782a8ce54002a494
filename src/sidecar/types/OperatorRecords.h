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

/// What the operator has written, by key.
struct OperatorRecords {
  /// First offset that is not known yet.
  Offset Position;
  std::map<std::string, OperatorRecord> Items;
};

/// Takes what is newer in \p From. True when an item or the position changed.
bool mergeRecords(OperatorRecords &To, const OperatorRecords &From);

} // namespace lycheethread::sidecar

#endif // LYCHEETHREAD_SIDECAR_TYPES_OPERATORRECORDS_H
