#ifndef LYCHEETHREAD_SIDECAR_INTERNAL_UPSTREAMDIRECTORY_H
#define LYCHEETHREAD_SIDECAR_INTERNAL_UPSTREAMDIRECTORY_H

#include "sidecar/internal/HopJob.h"
#include "sidecar/internal/NodeContext.h"

#include <set>

namespace lycheethread::sidecar {

/// What this node knows of all upstreams: their news, and what its own requests
/// to them have shown since.
class UpstreamDirectory {
public:
  UpstreamDirectory(NodeContext &Context,
                    std::function<mesh::LoadReport()> OwnLoad);

  /// Upstreams of \p Service that may get a request now, without those on the
  /// nodes of \p Excluded.
  std::vector<mesh::Candidate> candidates(const ServiceName &Service,
                                          const std::set<NodeId> &Excluded);

  Endpoint hopOf(const NodeId &Node) const;

  void onSent(const NodeId &Node);
  void onCancelled(const NodeId &Node);
  void onOutcome(const NodeId &Node, const HopOutcome &Outcome);

private:
  struct Seen {
    std::int32_t Outstanding = 0;
    /// When it answered last, or got the first request since then.
    SteadyTime WaitingSince;
    /// Load as the last hop stated it last, and requests sent to it since.
    std::optional<mesh::LoadReport> Load;
    SteadyTime LoadAt;
    std::int32_t SentSince = 0;
    double FailureRate = 0;
    SteadyTime FailureAt;
    std::int32_t ConnectFailures = 0;
    SteadyTime AvoidUntil;
  };

  bool isUsable(const mesh::NodeReport &News, const ServiceName &Service) const;
  mesh::Candidate describe(const mesh::NodeReport &News, SteadyTime HeardAt);
  double decayedFailureRate(Seen &Item) const;
  bool seemsPaused(const Seen &Item, SteadyTime HeardAt) const;

  NodeContext &Context_;
  std::function<mesh::LoadReport()> OwnLoad_;
  std::map<NodeId, Seen> Seen_;
};

} // namespace lycheethread::sidecar

#endif // LYCHEETHREAD_SIDECAR_INTERNAL_UPSTREAMDIRECTORY_H
