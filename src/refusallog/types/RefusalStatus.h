#ifndef LYCHEETHREAD_REFUSALLOG_TYPES_REFUSALSTATUS_H
#define LYCHEETHREAD_REFUSALLOG_TYPES_REFUSALSTATUS_H

#include "model/Model.h"

#include <cstdint>
#include <functional>
#include <vector>

namespace lycheethread::refusallog {

/// Name of RefusalStatus in the service registry.
inline constexpr const char *StatusName = "refusals.status";

/// Refusals of this life of the node with one reason and execution status.
struct ReasonTotal {
  RefusalReason Reason = RefusalReason::NoRoute;
  Executed ExecutionStatus = Executed::No;
  std::int64_t Count = 0;
};

/// What the node refused and how far it is in the log. Thread-safe.
struct RefusalStatus {
  /// Only entries above zero.
  std::function<std::vector<ReasonTotal>()> Totals;
  /// Refusals not yet known to be in the log.
  std::function<std::int64_t()> Unshipped;
};

} // namespace lycheethread::refusallog

#endif // LYCHEETHREAD_REFUSALLOG_TYPES_REFUSALSTATUS_H
