#ifndef LYCHEETHREAD_PROXY_INTERNAL_ATTEMPT_H
#define LYCHEETHREAD_PROXY_INTERNAL_ATTEMPT_H

#include "model/Model.h"

#include <cstdint>
#include <string>

namespace lycheethread::proxy {

enum class AttemptEnd {
  /// The complete response was sent to the caller.
  Delivered,
  /// The attempt failed before any byte was sent to the caller.
  Refused,
  /// The response broke off after part of it was sent to the caller.
  Truncated,
  /// The caller closed its connection.
  CallerClosed,
};

/// Upstream failure that a failed attempt indicates.
enum class UpstreamFailure { None, NoConnection, Crashed };

/// Result of one attempt to send a request to an upstream.
struct AttemptResult {
  AttemptEnd End = AttemptEnd::Delivered;
  /// This and the next two fields describe the failure of a refused or
  /// truncated attempt.
  RefusalReason Reason = RefusalReason::UpstreamFailed;
  Executed ExecutionStatus = Executed::No;
  UpstreamFailure Fault = UpstreamFailure::None;
  /// Refusal id assigned by another node; empty for a refusal of this node.
  RefusalId Id;
  std::string Detail;
  /// HTTP status of the response; 0 if there is none.
  std::int32_t Status = 0;
  ByteCount ResponseBytes;
  /// Whether the complete response of the upstream was received.
  bool IsResponseComplete = false;
};

/// Returns the result of an attempt that ended with a refusal.
AttemptResult refused(RefusalReason Reason, Executed ExecutionStatus,
                      std::string Detail);

/// Returns whether the result is a failure of the upstream itself.
bool isUpstreamFailure(const AttemptResult &Result);

/// Returns the HTTP status for a refusal.
int statusOf(RefusalReason Reason);

/// Returns the seconds after which a retry may succeed; 0 if it will not.
int retryAfterSeconds(RefusalReason Reason);

} // namespace lycheethread::proxy

#endif // LYCHEETHREAD_PROXY_INTERNAL_ATTEMPT_H
