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

using KindAndWay = std::pair<metrics::TrafficKind, metrics::Direction>;

/// Sums over all nodes at one moment.
struct Usage {
  std::map<KindAndWay, std::int64_t> Bytes;
  std::int64_t CrossRegionSent = 0;
  std::chrono::microseconds Processor{0};
  std::chrono::steady_clock::time_point At;
};

Usage takeUsage(const peer::PeerCluster &Cluster);

/// Prints what \p Nodes nodes used between two moments, for each node and
/// second.
void printUsage(const std::string &Title, const Usage &From, const Usage &To,
                std::size_t Nodes);

/// Prints median and worst of convergence times in milliseconds.
void printTimes(const std::string &Title, std::vector<double> Times);

/// Processor time of this process so far.
std::chrono::microseconds processorTime();
/// Resident memory of this process in bytes.
std::int64_t residentBytes();

} // namespace lycheethread::convergence

#endif // LYCHEETHREAD_TESTS_CONVERGENCE_PHASE_H
