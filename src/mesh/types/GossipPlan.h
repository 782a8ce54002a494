#ifndef LYCHEETHREAD_MESH_TYPES_GOSSIPPLAN_H
#define LYCHEETHREAD_MESH_TYPES_GOSSIPPLAN_H

#include "mesh/types/NodeReport.h"

#include <functional>

namespace lycheethread::mesh {

/// Which loads a datagram carries: those that its receiver is short of.
enum class BeatScope {
  /// Of all nodes, half of them of the sender's zone; to a node of that zone.
  All,
  /// Of the sender's zone, which it knows best; to another zone or region.
  Zone
};

struct GossipPlan {
  Location At;
  BeatScope Scope = BeatScope::All;
  /// Room in the datagram.
  std::size_t Bytes = 0;
  /// Bytes of an encoded load and of an encoded report.
  std::size_t BeatBytes = 0;
  std::function<std::size_t(const NodeReport &)> ReportBytes;
};

/// The reports and loads of other nodes in one datagram.
struct GossipContent {
  std::vector<NodeReport> Reports;
  std::vector<LoadBeat> Beats;
};

/// Gossip endpoints to which one round sends, by link.
struct GossipTargets {
  std::vector<Endpoint> InZone;
  std::vector<Endpoint> InRegion;
  std::vector<Endpoint> OtherRegions;
};

} // namespace lycheethread::mesh

#endif // LYCHEETHREAD_MESH_TYPES_GOSSIPPLAN_H
