#ifndef LYCHEETHREAD_SIDECAR_INTERNAL_GOSSIP_H
#define LYCHEETHREAD_SIDECAR_INTERNAL_GOSSIP_H

#include "sidecar/internal/GossipCodec.h"
#include "sidecar/internal/NodeContext.h"

#include <unordered_map>

namespace lycheethread::sidecar {

/// Exchanges node reports with the other nodes over UDP.
class Gossip {
public:
  /// \p FillOwnReport fills in the report of this node, \p OnReports is called
  /// after newer reports of other nodes have arrived, \p OnOwnPast when another
  /// node remembers an upstream process that left an earlier incarnation of
  /// this node.
  Gossip(NodeContext &Context,
         std::function<void(mesh::NodeReport &)> FillOwnReport,
         std::function<void()> OnReports,
         std::function<void(const mesh::Upstream &)> OnOwnPast);
  ~Gossip();

  /// \p Handle is called with the datagrams that carry asks or grants.
  void onQuota(std::function<void(const GossipMessage &)> Handle) {
    OnQuota_ = std::move(Handle);
  }
  /// \p Handle is called with the evidence of other nodes and the time by which
  /// it was sent.
  void onEvidence(
      std::function<void(const mesh::EvidenceReport &, SteadyTime)> Handle) {
    OnEvidence_ = std::move(Handle);
  }
  /// Sends the outcomes at the upstream beside this node to \p Targets.
  void sendEvidence(Offset Order, const mesh::EvidenceByRoute &Own,
                    const std::vector<NodeId> &Targets);
  void send(const Endpoint &To, const GossipMessage &Message);

  /// Adds places at which other nodes may be found.
  void addSeeds(const std::vector<mesh::ListedNode> &Found);

  /// Sends this node's report to many nodes at once, for urgent changes.
  void sendToAll();
  void sendToRegion();

private:
  void tick();
  void
  sendOwnReport(const std::function<bool(const mesh::NodeReport &)> &IsTarget);
  void relay();
  void sendRound(const std::vector<Endpoint> &To, mesh::BeatScope Scope);
  void onDatagram(std::string_view Data);
  void addTimeInSocket(mesh::NodeReport &Report) const;
  bool onReport(const mesh::NodeReport &Item);
  void greet(const mesh::NodeReport &Sender);
  void ask(const mesh::NodeReport &Sender,
           const std::vector<mesh::LoadBeat> &Missing);
  void answer(const Endpoint &To, const std::vector<mesh::NodeKey> &Wanted);
  void sendDatagram(const Endpoint &To, const std::string &Data);
  mesh::NodeReport ownReport();
  void shorten(mesh::NodeReport &Report);
  void countState(mesh::NodeReport &Report);
  std::string ownDatagram();
  void contactSeeds();

  NodeContext &Context_;
  std::function<void(mesh::NodeReport &)> FillOwnReport_;
  std::function<void()> OnReports_;
  std::function<void(const mesh::Upstream &)> OnOwnPast_;
  std::function<void(const GossipMessage &)> OnQuota_;
  std::function<void(const mesh::EvidenceReport &, SteadyTime)> OnEvidence_;
  std::unique_ptr<reactor::UdpSocket> Socket_;
  mesh::SeedNodes Seeds_;
  SteadyTime SeedsCheckedAt_;
  Incarnation Incarnation_;
  Sequence Number_;
  Sequence State_;
  /// The own report without its load, encoded, as of State_.
  std::string StateText_;
  mesh::EvidenceCursor EvidenceSent_;
  bool IsShortened_ = false;
  /// When the report of a node was asked for last.
  std::unordered_map<std::int64_t, SteadyTime> AskedAt_;
  reactor::TimerId Timer_;
  reactor::TimerId RelayTimer_;
};

} // namespace lycheethread::sidecar

#endif // LYCHEETHREAD_SIDECAR_INTERNAL_GOSSIP_H
