#ifndef LYCHEETHREAD_PROXY_TYPES_DRAINCONTROL_H
#define LYCHEETHREAD_PROXY_TYPES_DRAINCONTROL_H

#include <cstdint>
#include <functional>

namespace lycheethread::proxy {

/// Graceful end of the data path. Thread-safe.
struct DrainControl {
  /// Refuses new work at the last hop from now on; entry requests go on.
  std::function<void()> Begin;
  /// Requests in progress, at the entry and at the last hop.
  std::function<std::int64_t()> InProgress;
  /// Requests in progress at the last hop, and its claims to be written.
  std::function<std::int64_t()> LastHopInProgress;
  /// Refuses connections of callers from now on; open ones end after their
  /// next answer. The own upstream's calls come in here too, so this is for
  /// when the last hop has nothing in progress.
  std::function<void()> StopListening;
};

} // namespace lycheethread::proxy

#endif // LYCHEETHREAD_PROXY_TYPES_DRAINCONTROL_H
