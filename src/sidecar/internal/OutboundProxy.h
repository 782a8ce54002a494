#ifndef LYCHEETHREAD_SIDECAR_INTERNAL_OUTBOUNDPROXY_H
#define LYCHEETHREAD_SIDECAR_INTERNAL_OUTBOUNDPROXY_H

#include "sidecar/internal/Allotments.h"
#include "sidecar/internal/EntryOutcome.h"
#include "sidecar/internal/Hedger.h"
#include "sidecar/internal/HttpServer.h"
#include "sidecar/internal/RemoteHop.h"
#include "sidecar/internal/Rollouts.h"
#include "sidecar/internal/UpstreamDirectory.h"
#include "sidecar/internal/UpstreamHop.h"

namespace lycheethread::sidecar {

/// Serves the requests that originate on this instance: finds the route,
/// chooses an upstream, retries where that is allowed, and answers the caller.
class OutboundProxy {
public:
  OutboundProxy(NodeContext &Context, UpstreamHop &Local, RemoteHop &Remote,
                UpstreamDirectory &Directory, Rollouts &ActiveRollouts,
                Allotments &Permits);
  ~OutboundProxy();

  void handle(const ServerRequestPtr &Request);

  /// Called when the first configuration is in force.
  void onServing();

  /// Returns the counters of hedged requests in the Prometheus text format.
  std::string exposition() const { return Hedger_.exposition(); }

  std::size_t inProgress() const { return InProgress_; }

private:
  struct Offer;
  struct Call;
  using CallPtr = std::shared_ptr<Call>;

  void begin(const CallPtr &Item);
  void holdUntilServing(const CallPtr &Item);
  bool findRoute(const CallPtr &Item);
  bool identifyCaller(const CallPtr &Item);
  void readDeadline(const CallPtr &Item);
  bool isNestedCall(const CallPtr &Item) const;
  void setObjective(const CallPtr &Item, Milliseconds Stated,
                    Milliseconds Left);
  void acquirePermit(const CallPtr &Item);
  void onPermit(const CallPtr &Item, const PermitResult &Result);
  void releasePermit(const CallPtr &Item);
  void recordAbandonedCall(const CallPtr &Item);
  void waitForBody(const CallPtr &Item);
  bool waitUntilFirst(const CallPtr &Item);
  void prepare(const CallPtr &Item);
  void dispatch(const CallPtr &Item);
  static bool crossesLink(const CallPtr &Item, const mesh::Candidate &To);
  std::optional<mesh::Candidate> choose(const CallPtr &Item);
  void send(const CallPtr &Item, const mesh::Candidate &To);
  void scheduleHedge(const CallPtr &Item);
  void hedge(const CallPtr &Item);
  void onOutcome(const CallPtr &Item, std::int32_t Attempt, HopOutcome Outcome);
  void recordRefusal(const CallPtr &Item, const Offer &By,
                     const HopOutcome &Outcome);
  void recordWin(const CallPtr &Item, const Offer &Winner);
  void keepFailure(const CallPtr &Item, const Offer &From, HopOutcome Outcome);
  bool mayRetry(const CallPtr &Item, const HopOutcome &Outcome);
  void deliver(const CallPtr &Item, const Offer &From, HopOutcome Outcome);
  void endUnanswered(const CallPtr &Item, RefusalReason Reason,
                     Milliseconds RetryDelay);
  void answerRefusal(const CallPtr &Item, int Status, RefusalReason Reason,
                     Milliseconds RetryDelay);
  void cancel(const Offer &Running);
  void cancelAttempts(const CallPtr &Item);
  /// \p Reason is that of a request without an answer of an upstream.
  void end(const CallPtr &Item, int Status, const char *Result,
           std::optional<RefusalReason> Reason = std::nullopt);
  void recordSample(const CallPtr &Item, const EntryEnd &End,
                    Milliseconds Took);

  NodeContext &Context_;
  UpstreamHop &LocalHop_;
  RemoteHop &RemoteHop_;
  UpstreamDirectory &Directory_;
  Rollouts &Rollouts_;
  Allotments &Permits_;
  Hedger Hedger_;
  std::unordered_map<RouteName, mesh::SplitState> Splits_;
  std::map<ServiceName, mesh::MeshRetryBudget> Budgets_;
  std::unordered_map<RouteName, Milliseconds> MaxStatedDeadline_;
  /// Rate limit for long bodies to other regions.
  mesh::LinkBudget RegionLink_;
  std::vector<CallPtr> HeldRequests_;
  std::size_t InProgress_ = 0;
  /// Kept between requests, so that its strings are not allocated for each.
  metrics::RequestSample Sample_;
};

} // namespace lycheethread::sidecar

#endif // LYCHEETHREAD_SIDECAR_INTERNAL_OUTBOUNDPROXY_H
