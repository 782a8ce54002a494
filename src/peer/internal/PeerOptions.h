#ifndef LYCHEETHREAD_PEER_INTERNAL_PEEROPTIONS_H
#define LYCHEETHREAD_PEER_INTERNAL_PEEROPTIONS_H

#include "kernel/Kernel.h"
#include "peer/internal/ControlFold.h"

#include <functional>

namespace lycheethread::peer {

/// What a test may replace in the peer module.
struct PeerOptions {
  ControlFold Fold;
  /// Whether a datagram or a call to \p To may leave; unset allows all. Faults
  /// of the network are injected here.
  std::function<bool(const Endpoint &To)> Allow;
  /// 0 takes the seed from the random device.
  std::uint64_t Seed = 0;
};

kernel::Module makePeerModule(PeerOptions Options);

} // namespace lycheethread::peer

#endif // LYCHEETHREAD_PEER_INTERNAL_PEEROPTIONS_H
