#ifndef LYCHEETHREAD_SIDECAR_INTERNAL_ENTRYOUTCOME_H
#define LYCHEETHREAD_SIDECAR_INTERNAL_ENTRYOUTCOME_H

#include "metrics/Metrics.h"

#include <optional>

namespace lycheethread::sidecar {

/// The end of a request at the entry.
struct EntryEnd {
  /// 0 if the caller has left.
  int Status = 0;
  /// Empty if an upstream's answer was passed on.
  std::optional<RefusalReason> Reason;
  bool MayHaveRun = false;
};

/// Returns the outcome under which the metrics count the request.
metrics::RequestOutcome outcomeOf(const EntryEnd &End);

} // namespace lycheethread::sidecar

#endif // LYCHEETHREAD_SIDECAR_INTERNAL_ENTRYOUTCOME_H
