#ifndef LYCHEETHREAD_MODEL_TYPES_REFUSALREASON_H
#define LYCHEETHREAD_MODEL_TYPES_REFUSALREASON_H

#include <optional>
#include <string_view>

namespace lycheethread {

/// Reason for which a request is refused. The set is closed.
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
  RateLimited,
  UnknownKey,
  KeysUnconfirmed,
  OverQuota,
  NoAllowedRegion,
  /// Calls that the upstream would make for the request cannot be served.
  CalleeFull,
};

/// Whether an upstream executed the refused request.
enum class Executed { No, Yes, Unknown };

/// Returns the code used in headers and reports, such as "no-route".
std::string_view toString(RefusalReason Reason);

/// Parses a reason code; returns nothing for an unknown code.
std::optional<RefusalReason> parseRefusalReason(std::string_view Text);

/// Returns "no", "yes" or "unknown".
std::string_view toString(Executed State);

/// Parses the result of toString; returns nothing for other texts.
std::optional<Executed> parseExecuted(std::string_view Text);

} // namespace lycheethread

#endif // LYCHEETHREAD_MODEL_TYPES_REFUSALREASON_H
