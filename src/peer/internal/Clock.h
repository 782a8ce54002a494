#ifndef LYCHEETHREAD_PEER_INTERNAL_CLOCK_H
#define LYCHEETHREAD_PEER_INTERNAL_CLOCK_H

#include "kernel/Clock.h"

namespace lycheethread::peer {

using kernel::steadyNow;
using kernel::wallNow;

} // namespace lycheethread::peer

#endif // LYCHEETHREAD_PEER_INTERNAL_CLOCK_H
