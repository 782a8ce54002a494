#ifndef LYCHEETHREAD_STREAMLOG_PLATFORM_H
#define LYCHEETHREAD_STREAMLOG_PLATFORM_H

/// Public header of the streamlog library: client of the append-only log.

#include "kernel/Kernel.h"
#include "streamlog/types/LogClient.h"

namespace lycheethread::streamlog {

/// Returns a client of the log at \p BaseUrl ("http://ip:port"), see
/// docs/design.md. Every call ends within \p Timeout plus the wait time of a
/// read.
LogClient makeHttpLog(const std::string &BaseUrl, Milliseconds Timeout);

/// Registers the service Log of kernel::service_names.
kernel::Module makeStreamLogModule();

} // namespace lycheethread::streamlog

#endif // LYCHEETHREAD_STREAMLOG_PLATFORM_H
