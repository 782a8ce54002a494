#ifndef LYCHEETHREAD_SIDECAR_INTERNAL_HEDGER_H
#define LYCHEETHREAD_SIDECAR_INTERNAL_HEDGER_H

#include "sidecar/internal/Rollouts.h"
#include "sidecar/internal/UpstreamDirectory.h"

namespace lycheethread::sidecar {

/// What the entry knows for its hedged requests, and the decisions on them. It
/// does nothing while hedging is off.
class Hedger {
public:
  Hedger(NodeContext &Context, UpstreamDirectory &Directory,
         Rollouts &ActiveRollouts);

  /// To be called once for each request of a caller.
  void onRequest();

  /// An upstream has taken \p Took for a request, or has not answered it
  /// within that time.
  void onLatency(const RouteName &Route, Milliseconds Took);

  void onRefusal(const ServiceName &Service);

  /// Returns when a request that is sent now is to be hedged. \p Request needs
  /// no times.
  std::optional<Milliseconds> delay(const HopInfo &Info,
                                    mesh::HedgeRequest Request);

  /// Returns the upstream that gets the hedged request, and takes the tokens
  /// for it; returns nothing if none may be sent. \p Moment needs no refusal.
  std::optional<mesh::Candidate>
  choose(const HopInfo &Info, const organisations::ServingRegions &Allowed,
         mesh::HedgeMoment Moment, mesh::MeshRetryBudget &Budget);

  /// A request that was hedged has ended.
  void onEnd(bool IsWon);

  /// Returns the counters in the Prometheus text format.
  std::string exposition() const;

private:
  bool isOn() const;

  NodeContext &Context_;
  UpstreamDirectory &Directory_;
  Rollouts &Rollouts_;
  mesh::HedgeShare Share_;
  std::unordered_map<RouteName, mesh::LatencyEstimate> Latencies_;
  std::unordered_map<ServiceName, SteadyTime> RefusedAt_;
  std::int64_t Won_ = 0;
  std::int64_t Lost_ = 0;
};

} // namespace lycheethread::sidecar

#endif // LYCHEETHREAD_SIDECAR_INTERNAL_HEDGER_H
