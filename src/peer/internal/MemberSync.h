#ifndef LYCHEETHREAD_PEER_INTERNAL_MEMBERSYNC_H
#define LYCHEETHREAD_PEER_INTERNAL_MEMBERSYNC_H

#include "peer/internal/GossipLoop.h"
#include "peer/internal/PeerContext.h"

#include <memory>

namespace lycheethread::peer {

/// Compares the list of members with that of other nodes: of members whose
/// digest differs, and of nodes outside the membership that seeds or join
/// records name. Has a thread of its own, because a silent peer may hold up a
/// call for seconds.
class MemberSync {
public:
  MemberSync(PeerContext &Context, GossipLoop &Gossip);
  ~MemberSync();

  void start();
  void stop();

  /// Merges the members of an answer. Thread-safe.
  void merge(const wire::SnapshotReply &Reply);

private:
  struct Impl;
  std::unique_ptr<Impl> Impl_;
};

} // namespace lycheethread::peer

#endif // LYCHEETHREAD_PEER_INTERNAL_MEMBERSYNC_H
