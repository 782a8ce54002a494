#ifndef LYCHEETHREAD_PROXY_INTERNAL_OUTCOMESUMS_H
#define LYCHEETHREAD_PROXY_INTERNAL_OUTCOMESUMS_H

#include "proxy/types/OutcomeAccumulator.h"

#include <memory>

namespace lycheethread::proxy {

/// Returns an accumulator that keeps its sums in memory.
std::shared_ptr<OutcomeAccumulator> makeOutcomeAccumulator();

} // namespace lycheethread::proxy

#endif // LYCHEETHREAD_PROXY_INTERNAL_OUTCOMESUMS_H
