#ifndef LYCHEETHREAD_TESTS_CONVERGENCE_BASELINE_H
#define LYCHEETHREAD_TESTS_CONVERGENCE_BASELINE_H

#include <cstddef>

namespace lycheethread::convergence {

/// The naive way: \p Nodes readers, each with a long poll of the log of its
/// own. Bytes are computed from the log's HTTP messages.
void runBaseline(std::size_t Nodes, int Changes, std::size_t ChangeBytes);

} // namespace lycheethread::convergence

#endif // LYCHEETHREAD_TESTS_CONVERGENCE_BASELINE_H
