#ifndef LYCHEETHREAD_SIDECAR_INTERNAL_OUTBOUNDCALL_H
#define LYCHEETHREAD_SIDECAR_INTERNAL_OUTBOUNDCALL_H

#include "sidecar/internal/OutboundProxy.h"

namespace lycheethread::sidecar {

/// One attempt of the entry at an upstream.
struct OutboundProxy::Offer {
  /// From 1; counts the attempts of the request.
  std::int32_t Number = 0;
  bool IsLocal = false;
  bool IsOwnRegion = false;
  NodeId Node;
  AvailabilityZone Zone;
  /// The upstream beside Node to which the request was sent.
  mesh::UpstreamId Instance;
  mesh::JobId Job;
  SteadyTime SentAt;
};

/// A request of a caller.
struct OutboundProxy::Call {
  ServerRequestPtr Request;
  RequestId Id;
  const mesh::MeshRoute *Route = nullptr;
  /// Keeps Route valid when a newer configuration replaces this one.
  mesh::MeshConfigPtr Config;
  /// Null for a request without a key. Part of Config.
  const organisations::Organisation *Holder = nullptr;
  /// Set while the request holds a permit of its organisation's quota.
  std::optional<SteadyTime> PermitExpiresAt;
  organisations::ServingRegions Allowed;
  HopInfo Info;
  SteadyTime ArrivedAt;
  /// Time since the caller's first attempt of the same request.
  Milliseconds TimeSinceFirstAttempt{0};
  /// The whole body, if it was small enough to be buffered.
  std::optional<std::string> BufferedBody;
  std::set<NodeId> Excluded;
  /// Attempts that are in flight: a hedged request has two. After the end of
  /// the request, the one whose answer is still being forwarded.
  std::vector<Offer> InFlight;
  /// Number of the last attempt.
  std::int32_t Attempt = 0;
  /// Number of the hedged attempt; 0 without one.
  std::int32_t HedgedAttempt = 0;
  bool HedgeWon = false;
  std::int32_t Refusals = 0;
  /// Refusals since calls of the upstream could not be served.
  std::int32_t CalleeRefusals = 0;
  /// The upstream beside this node calls for a request that it runs.
  bool IsNestedCall = false;
  /// An upstream of the own region was too full for the request.
  bool OwnRegionIsFull = false;
  /// The shortest delay that a refusal has stated; empty without one.
  std::optional<Milliseconds> RetryDelay;
  /// Why the last upstream that stated a delay was too full.
  RefusalReason FullReason = RefusalReason::QueueFull;
  /// Upstreams on which the request may have run.
  std::int32_t Runs = 0;
  /// An error answer of an upstream, which is delivered if a retry brings no
  /// better result.
  std::optional<HopOutcome> Failure;
  bool Ended = false;
  reactor::TimerId Timer;
  reactor::TimerId HedgeTimer;
  std::string Trace;
};

} // namespace lycheethread::sidecar

#endif // LYCHEETHREAD_SIDECAR_INTERNAL_OUTBOUNDCALL_H
