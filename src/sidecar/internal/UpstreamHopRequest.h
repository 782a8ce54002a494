#ifndef LYCHEETHREAD_SIDECAR_INTERNAL_UPSTREAMHOPREQUEST_H
#define LYCHEETHREAD_SIDECAR_INTERNAL_UPSTREAMHOPREQUEST_H

#include "sidecar/internal/UpstreamHop.h"

namespace lycheethread::sidecar {

/// A request that the last hop has accepted: it waits or runs.
struct UpstreamHop::Running {
  mesh::JobId Id;
  HopJob Job;
  bool Receiving = false;
  /// Bytes counted in UploadBacklog_.
  std::int64_t PendingBytes = 0;
  bool HasSlot = false;
  mesh::SlotUse Slot;
  /// How long the upstream is expected to take; counted in ExpectedWork_.
  Milliseconds Expected{0};
  /// The request has been written to a connection.
  bool Sent = false;
  /// The caller has left or has its answer; only the slot is still held.
  bool CallerDone = false;
  bool Ended = false;
  SteadyTime SentAt;
  /// The upstream process to which it was sent.
  mesh::Upstream Target;
  ClientConnectionPtr Connection;
  reactor::TimerId Timer;
};

} // namespace lycheethread::sidecar

#endif // LYCHEETHREAD_SIDECAR_INTERNAL_UPSTREAMHOPREQUEST_H
