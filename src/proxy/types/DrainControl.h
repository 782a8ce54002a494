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
};

} // namespace lycheethread::proxy

#endif // LYCHEETHREAD_PROXY_TYPES_DRAINCONTROL_H
