#ifndef LYCHEETHREAD_PEER_INTERNAL_GOSSIPLOOP_H
#define LYCHEETHREAD_PEER_INTERNAL_GOSSIPLOOP_H

#include "peer/internal/PeerContext.h"
#include "peer/internal/RumourDispatcher.h"

#include <Poco/Net/DatagramSocket.h>

#include <memory>
#include <string>

namespace lycheethread::peer {

/// Runs the membership protocol, feed heartbeats and rumours over UDP.
class GossipLoop {
public:
  GossipLoop(PeerContext &Context, RumourDispatcher &Rumours,
             const Poco::Net::DatagramSocket &Socket);
  ~GossipLoop();

  void start();
  void stop();

  /// Sends the messages of a membership step, logs its events and queues its
  /// synchronization.
  void perform(const membership::Actions &Result);
  /// Announces \p State as soon as the readiness of the node allows it.
  void announce(MemberState State);
  /// Announces the requested state after a change of the node's readiness.
  void announceAgain();
  /// Forwards the heartbeat that was waiting for its records.
  void forwardPendingHeartbeat();
  /// Sends a heartbeat if this node reads the log and either a heartbeat is due
  /// or its position has increased.
  void sendHeartbeat();
  /// Broadcasts a rumour. Throws std::length_error for a payload above
  /// MaxRumourBytes.
  void broadcastRumour(const std::string &Topic, const std::string &Payload);
  /// Makes the current members visible to the other modules.
  void publishMembers();

private:
  struct Impl;
  std::unique_ptr<Impl> Impl_;
};

} // namespace lycheethread::peer

#endif // LYCHEETHREAD_PEER_INTERNAL_GOSSIPLOOP_H
