#ifndef LYCHEETHREAD_REQUESTS_TYPES_RETRY_H
#define LYCHEETHREAD_REQUESTS_TYPES_RETRY_H

#include "model/Model.h"

#include <cstdint>

namespace lycheethread::requests {

/// Progress of an attempt when it ended.
struct AttemptProgress {
  /// Whether any byte was sent to the upstream.
  bool Sent = false;
  /// Whether the upstream answered 503 with the mark of a shed request.
  bool Shed = false;
  /// Whether the answer was received completely.
  bool Complete = false;
};

/// Retries that may still be made for a service, in hundredths of a retry.
struct RetryBudget {
  std::int64_t Hundredths = 1000;
};

/// An attempt that ended without an answer for the caller.
struct FailedAttempt {
  RequestClass Class = RequestClass::Repeatable;
  RefusalReason Reason = RefusalReason::UpstreamFailed;
  Executed ExecutionStatus = Executed::Unknown;
  /// Number of the attempt, counted from 1.
  std::int32_t Attempt = 1;
  /// Whether the refusal comes from a later hop of the call chain.
  bool FromLaterHop = false;
  /// Whether the whole request body is still buffered.
  bool BodyBuffered = true;
  Milliseconds TimeLeft{0};
};

} // namespace lycheethread::requests

#endif // LYCHEETHREAD_REQUESTS_TYPES_RETRY_H
