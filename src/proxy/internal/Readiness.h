#ifndef LYCHEETHREAD_PROXY_INTERNAL_READINESS_H
#define LYCHEETHREAD_PROXY_INTERNAL_READINESS_H

#include "peer/types/PeerControl.h"

#include <memory>

namespace lycheethread::proxy {

/// Checks periodically whether the local upstream accepts connections, and
/// announces the result.
class Readiness {
public:
  Readiness(std::shared_ptr<peer::PeerControl> Peers, Endpoint Upstream);
  ~Readiness();

  /// Triggers an immediate check.
  void triggerCheck();
  /// Announces the draining state; no other state is announced afterwards.
  void beginDrain();

private:
  struct Impl;
  std::unique_ptr<Impl> Impl_;
};

} // namespace lycheethread::proxy

#endif // LYCHEETHREAD_PROXY_INTERNAL_READINESS_H
