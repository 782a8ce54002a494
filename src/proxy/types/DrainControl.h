#ifndef LYCHEETHREAD_PROXY_TYPES_DRAINCONTROL_H
#define LYCHEETHREAD_PROXY_TYPES_DRAINCONTROL_H

#include <cstdint>
#include <functional>

namespace lycheethread::proxy {

/// Controls the graceful shutdown of the proxy. Thread-safe.
struct DrainControl {
  /// Refuses new requests at the last hop from now on; the entry continues to
  /// serve requests.
  std::function<void()> Begin;
  /// Returns the number of requests in progress at the entry and the last hop,
  /// including outcomes not yet written.
  std::function<std::int64_t()> InProgress;
  /// Returns the number of requests in progress at the last hop, including
  /// outcomes not yet written.
  std::function<std::int64_t()> LastHopInProgress;
  /// Refuses new connections of callers from now on; open connections close
  /// after their next response. The calls of the local upstream arrive here
  /// too, so this should only be called when the last hop has no request in
  /// progress, or when the time for the drain runs out.
  std::function<void()> StopListening;
};

} // namespace lycheethread::proxy

#endif // LYCHEETHREAD_PROXY_TYPES_DRAINCONTROL_H
