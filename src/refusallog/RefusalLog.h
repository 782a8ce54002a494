#ifndef LYCHEETHREAD_REFUSALLOG_REFUSALLOG_H
#define LYCHEETHREAD_REFUSALLOG_REFUSALLOG_H

/// Public header of the refusallog library: ships refusals to the log.

#include "kernel/Kernel.h"

namespace lycheethread::refusallog {

/// Registers Refusals of kernel::service_names.
kernel::Module makeRefusalLogModule();

} // namespace lycheethread::refusallog

#endif // LYCHEETHREAD_REFUSALLOG_REFUSALLOG_H
