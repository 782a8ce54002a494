#ifndef LYCHEETHREAD_REFUSALS_TYPES_REFUSALREPORT_H
#define LYCHEETHREAD_REFUSALS_TYPES_REFUSALREPORT_H

#include "refusals/types/RefusalBatch.h"

#include <optional>
#include <string_view>
#include <vector>

namespace lycheethread::refusals {

/// What a report is about; unset fields do not restrict it.
struct ReportFilter {
  std::optional<ServiceName> Service;
  std::optional<WallTime> From;
  std::optional<WallTime> To;
};

/// Refusals of one key over all nodes.
struct ReportRow {
  RefusalKey Key;
  RefusalCount Refused;
  /// Part of the count that comes from batches in which this key was also
  /// refused outside the filter's times; it may hold refusals from there.
  std::int64_t AtEdge = 0;
};

enum class GapCause {
  /// Batches between two others, or before the first one, are not there.
  MissingBatches,
  /// The batches stop without a final one.
  NoFinalBatch,
};

std::string_view toString(GapCause Cause);

/// Interval in which the refusals of one life of a node are not known.
struct ReportGap {
  NodeId Node;
  Incarnation IncarnationNumber;
  GapCause Cause = GapCause::NoFinalBatch;
  WallTime From;
  WallTime To;
  /// Number of refusals missing, where later batches tell it.
  std::optional<std::int64_t> Missing;
};

/// Answer to who was refused, when, why, and whether the request ran.
struct RefusalReport {
  /// Ordered by key.
  std::vector<ReportRow> Rows;
  /// Sum of the rows.
  std::int64_t Total = 0;
  /// Ordered by node, life and time. A gap concerns every service.
  std::vector<ReportGap> Gaps;
};

} // namespace lycheethread::refusals

#endif // LYCHEETHREAD_REFUSALS_TYPES_REFUSALREPORT_H
