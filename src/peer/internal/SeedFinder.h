#ifndef LYCHEETHREAD_PEER_INTERNAL_SEEDFINDER_H
#define LYCHEETHREAD_PEER_INTERNAL_SEEDFINDER_H

#include "peer/internal/PeerContext.h"

#include <vector>

namespace lycheethread::peer {

/// Finds nodes through which this node can join: the configured seeds and the
/// newest join records of the log.
class SeedFinder {
public:
  explicit SeedFinder(PeerContext &Context);

  /// Returns members with at least a control endpoint, in random order. From
  /// the second attempt on, or without seeds, the log is read too, so that a
  /// node with working seeds causes no load on it.
  std::vector<Member> find(int Attempt);

private:
  std::vector<Member> fromLog();

  PeerContext &Context_;
};

} // namespace lycheethread::peer

#endif // LYCHEETHREAD_PEER_INTERNAL_SEEDFINDER_H
