#ifndef LYCHEETHREAD_SIDECAR_TYPES_OPERATORRECORDS_H
#define LYCHEETHREAD_SIDECAR_TYPES_OPERATORRECORDS_H

#include "model/Model.h"

#include <functional>
#include <map>
#include <string>

namespace lycheethread::sidecar {

/// The newest record of one key.
struct OperatorRecord {
  std::string Value;
  /// Position in the store, see StorePosition.h.
  Offset At;
};

/// The records written by the operator, by key.
struct OperatorRecords {
  /// First position that is not known yet.
  Offset Position;
  std::map<std::string, OperatorRecord> Items;
  /// Grows with each change.
  std::int64_t Revision = 0;
};

/// Whether \p Newer, of a later era, replaces \p Known of an earlier one.
using ReplacesAcrossEras =
    std::function<bool(const std::string &Key, const OperatorRecord &Known,
                       const OperatorRecord &Newer)>;

/// Merges the newer records of \p From. Within an era of the store, the higher
/// position is newer. Returns true if a record or the position has changed.
bool mergeRecords(OperatorRecords &To, const OperatorRecords &From,
                  const ReplacesAcrossEras &Replaces);

/// Counts the records that the store has lost: they are kept from an earlier
/// era, and the operator has not written them again.
std::int32_t countKept(const OperatorRecords &Records);

} // namespace lycheethread::sidecar

#endif // LYCHEETHREAD_SIDECAR_TYPES_OPERATORRECORDS_H
