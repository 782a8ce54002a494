#ifndef LYCHEETHREAD_PROXY_INTERNAL_CLOCK_H
#define LYCHEETHREAD_PROXY_INTERNAL_CLOCK_H

#include "kernel/Clock.h"

namespace lycheethread::proxy {

using kernel::steadyNow;
using kernel::timeLeft;
using kernel::wallNow;

} // namespace lycheethread::proxy

#endif // LYCHEETHREAD_PROXY_INTERNAL_CLOCK_H
