#ifndef LYCHEETHREAD_STREAMLOG_PLATFORM_H
#define LYCHEETHREAD_STREAMLOG_PLATFORM_H

/// Public header of the streamlog library: access to the append-only log.

#include "kernel/Kernel.h"
#include "streamlog/types/LogClient.h"

namespace lycheethread::streamlog {

/// Client of the log at \p BaseUrl ("http://ip:port"), see docs/design.md.
/// Every call ends within \p Timeout plus the wait of a read.
LogClient makeHttpLog(const std::string &BaseUrl, Milliseconds Timeout);

/// Registers Log of kernel::service_names.
kernel::Module makeStreamLogModule();

} // namespace lycheethread::streamlog

#endif // LYCHEETHREAD_STREAMLOG_PLATFORM_H
