#ifndef LYCHEETHREAD_PEER_INTERNAL_FEEDLOOP_H
#define LYCHEETHREAD_PEER_INTERNAL_FEEDLOOP_H

#include "peer/internal/GossipLoop.h"
#include "peer/internal/MemberSync.h"
#include "peer/internal/PeerContext.h"

#include <memory>

namespace lycheethread::peer {

/// Runs the distribution of records: queries peers at startup, pulls records,
/// replicates them before the commit, applies them and builds the routing view.
class FeedLoop {
public:
  FeedLoop(PeerContext &Context, GossipLoop &Gossip, MemberSync &Exchange);
  ~FeedLoop();

  void start();
  void stop();

private:
  struct Impl;
  std::unique_ptr<Impl> Impl_;
};

} // namespace lycheethread::peer

#endif // LYCHEETHREAD_PEER_INTERNAL_FEEDLOOP_H
