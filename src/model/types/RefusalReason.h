#ifndef LYCHEETHREAD_MODEL_TYPES_REFUSALREASON_H
#define LYCHEETHREAD_MODEL_TYPES_REFUSALREASON_H

#include <optional>
#include <string_view>

namespace lycheethread {

/// Closed set of reasons for which a request is refused.
enum class RefusalReason {
  NoRoute,
  NoUpstream,
  Draining,
  SlotsFull,
  ConnectionsFull,
  CallerLimit,
  QueueFull,
  Deadline,
  TooDeep,
  BodyTooLarge,
  BadRequest,
  Shed,
  UpstreamFailed,
  UpstreamTimeout,
  LogUnavailable,
  AlreadyAccepted,
  CrashSuspect,
  NotReady,
};

/// Whether the refused request ran on an upstream.
enum class Executed { No, Yes, Unknown };

/// The code in headers and reports, such as "no-route".
std::string_view toString(RefusalReason Reason);

/// Empty when \p Text is not a reason code.
std::optional<RefusalReason> parseRefusalReason(std::string_view Text);

/// "no", "yes" or "unknown".
std::string_view toString(Executed Verdict);

/// Empty when \p Text is not a verdict.
std::optional<Executed> parseExecuted(std::string_view Text);

} // namespace lycheethread

#endif // LYCHEETHREAD_MODEL_TYPES_REFUSALREASON_H
