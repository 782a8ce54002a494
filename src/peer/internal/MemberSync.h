#ifndef LYCHEETHREAD_PEER_INTERNAL_MEMBERSYNC_H
#define LYCHEETHREAD_PEER_INTERNAL_MEMBERSYNC_H

#include "peer/internal/GossipLoop.h"
#include "peer/internal/PeerContext.h"

#include <memory>

namespace lycheethread::peer {

/// Synchronizes the member list with other nodes: with members whose digest
/// differs, and with nodes outside the membership that are known from seeds or
/// join records. Has its own thread, because an unresponsive peer may block a
/// call for seconds.
class MemberSync {
public:
  MemberSync(PeerContext &Context, GossipLoop &Gossip);
  ~MemberSync();

  void start();
  void stop();

  /// Merges the members of a reply. Thread-safe.
  void merge(const wire::SnapshotReply &Reply);

private:
  struct Impl;
  std::unique_ptr<Impl> Impl_;
};

} // namespace lycheethread::peer

#endif // LYCHEETHREAD_PEER_INTERNAL_MEMBERSYNC_H
