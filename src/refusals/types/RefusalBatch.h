#ifndef LYCHEETHREAD_REFUSALS_TYPES_REFUSALBATCH_H
#define LYCHEETHREAD_REFUSALS_TYPES_REFUSALBATCH_H

#include "model/Model.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

namespace lycheethread::refusals {

/// Maximum number of keys that a ledger counts under their own caller.
inline constexpr std::size_t MaxCallerKeys = 512;
/// Maximum number of further keys that a ledger counts under caller "(other)".
/// Beyond this limit the service and the route are replaced by "(other)" too.
inline constexpr std::size_t MaxOverflowKeys = 128;
/// Maximum number of sample refusal ids per key.
inline constexpr std::size_t MaxSamples = 3;
/// Longer caller, service and route names and sample ids are truncated to this
/// length.
inline constexpr std::size_t MaxNameBytes = 64;
/// Replaces the names that a full ledger does not count separately.
inline constexpr const char *OverflowName = "(other)";

/// Identifies the refusals that are counted together.
struct RefusalKey {
  CallerId Caller;
  ServiceName Service;
  RouteName Route;
  RefusalReason Reason = RefusalReason::NoRoute;
  Executed ExecutionStatus = Executed::No;

  friend bool operator==(const RefusalKey &L, const RefusalKey &R);
  friend bool operator<(const RefusalKey &L, const RefusalKey &R);
};

/// Number, time range and sample ids of the refusals of one key.
struct RefusalCount {
  std::int64_t Count = 0;
  WallTime First;
  WallTime Last;
  /// Class of the latest refusal; it changes only with the configuration of the
  /// route.
  RequestClass Class = RequestClass::Repeatable;
  /// Highest configuration position that was in force at one of the refusals.
  Offset ConfigPosition;
  /// At most MaxSamples.
  std::vector<RefusalId> Samples;
};

using RefusalCounts = std::map<RefusalKey, RefusalCount>;

/// Identifies a batch; all copies of a batch have the same content.
struct BatchId {
  NodeId Node;
  Incarnation IncarnationNumber;
  Sequence Number;

  friend bool operator==(const BatchId &L, const BatchId &R);
  friend bool operator<(const BatchId &L, const BatchId &R);
};

/// All refusals of one node in one interval. The intervals of an incarnation
/// are contiguous; batch numbers start at 1.
struct RefusalBatch {
  BatchId Id;
  WallTime From;
  WallTime To;
  /// Number of refusals in the earlier batches of this incarnation.
  std::int64_t TotalBefore = 0;
  /// Sum of Counts.
  std::int64_t Total = 0;
  /// Whether this is the last batch before the node stops.
  bool Final = false;
  RefusalCounts Counts;
};

} // namespace lycheethread::refusals

#endif // LYCHEETHREAD_REFUSALS_TYPES_REFUSALBATCH_H
