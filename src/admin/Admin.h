#ifndef LYCHEETHREAD_ADMIN_ADMIN_H
#define LYCHEETHREAD_ADMIN_ADMIN_H

/// Public header of the admin library: the HTTP endpoint for operators.

#include "kernel/Kernel.h"

namespace lycheethread::admin {

/// Serves GET /metrics, GET /status and POST /drain on NodeSettings.Admin.
/// Needs Settings during init and shows what the other registered services
/// tell; it has to be added after them. A drain request sends SIGTERM to the
/// own process, so that both ways to end a node are the same.
kernel::Module makeAdminModule();

} // namespace lycheethread::admin

#endif // LYCHEETHREAD_ADMIN_ADMIN_H
