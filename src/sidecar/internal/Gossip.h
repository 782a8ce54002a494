#ifndef LYCHEETHREAD_SIDECAR_INTERNAL_GOSSIP_H
#define LYCHEETHREAD_SIDECAR_INTERNAL_GOSSIP_H

#include "sidecar/internal/NodeContext.h"

#include <set>

namespace lycheethread::sidecar {

/// Exchanges news with the other nodes by datagrams.
class Gossip {
public:
  /// \p Describe fills in this node's own news, \p OnReports is called after
  /// news of other nodes have arrived.
  Gossip(NodeContext &Context, std::function<void(mesh::NodeReport &)> Describe,
         std::function<void()> OnReports);
  ~Gossip();

  /// Endpoints at which other nodes may be found.
  void addSeedEndpoints(const std::vector<Endpoint> &Found);

  /// Tells many nodes at once, for news that matter now.
  void sendToAll();
  void sendToRegion();

private:
  struct Contact {
    SteadyTime NextTry;
    Milliseconds Pause{0};
  };

  void tick();
  void tell(const std::function<bool(const mesh::NodeReport &)> &IsMeant);
  void onDatagram(std::string_view Data);
  mesh::NodeReport ownReport();
  std::string ownDatagram();
  std::string datagram();
  void tryContacts();

  NodeContext &Context_;
  std::function<void(mesh::NodeReport &)> Describe_;
  std::function<void()> OnNews_;
  std::unique_ptr<reactor::UdpSocket> Socket_;
  std::map<Endpoint, Contact> Contacts_;
  Incarnation Life_;
  Sequence Number_;
  /// How often the newest news of a node have been passed on.
  std::map<NodeId, std::pair<Sequence, int>> ForwardCounts_;
  reactor::TimerId Timer_;
};

} // namespace lycheethread::sidecar

#endif // LYCHEETHREAD_SIDECAR_INTERNAL_GOSSIP_H
