#ifndef LYCHEETHREAD_ADMIN_ADMIN_H
#define LYCHEETHREAD_ADMIN_ADMIN_H

/// Public header of the admin library: the HTTP endpoint for operators.

#include "kernel/Kernel.h"

namespace lycheethread::admin {

/// Serves GET /metrics, GET /status and POST /drain on NodeSettings.Admin.
/// Needs the service Settings during Init and reports the state of the other
/// registered services, so it must be added after them. A drain request sends
/// SIGTERM to this process, so that both ways to stop a node behave the same.
kernel::Module makeAdminModule();

} // namespace lycheethread::admin

#endif // LYCHEETHREAD_ADMIN_ADMIN_H
