#ifndef LYCHEETHREAD_TESTS_CONVERGENCE_PHASE_H
#define LYCHEETHREAD_TESTS_CONVERGENCE_PHASE_H

#include "peer/tests/PeerCluster.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace lycheethread::convergence {

using KindAndDirection = std::pair<metrics::TrafficKind, metrics::Direction>;

/// Resource usage of all nodes since the start, read at the time At.
struct Usage {
  std::map<KindAndDirection, std::int64_t> Bytes;
  std::int64_t CrossRegionSent = 0;
  std::chrono::microseconds ProcessorTime{0};
  std::chrono::steady_clock::time_point At;
};

Usage readUsage(const peer::PeerCluster &Cluster);

/// Prints the usage of \p Nodes nodes between two readings, per node and
/// second.
void printUsage(const std::string &Title, const Usage &From, const Usage &To,
                std::size_t Nodes);

/// Prints the median and the maximum of convergence times in milliseconds.
void printTimes(const std::string &Title, std::vector<double> Times);

/// Returns the processor time of this process since its start.
std::chrono::microseconds processorTime();
/// Returns the resident memory of this process in bytes.
std::int64_t residentBytes();

} // namespace lycheethread::convergence

#endif // LYCHEETHREAD_TESTS_CONVERGENCE_PHASE_H
