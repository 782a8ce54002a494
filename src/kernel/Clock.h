#ifndef LYCHEETHREAD_KERNEL_CLOCK_H
#define LYCHEETHREAD_KERNEL_CLOCK_H

#include "model/Model.h"

#include <ctime>

namespace lycheethread::kernel {

/// Returns CLOCK_BOOTTIME in ms. It includes the time that the instance is
/// suspended, so that a node that resumes knows the age of its data.
inline SteadyTime steadyNow() {
  timespec Now{};
  clock_gettime(CLOCK_BOOTTIME, &Now);
  return SteadyTime(static_cast<std::int64_t>(Now.tv_sec) * 1000 +
                    Now.tv_nsec / 1000000);
}

/// Returns the time of day. It may jump and is for display only.
inline WallTime wallNow() {
  timespec Now{};
  clock_gettime(CLOCK_REALTIME, &Now);
  return WallTime(static_cast<std::int64_t>(Now.tv_sec) * 1000 +
                  Now.tv_nsec / 1000000);
}

/// Returns the time until \p Deadline; negative when it has passed.
inline Milliseconds timeLeft(SteadyTime Deadline) {
  return elapsed(steadyNow(), Deadline);
}

} // namespace lycheethread::kernel

#endif // LYCHEETHREAD_KERNEL_CLOCK_H
