#ifndef LYCHEETHREAD_PEER_INTERNAL_GOSSIPLOOP_H
#define LYCHEETHREAD_PEER_INTERNAL_GOSSIPLOOP_H

#include "peer/internal/PeerContext.h"
#include "peer/internal/RumourDispatcher.h"

#include <Poco/Net/DatagramSocket.h>

#include <memory>
#include <string>

namespace lycheethread::peer {

/// Membership, feed heartbeats and rumours over UDP.
class GossipLoop {
public:
  GossipLoop(PeerContext &Context, RumourDispatcher &Rumours,
             const Poco::Net::DatagramSocket &Socket);
  ~GossipLoop();

  void start();
  void stop();

  /// Sends what a step of the membership asks for.
  void perform(const membership::Actions &Asked);
  /// Announces \p State as soon as the node may be in it.
  void announce(MemberState State);
  /// Announces what was asked for, after a change of the node's readiness.
  void announceAgain();
  /// Forwards a heartbeat that waited for its records.
  void forwardPendingHeartbeat();
  /// Sends a heartbeat now if this node reads and its position has risen.
  void sendHeartbeat();
  /// Throws std::length_error for a payload above MaxRumourBytes.
  void spread(const std::string &Topic, const std::string &Payload);
  /// Makes the current members visible to the other modules.
  void publishMembers();

private:
  struct Impl;
  std::unique_ptr<Impl> Impl_;
};

} // namespace lycheethread::peer

#endif // LYCHEETHREAD_PEER_INTERNAL_GOSSIPLOOP_H
