#ifndef LYCHEETHREAD_PROXY_INTERNAL_CLOCK_H
#define LYCHEETHREAD_PROXY_INTERNAL_CLOCK_H

#include "model/Model.h"

#include <ctime>

namespace lycheethread::proxy {

/// CLOCK_BOOTTIME in ms: a deadline also passes while the process is paused.
inline SteadyTime steadyNow() {
  timespec Now{};
  clock_gettime(CLOCK_BOOTTIME, &Now);
  return SteadyTime(Now.tv_sec * 1000 + Now.tv_nsec / 1000000);
}

inline WallTime wallNow() {
  timespec Now{};
  clock_gettime(CLOCK_REALTIME, &Now);
  return WallTime(Now.tv_sec * 1000 + Now.tv_nsec / 1000000);
}

inline Milliseconds timeLeft(SteadyTime Deadline) {
  return elapsed(steadyNow(), Deadline);
}

} // namespace lycheethread::proxy

#endif // LYCHEETHREAD_PROXY_INTERNAL_CLOCK_H
