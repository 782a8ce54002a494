#ifndef LYCHEETHREAD_PROXY_INTERNAL_READINESS_H
#define LYCHEETHREAD_PROXY_INTERNAL_READINESS_H

#include "peer/types/PeerControl.h"

#include <memory>

namespace lycheethread::proxy {

/// Announces whether the upstream beside this node accepts connections.
class Readiness {
public:
  Readiness(std::shared_ptr<peer::PeerControl> Peers, Endpoint Upstream);
  ~Readiness();

  /// Checks again at once.
  void recheck();
  /// Announces draining and nothing after it.
  void beginDrain();

private:
  struct Impl;
  std::unique_ptr<Impl> Impl_;
};

} // namespace lycheethread::proxy

#endif // LYCHEETHREAD_PROXY_INTERNAL_READINESS_H
