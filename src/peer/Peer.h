#ifndef LYCHEETHREAD_PEER_PEER_H
#define LYCHEETHREAD_PEER_PEER_H

/// Public header of the peer library: the control protocol between nodes.

#include "kernel/Kernel.h"
#include "peer/types/PeerControl.h"

namespace lycheethread::peer {

/// Returns the module that runs the membership, the distribution of the
/// configuration and the routing view of a node. Registers Config, Members,
/// View and Peers of kernel::service_names.
kernel::Module makePeerModule();

} // namespace lycheethread::peer

#endif // LYCHEETHREAD_PEER_PEER_H
