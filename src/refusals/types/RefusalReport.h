#ifndef LYCHEETHREAD_REFUSALS_TYPES_REFUSALREPORT_H
#define LYCHEETHREAD_REFUSALS_TYPES_REFUSALREPORT_H

#include "refusals/types/RefusalBatch.h"

#include <optional>
#include <string_view>
#include <vector>

namespace lycheethread::refusals {

/// Restricts a report; unset fields match everything.
struct ReportFilter {
  std::optional<ServiceName> Service;
  std::optional<WallTime> From;
  std::optional<WallTime> To;
};

/// Refusals of one key over all nodes.
struct ReportRow {
  RefusalKey Key;
  RefusalCount Refused;
  /// Part of the count that comes from batches whose refusals of this key
  /// extend beyond the time range of the filter; it may include refusals
  /// outside it.
  std::int64_t AtEdge = 0;
};

enum class GapCause {
  /// Batches are missing between two others or before the first one.
  MissingBatches,
  /// The last batch of an incarnation is not marked as final.
  NoFinalBatch,
};

std::string_view toString(GapCause Cause);

/// Interval in which the refusals of one incarnation of a node are unknown.
struct ReportGap {
  NodeId Node;
  Incarnation IncarnationNumber;
  GapCause Cause = GapCause::NoFinalBatch;
  WallTime From;
  WallTime To;
  /// Number of missing refusals; set if it follows from a later batch.
  std::optional<std::int64_t> Missing;
};

/// Which callers were refused, when and why, and whether the requests were
/// executed.
struct RefusalReport {
  /// Ordered by key.
  std::vector<ReportRow> Rows;
  /// Sum of the rows.
  std::int64_t Total = 0;
  /// Ordered by node, incarnation and time. A gap affects all services.
  std::vector<ReportGap> Gaps;
};

} // namespace lycheethread::refusals

#endif // LYCHEETHREAD_REFUSALS_TYPES_REFUSALREPORT_H
