#ifndef LYCHEETHREAD_METRICS_TESTS_ALLOCATIONCOUNT_H
#define LYCHEETHREAD_METRICS_TESTS_ALLOCATIONCOUNT_H

#include <cstddef>

namespace lycheethread::metrics {

/// Returns the number of allocations of the calling thread since its start.
std::size_t allocationCount();

} // namespace lycheethread::metrics

#endif // LYCHEETHREAD_METRICS_TESTS_ALLOCATIONCOUNT_H
