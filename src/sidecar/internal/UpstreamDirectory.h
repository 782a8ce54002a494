#ifndef LYCHEETHREAD_SIDECAR_INTERNAL_UPSTREAMDIRECTORY_H
#define LYCHEETHREAD_SIDECAR_INTERNAL_UPSTREAMDIRECTORY_H

#include "sidecar/internal/HopJob.h"
#include "sidecar/internal/NodeContext.h"
#include "sidecar/internal/UpstreamStatement.h"

#include <set>

namespace lycheethread::sidecar {

/// This node's view of all upstreams: their reports and the outcomes of the
/// requests sent to them.
class UpstreamDirectory {
public:
  UpstreamDirectory(NodeContext &Context,
                    std::function<mesh::LoadReport()> OwnLoad);

  /// Returns the upstreams of \p Service in the regions \p Allowed that may get
  /// a request now, except those on the nodes of \p Excluded.
  std::vector<mesh::Candidate>
  candidates(const ServiceName &Service, const std::set<NodeId> &Excluded,
             const organisations::ServingRegions &Allowed);

  Endpoint hopOf(const NodeId &Node) const;

  void onSent(const NodeId &Node);
  void onCancelled(const NodeId &Node);
  void onOutcome(const NodeId &Node, const HopOutcome &Outcome);
  /// Takes what the upstream \p By beside \p Node says of itself in an answer
  /// that this node passes on.
  void onStatement(const NodeId &Node, const mesh::UpstreamId &By,
                   const UpstreamStatement &Stated);

  /// Returns the limit that the upstream beside \p Node has stated in an answer
  /// which this node has passed on.
  std::optional<StatedLimit> knownLimit(const NodeId &Node) const;

private:
  struct UpstreamStats {
    std::int32_t Outstanding = 0;
    /// Time of its last answer, or of the first request sent since.
    SteadyTime WaitingSince;
    /// Load as last reported by the last hop, and the requests sent to it
    /// since.
    std::optional<mesh::LoadReport> Load;
    SteadyTime LoadAt;
    std::int32_t SentSince = 0;
    requests::LimitShare Share;
    std::optional<StatedLimit> Stated;
    double FailureRate = 0;
    SteadyTime FailureAt;
    std::int32_t ConnectFailures = 0;
    SteadyTime AvoidUntil;
    /// When a connection failed last; cleared by an answer.
    SteadyTime ConnectFailedAt;
  };

  bool isUsable(const mesh::NodeReport &Report,
                const ServiceName &Service) const;
  mesh::Candidate describe(const mesh::NodeReport &Report, SteadyTime HeardAt,
                           SteadyTime ReportedAt);
  bool mayUseNow(const AvailabilityZone &Zone, double Draw) const;
  void describeLimit(UpstreamStats &Item, const mesh::LoadReport &Load,
                     SteadyTime LoadAt, std::int32_t SentSince,
                     mesh::Candidate &Into);
  void updateShare(UpstreamStats &Item, const HopOutcome &Outcome);
  /// Entries among which the limit of an upstream is shared.
  std::size_t entries() const;
  double decayedFailureRate(UpstreamStats &Item) const;
  bool seemsDown(const UpstreamStats &Item, SteadyTime HeardAt) const;
  bool seemsUnresponsive(const UpstreamStats &Item, SteadyTime HeardAt) const;

  NodeContext &Context_;
  std::function<mesh::LoadReport()> OwnLoad_;
  std::map<NodeId, UpstreamStats> Stats_;
};

} // namespace lycheethread::sidecar

#endif // LYCHEETHREAD_SIDECAR_INTERNAL_UPSTREAMDIRECTORY_H
