#ifndef LYCHEETHREAD_KERNEL_CLOCK_H
#define LYCHEETHREAD_KERNEL_CLOCK_H

#include "model/Model.h"

#include <ctime>

namespace lycheethread::kernel {

/// CLOCK_BOOTTIME in ms. It also counts while the instance is suspended, so
/// that a node that wakes up knows how old its information is.
inline SteadyTime steadyNow() {
  timespec Now{};
  clock_gettime(CLOCK_BOOTTIME, &Now);
  return SteadyTime(static_cast<std::int64_t>(Now.tv_sec) * 1000 +
                    Now.tv_nsec / 1000000);
}

/// The time of day; it may jump and is for display only.
inline WallTime wallNow() {
  timespec Now{};
  clock_gettime(CLOCK_REALTIME, &Now);
  return WallTime(static_cast<std::int64_t>(Now.tv_sec) * 1000 +
                  Now.tv_nsec / 1000000);
}

/// Negative when \p Deadline has passed.
inline Milliseconds timeLeft(SteadyTime Deadline) {
  return elapsed(steadyNow(), Deadline);
}

} // namespace lycheethread::kernel

#endif // LYCHEETHREAD_KERNEL_CLOCK_H
