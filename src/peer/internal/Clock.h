#ifndef LYCHEETHREAD_PEER_INTERNAL_CLOCK_H
#define LYCHEETHREAD_PEER_INTERNAL_CLOCK_H

#include "model/Model.h"

#include <chrono>
#include <ctime>

namespace lycheethread::peer {

/// CLOCK_BOOTTIME also counts while the instance is suspended, so that a node
/// that wakes up knows how old its information is.
inline SteadyTime steadyNow() {
  timespec Now{};
  clock_gettime(CLOCK_BOOTTIME, &Now);
  return SteadyTime(static_cast<std::int64_t>(Now.tv_sec) * 1000 +
                    Now.tv_nsec / 1000000);
}

inline WallTime wallNow() {
  return WallTime(std::chrono::duration_cast<Milliseconds>(
                      std::chrono::system_clock::now().time_since_epoch())
                      .count());
}

} // namespace lycheethread::peer

#endif // LYCHEETHREAD_PEER_INTERNAL_CLOCK_H
