#ifndef LYCHEETHREAD_MOVEOWNER_MOVEOWNER_H
#define LYCHEETHREAD_MOVEOWNER_MOVEOWNER_H

/// Public header of the moveowner library: drives version moves of the node's
/// own service and applies local stops.

#include "kernel/Kernel.h"

namespace lycheethread::moveowner {

/// Registers Brakes of kernel::service_names.
kernel::Module makeMoveOwnerModule();

} // namespace lycheethread::moveowner

#endif // LYCHEETHREAD_MOVEOWNER_MOVEOWNER_H
