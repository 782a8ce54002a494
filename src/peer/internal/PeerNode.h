#ifndef LYCHEETHREAD_PEER_INTERNAL_PEERNODE_H
#define LYCHEETHREAD_PEER_INTERNAL_PEERNODE_H

#include "kernel/Kernel.h"
#include "peer/internal/PeerOptions.h"
#include "peer/types/PeerControl.h"

#include <memory>

namespace lycheethread::peer {

/// Runs the control protocol of one node.
class PeerNode {
public:
  explicit PeerNode(PeerOptions Options);
  ~PeerNode();

  void registerServices(kernel::ServiceRegistry &Registry);
  /// Throws if the control port cannot be opened.
  void init(kernel::ServiceRegistry &Registry);
  void deinit();

private:
  struct Impl;
  std::unique_ptr<Impl> Impl_;
};

} // namespace lycheethread::peer

#endif // LYCHEETHREAD_PEER_INTERNAL_PEERNODE_H
