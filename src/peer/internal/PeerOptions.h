#ifndef LYCHEETHREAD_PEER_INTERNAL_PEEROPTIONS_H
#define LYCHEETHREAD_PEER_INTERNAL_PEEROPTIONS_H

#include "kernel/Kernel.h"
#include "peer/internal/ControlFold.h"

#include <functional>

namespace lycheethread::peer {

/// Parts of the peer module that a test may replace.
struct PeerOptions {
  ControlFold Operations;
  /// Returns whether a datagram or call may be sent to \p To. Unset allows all.
  /// Tests use it to inject network faults.
  std::function<bool(const Endpoint &To)> Allow;
  /// Seed of the random numbers; 0 takes it from the random device.
  std::uint64_t Seed = 0;
};

kernel::Module makePeerModule(PeerOptions Options);

} // namespace lycheethread::peer

#endif // LYCHEETHREAD_PEER_INTERNAL_PEEROPTIONS_H
