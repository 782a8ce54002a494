#ifndef LYCHEETHREAD_MOVEOWNER_MOVEOWNER_H
#define LYCHEETHREAD_MOVEOWNER_MOVEOWNER_H

/// Public header of the moveowner library: controls the version moves of this
/// node's service, and stops traffic to bad versions at this node.

#include "kernel/Kernel.h"

namespace lycheethread::moveowner {

/// Creates the module, which registers kernel::service_names::StoppedMoves.
kernel::Module makeMoveOwnerModule();

} // namespace lycheethread::moveowner

#endif // LYCHEETHREAD_MOVEOWNER_MOVEOWNER_H
