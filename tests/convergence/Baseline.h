#ifndef LYCHEETHREAD_TESTS_CONVERGENCE_BASELINE_H
#define LYCHEETHREAD_TESTS_CONVERGENCE_BASELINE_H

#include <cstddef>

namespace lycheethread::convergence {

/// Measures the baseline without distribution between nodes: \p Nodes readers,
/// each of which long-polls the log itself. The traffic is computed from the
/// sizes of the HTTP messages of the log.
void runBaseline(std::size_t Nodes, int Changes, std::size_t ChangeBytes);

} // namespace lycheethread::convergence

#endif // LYCHEETHREAD_TESTS_CONVERGENCE_BASELINE_H
