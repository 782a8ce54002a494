#ifndef LYCHEETHREAD_PROXY_INTERNAL_READINESS_H
#define LYCHEETHREAD_PROXY_INTERNAL_READINESS_H

#include "peer/types/PeerControl.h"

#include <functional>
#include <memory>

namespace lycheethread::proxy {

/// Checks periodically whether the local upstream accepts connections, and
/// announces the result.
class Readiness {
public:
  /// \p OnEnded is called when a process that was leaving accepts no connection
  /// any more.
  Readiness(std::shared_ptr<peer::PeerControl> Peers, Endpoint Upstream,
            std::function<void()> OnEnded);
  ~Readiness();

  /// Triggers an immediate check.
  void triggerCheck();
  /// Announces the draining state until the process of the upstream has ended.
  void beginLeaving();
  /// Announces the draining state; no other state is announced afterwards.
  void beginDrain();

private:
  struct Impl;
  std::unique_ptr<Impl> Impl_;
};

} // namespace lycheethread::proxy

#endif // LYCHEETHREAD_PROXY_INTERNAL_READINESS_H
