#ifndef LYCHEETHREAD_REQUESTS_TYPES_RETRY_H
#define LYCHEETHREAD_REQUESTS_TYPES_RETRY_H

#include "model/Model.h"

#include <cstdint>

namespace lycheethread::requests {

/// How far an attempt got.
struct AttemptProgress {
  /// Whether any byte was passed on.
  bool Sent = false;
  /// Whether the upstream answered with the marked 503 of a shed request.
  bool Shed = false;
  bool Complete = false;
};

/// Retries that a service may still make, in hundredths of a retry.
struct RetryBudget {
  std::int64_t Hundredths = 1000;
};

/// An attempt without an answer for the caller.
struct FailedAttempt {
  RequestClass Class = RequestClass::Repeatable;
  RefusalReason Reason = RefusalReason::UpstreamFailed;
  Executed ExecutionStatus = Executed::Unknown;
  /// Counted from 1.
  std::int32_t Attempt = 1;
  /// The refusal comes from further down the chain of calls.
  bool FromLaterHop = false;
  /// The whole body is still at hand.
  bool BodyBuffered = true;
  Milliseconds TimeLeft{0};
};

} // namespace lycheethread::requests

#endif // LYCHEETHREAD_REQUESTS_TYPES_RETRY_H
