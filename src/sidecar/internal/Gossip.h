#ifndef LYCHEETHREAD_SIDECAR_INTERNAL_GOSSIP_H
#define LYCHEETHREAD_SIDECAR_INTERNAL_GOSSIP_H

#include "sidecar/internal/NodeContext.h"

#include <set>

namespace lycheethread::sidecar {

/// Exchanges node reports with the other nodes over UDP.
class Gossip {
public:
  /// \p FillOwnReport fills in the report of this node, \p OnReports is called
  /// after newer reports of other nodes have arrived.
  Gossip(NodeContext &Context,
         std::function<void(mesh::NodeReport &)> FillOwnReport,
         std::function<void()> OnReports);
  ~Gossip();

  /// Adds endpoints at which other nodes may be found.
  void addSeedEndpoints(const std::vector<Endpoint> &Found);

  /// Sends this node's report to many nodes at once, for urgent changes.
  void sendToAll();
  void sendToRegion();

private:
  struct SeedNode {
    SteadyTime NextTry;
    Milliseconds Backoff{0};
  };

  void tick();
  void
  sendOwnReport(const std::function<bool(const mesh::NodeReport &)> &IsTarget);
  void onDatagram(std::string_view Data);
  mesh::NodeReport ownReport();
  std::string ownDatagram();
  std::string gossipDatagram();
  void contactSeeds();

  NodeContext &Context_;
  std::function<void(mesh::NodeReport &)> FillOwnReport_;
  std::function<void()> OnReports_;
  std::unique_ptr<reactor::UdpSocket> Socket_;
  std::map<Endpoint, SeedNode> Seeds_;
  Incarnation Incarnation_;
  Sequence Number_;
  /// How many times the newest report of each node has been forwarded.
  std::map<NodeId, std::pair<Sequence, int>> ForwardCounts_;
  reactor::TimerId Timer_;
};

} // namespace lycheethread::sidecar

#endif // LYCHEETHREAD_SIDECAR_INTERNAL_GOSSIP_H
