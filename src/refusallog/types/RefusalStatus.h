#ifndef LYCHEETHREAD_REFUSALLOG_TYPES_REFUSALSTATUS_H
#define LYCHEETHREAD_REFUSALLOG_TYPES_REFUSALSTATUS_H

#include "model/Model.h"

#include <cstdint>
#include <functional>
#include <vector>

namespace lycheethread::refusallog {

/// Name of RefusalStatus in the service registry.
inline constexpr const char *StatusName = "refusals.status";

/// Number of refusals since the node started with one reason and execution
/// status.
struct ReasonTotal {
  RefusalReason Reason = RefusalReason::NoRoute;
  Executed ExecutionStatus = Executed::No;
  std::int64_t Count = 0;
};

/// Totals of the refusals at this node and of those not in the log yet.
/// Thread-safe.
struct RefusalStatus {
  /// Returns the totals above zero.
  std::function<std::vector<ReasonTotal>()> Totals;
  /// Returns the number of refusals not confirmed to be in the log.
  std::function<std::int64_t()> Unshipped;
};

} // namespace lycheethread::refusallog

#endif // LYCHEETHREAD_REFUSALLOG_TYPES_REFUSALSTATUS_H
