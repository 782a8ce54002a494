#ifndef LYCHEETHREAD_REFUSALS_TYPES_REFUSALLEDGER_H
#define LYCHEETHREAD_REFUSALS_TYPES_REFUSALLEDGER_H

#include "refusals/types/RefusalBatch.h"

#include <memory>

namespace lycheethread::refusals {

/// Refusals of one life of a node that are not known to be in the log. Holds
/// at most one taken batch and one open set of counts, so its size is bounded
/// however long the log is away.
struct RefusalLedger {
  NodeId Node;
  Incarnation IncarnationNumber;
  /// Number of the next new batch.
  Sequence Next{1};
  /// Start of the open interval.
  WallTime OpenedAt;
  /// Refusals in all batches taken so far.
  std::int64_t TotalTaken = 0;
  std::int64_t OpenTotal = 0;
  RefusalCounts Open;
  /// Keys of Open under their own caller and under caller "(other)".
  std::size_t OwnKeys = 0;
  std::size_t OtherKeys = 0;
  /// Taken and not confirmed. It may have reached the log, so it is only ever
  /// resent as it is.
  std::shared_ptr<const RefusalBatch> Unconfirmed;
};

} // namespace lycheethread::refusals

#endif // LYCHEETHREAD_REFUSALS_TYPES_REFUSALLEDGER_H
