#ifndef LYCHEETHREAD_TESTS_CONVERGENCE_PROCESSES_H
#define LYCHEETHREAD_TESTS_CONVERGENCE_PROCESSES_H

#include <cstddef>

namespace lycheethread::convergence {

/// Measures \p Nodes node processes with the log stand-in at one change per
/// second; reads traffic from /metrics, processor time and memory from /proc.
void runProcesses(std::size_t Nodes, std::size_t Zones, int Changes,
                  std::size_t ChangeBytes, int SettleSeconds, int IdleSeconds);

} // namespace lycheethread::convergence

#endif // LYCHEETHREAD_TESTS_CONVERGENCE_PROCESSES_H
