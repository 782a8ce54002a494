#ifndef LYCHEETHREAD_PLATFORM_PLATFORM_H
#define LYCHEETHREAD_PLATFORM_PLATFORM_H

/// Public header of the platform library: access to the append-only log.

#include "kernel/Kernel.h"
#include "platform/types/LogClient.h"

namespace lycheethread::platform {

/// Client of the log at \p BaseUrl ("http://ip:port"), see docs/design.md.
/// Every call ends within \p Timeout plus the wait of a read.
LogClient makeHttpLog(const std::string &BaseUrl, Milliseconds Timeout);

/// Registers Log of kernel::service_names.
kernel::Module makePlatformModule();

} // namespace lycheethread::platform

#endif // LYCHEETHREAD_PLATFORM_PLATFORM_H
