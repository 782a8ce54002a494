#ifndef LYCHEETHREAD_TESTS_GOSSIP_GOSSIPSIMULATION_H
#define LYCHEETHREAD_TESTS_GOSSIP_GOSSIPSIMULATION_H

#include "mesh/Mesh.h"

#include <cstdint>
#include <string>

namespace lycheethread::gossiptest {

/// How the simulated nodes pass loads on.
enum class Design {
  /// Whole reports of a random choice of nodes, as before decision 0015.
  WholeReports,
  /// States and loads apart.
  StatesAndLoads
};

struct SimulationPlan {
  Design Used = Design::StatesAndLoads;
  int Nodes = 100;
  int Zones = 8;
  int Seconds = 20;
  /// Share of the datagrams that are lost.
  double Loss = 0.05;
  std::uint64_t Seed = 1;
};

struct SimulationResult {
  /// Age of the load of another node: of the own zone and of all nodes.
  double ZoneAgeMs = 0;
  double AgeMs = 0;
  double AgeMs99 = 0;
  /// Share of the living nodes that count as gone.
  double GoneShare = 0;
  /// Share of the nodes that are not known at all.
  double UnknownShare = 0;
  double BytesPerNodeSecond = 0;
  double ZoneLinkBytesPerSecond = 0;
  double RegionLinkBytesPerSecond = 0;
  /// Time until a changed state had reached all nodes; -1 if it did not.
  double SpreadMs = -1;
  double TickMicroseconds = 0;
};

/// Runs the gossip decisions of all nodes on a simulated network with two
/// regions. The loads change all the time; after half of the time one node
/// changes its state.
SimulationResult simulate(const SimulationPlan &Plan);

/// Column names and values as tab-separated text.
std::string resultHeader();
std::string toRow(const SimulationPlan &Plan, const SimulationResult &Result);

} // namespace lycheethread::gossiptest

#endif // LYCHEETHREAD_TESTS_GOSSIP_GOSSIPSIMULATION_H
