#ifndef LYCHEETHREAD_REFUSALS_TYPES_REFUSALBATCH_H
#define LYCHEETHREAD_REFUSALS_TYPES_REFUSALBATCH_H

#include "model/Model.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

namespace lycheethread::refusals {

/// Keys that a ledger counts under their own caller.
inline constexpr std::size_t MaxCallerKeys = 512;
/// Keys that a ledger counts under caller "(other)" beyond MaxCallerKeys; past
/// these, service and route become "(other)" too.
inline constexpr std::size_t MaxOverflowKeys = 128;
/// Sample ids kept for each key.
inline constexpr std::size_t MaxSamples = 3;
/// Bytes kept of a caller, service or route name and of a sample id.
inline constexpr std::size_t MaxNameBytes = 64;
/// Stands for names that are no longer counted one by one.
inline constexpr const char *OverflowName = "(other)";

/// Refusals that are counted together.
struct RefusalKey {
  CallerId Caller;
  ServiceName Service;
  RouteName Route;
  RefusalReason Reason = RefusalReason::NoRoute;
  Executed ExecutionStatus = Executed::No;

  friend bool operator==(const RefusalKey &L, const RefusalKey &R);
  friend bool operator<(const RefusalKey &L, const RefusalKey &R);
};

/// Count and evidence for one key.
struct RefusalCount {
  std::int64_t Count = 0;
  WallTime First;
  WallTime Last;
  /// Class of the latest refusal; a route has one class at a time.
  RequestClass Class = RequestClass::Repeatable;
  /// Highest position of the configuration in force at a refusal.
  Offset ConfigPosition;
  /// At most MaxSamples.
  std::vector<RefusalId> Samples;
};

using RefusalCounts = std::map<RefusalKey, RefusalCount>;

/// Identifies a batch; every copy of it has the same content.
struct BatchId {
  NodeId Node;
  Incarnation IncarnationNumber;
  Sequence Number;

  friend bool operator==(const BatchId &L, const BatchId &R);
  friend bool operator<(const BatchId &L, const BatchId &R);
};

/// Everything that one node refused in one interval. The intervals of one life
/// follow each other without a hole; numbers start at 1.
struct RefusalBatch {
  BatchId Id;
  WallTime From;
  WallTime To;
  /// Refusals in the earlier batches of this life.
  std::int64_t TotalBefore = 0;
  /// Sum of Counts.
  std::int64_t Total = 0;
  /// The node ends after this batch.
  bool Final = false;
  RefusalCounts Counts;
};

} // namespace lycheethread::refusals

#endif // LYCHEETHREAD_REFUSALS_TYPES_REFUSALBATCH_H
