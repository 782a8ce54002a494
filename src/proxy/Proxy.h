#ifndef LYCHEETHREAD_PROXY_PROXY_H
#define LYCHEETHREAD_PROXY_PROXY_H

/// Public header of the proxy library: the HTTP data path of a node.

#include "kernel/Kernel.h"
#include "proxy/types/DrainControl.h"
#include "proxy/types/OutcomeAccumulator.h"

namespace lycheethread::proxy {

/// Entry and last hop of a node. Registers LastHopOutcomes, EntryOutcomes and
/// Drain of kernel::service_names.
kernel::Module makeProxyModule();

} // namespace lycheethread::proxy

#endif // LYCHEETHREAD_PROXY_PROXY_H
