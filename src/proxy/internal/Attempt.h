#ifndef LYCHEETHREAD_PROXY_INTERNAL_ATTEMPT_H
#define LYCHEETHREAD_PROXY_INTERNAL_ATTEMPT_H

#include "model/Model.h"

#include <cstdint>
#include <string>

namespace lycheethread::proxy {

enum class AttemptEnd {
  /// The caller has the complete answer.
  Delivered,
  /// Nothing was sent to the caller yet.
  Refused,
  /// The answer broke off after its first part went to the caller.
  Truncated,
  /// The caller closed its connection.
  CallerClosed,
};

/// What a failed attempt says about the upstream.
enum class UpstreamFailure { None, NoConnection, Crashed };

/// How one attempt at one upstream ended.
struct AttemptResult {
  AttemptEnd End = AttemptEnd::Delivered;
  /// These are set for Refused.
  RefusalReason Reason = RefusalReason::UpstreamFailed;
  Executed ExecutionStatus = Executed::No;
  UpstreamFailure Fault = UpstreamFailure::None;
  /// Id that another node gave; empty for a refusal of this node.
  RefusalId Id;
  std::string Detail;
  /// Status of the answer; 0 without one.
  std::int32_t Status = 0;
  ByteCount AnswerBytes;
  /// Whether the upstream's answer arrived whole.
  bool AnswerComplete = false;
};

AttemptResult refused(RefusalReason Reason, Executed ExecutionStatus,
                      std::string Detail);

/// Whether the upstream itself failed.
bool isUpstreamFailure(const AttemptResult &Result);

/// HTTP status of a refusal.
int statusOf(RefusalReason Reason);

/// Seconds after which a repeat may help; 0 when it does not.
int retryAfterSeconds(RefusalReason Reason);

} // namespace lycheethread::proxy

#endif // LYCHEETHREAD_PROXY_INTERNAL_ATTEMPT_H
