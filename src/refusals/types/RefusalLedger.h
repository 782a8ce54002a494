#ifndef LYCHEETHREAD_REFUSALS_TYPES_REFUSALLEDGER_H
#define LYCHEETHREAD_REFUSALS_TYPES_REFUSALLEDGER_H

#include "refusals/types/RefusalBatch.h"

#include <memory>

namespace lycheethread::refusals {

/// Refusals of one incarnation of a node that are not confirmed to be in the
/// log. Holds at most one unconfirmed batch and the counts of the open
/// interval, so its size is bounded even during a long outage of the log.
struct RefusalLedger {
  NodeId Node;
  Incarnation IncarnationNumber;
  /// Number of the next batch.
  Sequence Next{1};
  /// Start of the open interval.
  WallTime OpenedAt;
  /// Number of refusals in all batches closed so far.
  std::int64_t ClosedTotal = 0;
  std::int64_t OpenTotal = 0;
  RefusalCounts Open;
  /// Number of keys in Open under their own caller and under caller "(other)".
  std::size_t CallerKeys = 0;
  std::size_t OverflowKeys = 0;
  /// The last batch, until it is confirmed. It may have reached the log
  /// already, so it must be resent unchanged.
  std::shared_ptr<const RefusalBatch> Unconfirmed;
};

} // namespace lycheethread::refusals

#endif // LYCHEETHREAD_REFUSALS_TYPES_REFUSALLEDGER_H
