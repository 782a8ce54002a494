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

/// Whether the record says that the operator has removed the key. It is kept
/// and passed on, so that a node that lacks the removal learns of it.
bool isRemoval(const OperatorRecord &Record);

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

/// Adds the removals that \p Whole implies, which holds all records up to its
/// position: a key of \p Known that it lacks has been removed. Records of other
/// eras imply nothing, nor does \p Whole if more is known than it reaches.
/// \p Lasting, the key of the configuration, is never removed.
void addRemovals(OperatorRecords &Whole, const OperatorRecords &Known,
                 const std::string &Lasting);

/// Counts the records that the store has lost: they are kept from an earlier
/// era, and the operator has not written them again.
std::int32_t countKept(const OperatorRecords &Records);

} // namespace lycheethread::sidecar

#endif // LYCHEETHREAD_SIDECAR_TYPES_OPERATORRECORDS_H
