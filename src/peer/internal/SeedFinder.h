#ifndef LYCHEETHREAD_PEER_INTERNAL_SEEDFINDER_H
#define LYCHEETHREAD_PEER_INTERNAL_SEEDFINDER_H

#include "peer/internal/PeerContext.h"

#include <vector>

namespace lycheethread::peer {

/// Nodes to join through: the seeds of the settings first, then the newest
/// join records of the log.
class SeedFinder {
public:
  explicit SeedFinder(PeerContext &Context);

  /// Members with at least a control endpoint, in the order to ask them.
  /// From the second attempt on the log is read too, so that a node with
  /// working seeds leaves the log alone.
  std::vector<Member> find(int Attempt);

private:
  std::vector<Member> fromLog();

  PeerContext &Context_;
};

} // namespace lycheethread::peer

#endif // LYCHEETHREAD_PEER_INTERNAL_SEEDFINDER_H
