#ifndef LYCHEETHREAD_PROXY_INTERNAL_OUTCOMESUMS_H
#define LYCHEETHREAD_PROXY_INTERNAL_OUTCOMESUMS_H

#include "proxy/types/OutcomeLog.h"

#include <memory>

namespace lycheethread::proxy {

/// An OutcomeLog that sums in memory.
std::shared_ptr<OutcomeLog> makeOutcomeLog();

} // namespace lycheethread::proxy

#endif // LYCHEETHREAD_PROXY_INTERNAL_OUTCOMESUMS_H
