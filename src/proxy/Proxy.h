#ifndef LYCHEETHREAD_PROXY_PROXY_H
#define LYCHEETHREAD_PROXY_PROXY_H

/// Public header of the proxy library: forwards HTTP requests of callers and of
/// other nodes.

#include "kernel/Kernel.h"
#include "proxy/types/DrainControl.h"
#include "proxy/types/OutcomeAccumulator.h"

namespace lycheethread::proxy {

/// Returns the module with the entry and the last hop of a node. It registers
/// the services LastHopOutcomes, EntryOutcomes and Drain of
/// kernel::service_names.
kernel::Module makeProxyModule();

} // namespace lycheethread::proxy

#endif // LYCHEETHREAD_PROXY_PROXY_H
